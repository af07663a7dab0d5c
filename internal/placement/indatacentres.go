package placement

import "slices"

// InDataCentres returns the servers of the given data centres, or all servers if no data centre is
// given.
func InDataCentres(servers []Server, dataCentres []string) []Server {
	if len(dataCentres) == 0 {
		return servers
	}
	var selected []Server
	for i := range servers {
		if slices.Contains(dataCentres, servers[i].DataCentre) {
			selected = append(selected, servers[i])
		}
	}
	return selected
}
