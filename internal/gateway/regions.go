package gateway

import "slices"

// keep sets the data centres to which the route and the organisation restrict the
// request, given the region of each data centre. It reports false if they allow none, so that no
// server may get the request.
func (admitted *admitted) keep(regions map[string]string) bool {
	if len(admitted.route.Regions) == 0 && (admitted.organisation == nil || len(admitted.organisation.Regions) == 0) {
		return true
	}
	for dataCentre, region := range regions {
		if admitted.allows(region) {
			admitted.keptTo = append(admitted.keptTo, dataCentre)
		}
	}
	slices.Sort(admitted.keptTo)
	return len(admitted.keptTo) > 0
}

func (admitted *admitted) allows(region string) bool {
	return admitted.route.Regions.Allow(region) && (admitted.organisation == nil || admitted.organisation.Regions.Allow(region))
}
