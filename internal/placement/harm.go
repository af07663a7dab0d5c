package placement

import (
	"cmp"
	"slices"
	"time"
)

// harmed is a server with what others there lose by a part of a prompt.
type harmed struct {
	*Server

	// index is the server's place among those that were weighed.
	index int
	harm  float64
}

// compare orders servers by the harm, then by what they have to read, then as they came.
func (harmed harmed) compare(other harmed) int {
	return cmp.Or(
		cmp.Compare(harmed.harm, other.harm),
		cmp.Compare(harmed.Backlog, other.Backlog),
		cmp.Compare(harmed.index, other.index),
	)
}

// worse reports whether others lose more at a server than at another one, or it has more
// to read.
func (harmed harmed) worse(other harmed) bool {
	return harmed.harm > other.harm || harmed.Backlog > other.Backlog
}

// silences reports whether a pass is so long that streams at a server are given up
// and sent again, which would read their prompts once more at another one.
func (lengthaware LengthAware) silences(server *Server, pass time.Duration) bool {
	silence := lengthaware.settings.silence
	return silence != nil && server.MinGap > 0 && pass > silence(server.MinGap)
}

// harms returns the servers with what others lose by a part, in buffer. Those are left
// out where the part would silence streams for too long.
func (lengthaware LengthAware) harms(buffer []harmed, servers []Server, request Request, part time.Duration) []harmed {
	lost := 1 - lengthaware.settings.LatePart
	list := buffer[:0]
	for i := range servers {
		server := &servers[i]
		pass := lengthaware.pass(server, request, part)
		if lengthaware.silences(server, pass) {
			continue
		}
		// Tight requests that come while the part is read wait for it.
		harm := lost * server.TightWeight * part.Seconds() / lengthaware.settings.TightLife.Seconds()
		// A pass counts by the pauses that are there, which differ from kind to kind.
		if server.TightGap > 0 && pass > server.TightGap {
			harm += lost * server.TightWeight
		}
		if server.LooseGap > 0 && pass > server.LooseGap {
			harm += lost * server.LooseWeight
		}
		list = append(list, harmed{Server: server, index: i, harm: harm})
	}
	return list
}

// leastHarmed returns the first servers of a list in the order of compare. To keep that
// few in order, instead of sorting all for each number of parts, is what makes a decision for a
// long prompt quick among many servers (BenchmarkPlace).
func leastHarmed(harms []harmed, count int) []harmed {
	least := make([]harmed, 0, count+1)
	for _, candidate := range harms {
		if len(least) == count && candidate.compare(least[count-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(least, candidate, harmed.compare)
		least = slices.Insert(least, at, candidate)
		least = least[:min(count, len(least))]
	}
	return least
}
