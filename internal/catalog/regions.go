package catalog

import "slices"

// Regions are the regions to which requests are restricted. An empty list allows all.
type Regions []string

// Allow reports whether requests may be sent to a region.
func (regions Regions) Allow(region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
