package placement

import "slices"

// In returns the servers of some data centres, or all where none is named.
func In(servers []Server, dataCentres []string) []Server {
	if len(dataCentres) == 0 {
		return servers
	}
	var some []Server
	for i := range servers {
		if slices.Contains(dataCentres, servers[i].DataCentre) {
			some = append(some, servers[i])
		}
	}
	return some
}
