package dispatch

import (
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// containment lets one request at a time go to servers with each fingerprint that is contained. It limits
// what a burst of prompts that crash servers can do while the cause is not certain: without it each VM
// has one in flight, and with hundreds of VMs all servers are lost at once.
type containment struct {
	// inFlight has the last request that got servers, by each of its contained fingerprints.
	inFlight map[fingerprint.Fingerprint]Key
}

func newContainment() *containment {
	return &containment{inFlight: make(map[fingerprint.Fingerprint]Key)}
}

// holdsBack reports whether another request with one of the contained fingerprints has got no event of its
// response so far.
func (containment *containment) holdsBack(request *Request, servers Servers) bool {
	return slices.ContainsFunc(request.Contained, func(contained fingerprint.Fingerprint) bool {
		key, found := containment.inFlight[contained]
		return found && key != request.Key && servers.InPrefill(key)
	})
}

// recordAssignment records that a request got servers.
func (containment *containment) recordAssignment(request *Request) {
	for _, contained := range request.Contained {
		containment.inFlight[contained] = request.Key
	}
}

// forgetFinished drops the requests that hold back no others.
func (containment *containment) forgetFinished(servers Servers) {
	maps.DeleteFunc(containment.inFlight, func(_ fingerprint.Fingerprint, key Key) bool { return !servers.InPrefill(key) })
}
