package placement

// ReasonLeastRequests is the reason of LeastRequests.
const ReasonLeastInHand Reason = "least in hand"

// LeastRequests chooses the server with the fewest running requests. Servers that are not suspect
// go first; among equal ones it prefers the request's data centre.
type LeastInHand struct{}

var _ Policy = LeastInHand{}

// Place implements Policy.
func (LeastInHand) Place(servers []Server, request Request) (Plan, bool) {
	best := -1
	for i := range servers {
		if best < 0 || lessInHand(&servers[i], &servers[best], request.DataCentre) {
			best = i
		}
	}
	if best < 0 {
		return Plan{}, false
	}
	return Plan{Server: servers[best], Reason: ReasonLeastInHand}, true
}

func lessInHand(a, b *Server, dataCentre string) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.DataCentre == dataCentre && b.DataCentre != dataCentre
}
