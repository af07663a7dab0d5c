package placement

import "slices"

// Without returns the servers but for some, by their IDs.
func Without(servers []Server, some []string) []Server {
	if len(some) == 0 {
		return servers
	}
	left := make([]Server, 0, len(servers))
	for i := range servers {
		if !slices.Contains(some, servers[i].ID) {
			left = append(left, servers[i])
		}
	}
	return left
}
