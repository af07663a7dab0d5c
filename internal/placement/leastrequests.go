package placement

// ReasonLeastRequests is the reason of LeastRequests.
const ReasonLeastRequests Reason = "least in hand"

// LeastRequests chooses the server with the fewest running requests. Servers that are not suspect
// go first; among equal ones it prefers the request's data centre.
type LeastRequests struct{}

var _ Policy = LeastRequests{}

// Place implements Policy.
func (LeastRequests) Place(servers []Server, request Request) (Plan, bool) {
	best := -1
	for i := range servers {
		if best < 0 || lessLoaded(&servers[i], &servers[best], request.DataCentre) {
			best = i
		}
	}
	if best < 0 {
		return Plan{}, false
	}
	return Plan{Server: servers[best], Reason: ReasonLeastRequests}, true
}

func lessLoaded(a, b *Server, dataCentre string) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.DataCentre == dataCentre && b.DataCentre != dataCentre
}
