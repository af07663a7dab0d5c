package placement

import (
	"cmp"
	"slices"
	"time"
)

// harmed is a server with what others there lose by a part of a prompt.
type harmed struct {
	*Server

	harm float64
}

// silences reports whether a pass is so long that streams at a server are given up
// and sent again, which would read their prompts once more at another one. To leave
// such servers out brings 0.006 of worth (30 days with trouble).
func (lengthaware LengthAware) silences(server *Server, pass time.Duration) bool {
	silence := lengthaware.settings.silence
	return silence != nil && server.MinGap > 0 && pass > silence(server.MinGap)
}

// harms returns the servers with what others lose by a part, least first. Those are
// left out where the part would silence streams for too long.
func (lengthaware LengthAware) harms(servers []Server, request Request, part time.Duration) []harmed {
	lost := 1 - lengthaware.settings.LatePart
	list := make([]harmed, 0, len(servers))
	for i := range servers {
		server := &servers[i]
		pass := lengthaware.pass(server, request, part)
		if lengthaware.silences(server, pass) {
			continue
		}
		// Tight requests that come while the part is read wait for it.
		harm := lost * server.TightWeight * part.Seconds() / lengthaware.settings.TightLife.Seconds()
		if pass > lengthaware.settings.TightPass {
			harm += lost * server.TightWeight
		}
		if server.LooseGap > 0 && pass > server.LooseGap {
			harm += lost * server.LooseWeight
		}
		list = append(list, harmed{Server: server, harm: harm})
	}
	slices.SortStableFunc(list, func(a, b harmed) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.Backlog, b.Backlog))
	})
	return list
}
