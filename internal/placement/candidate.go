package placement

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a server with the cost of prefilling a part of a prompt there: the value that other
// requests at the server would lose by being late.
type candidate struct {
	*Server

	// index is the server's position among those that were compared.
	index int
	cost  float64
}

// compare orders servers by cost, then by prefill backlog, then by index.
func (candidate candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(candidate.cost, other.cost),
		cmp.Compare(candidate.Backlog, other.Backlog),
		cmp.Compare(candidate.index, other.index),
	)
}

// worse reports whether a server has a higher cost or a longer prefill backlog than another
// one.
func (candidate candidate) worse(other candidate) bool {
	return candidate.cost > other.cost || candidate.Backlog > other.Backlog
}

// exceedsStreamTimeout reports whether a forward pass is so long that streams at a server time out
// and are retried, which would prefill their prompts again at another server.
func (lengthaware LengthAware) exceedsStreamTimeout(server *Server, pass time.Duration) bool {
	streamTimeout := lengthaware.settings.streamTimeout
	return streamTimeout != nil && server.MinInterTokenObjective > 0 && pass > streamTimeout(server.MinInterTokenObjective)
}

// costs returns the servers with the cost of prefilling a part there, in buffer. It leaves out
// servers where the part would make streams time out.
func (lengthaware LengthAware) costs(buffer []candidate, servers []Server, request Request, part time.Duration) []candidate {
	lostFraction := 1 - lengthaware.settings.LateValueFraction
	costed := buffer[:0]
	for i := range servers {
		server := &servers[i]
		pass := lengthaware.pass(server, request, part)
		if lengthaware.exceedsStreamTimeout(server, pass) {
			continue
		}
		// Packable requests that arrive during the prefill of the part wait for it.
		cost := lostFraction * server.PackableWeight * part.Seconds() / lengthaware.settings.PackableDuration.Seconds()
		// Objectives differ between kinds of request. The pass costs packable requests, or the
		// others, their lost value if it exceeds the shortest inter-token objective among them.
		if server.PackableInterTokenObjective > 0 && pass > server.PackableInterTokenObjective {
			cost += lostFraction * server.PackableWeight
		}
		if server.OtherInterTokenObjective > 0 && pass > server.OtherInterTokenObjective {
			cost += lostFraction * server.OtherWeight
		}
		costed = append(costed, candidate{Server: server, index: i, cost: cost})
	}
	return costed
}

// lowestCost returns the first servers of a list in the order of compare. It keeps only that many
// in order instead of sorting all for each number of parts, which makes placing a long prompt fast
// among many servers (BenchmarkPlace).
func lowestCost(costs []candidate, count int) []candidate {
	lowest := make([]candidate, 0, count+1)
	for _, server := range costs {
		if len(lowest) == count && server.compare(lowest[count-1]) > 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(lowest, server, candidate.compare)
		lowest = slices.Insert(lowest, index, server)
		lowest = lowest[:min(count, len(lowest))]
	}
	return lowest
}
