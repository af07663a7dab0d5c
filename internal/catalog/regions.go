package catalog

import "slices"

// Regions are those to which the operator keeps requests, or none where they may go anywhere.
type Regions []string

// Allow reports whether requests may go to a region.
func (regions Regions) Allow(region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
