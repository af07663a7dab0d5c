package gateway

import "slices"

// restrictDataCentres sets the data centres to which the route and the organisation restrict the
// request, given the region of each data centre. It reports false if they allow none, so that no
// server may get the request.
func (admitted *admitted) restrictDataCentres(regions map[string]string) bool {
	if len(admitted.route.Regions) == 0 && (admitted.organisation == nil || len(admitted.organisation.Regions) == 0) {
		return true
	}
	for dataCentre, region := range regions {
		if admitted.allowsRegion(region) {
			admitted.allowedDataCentres = append(admitted.allowedDataCentres, dataCentre)
		}
	}
	slices.Sort(admitted.allowedDataCentres)
	return len(admitted.allowedDataCentres) > 0
}

func (admitted *admitted) allowsRegion(region string) bool {
	return admitted.route.Regions.Allow(region) && (admitted.organisation == nil || admitted.organisation.Regions.Allow(region))
}
