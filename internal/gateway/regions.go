package gateway

import "slices"

// keep notes to which data centres the route, and the organisation, keep the request, by the region of each data centre. It
// reports false where they leave none: no server may get it then.
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
