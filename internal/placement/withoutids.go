package placement

import "slices"

// WithoutIDs returns the servers except those with the given IDs.
func WithoutIDs(servers []Server, ids []string) []Server {
	if len(ids) == 0 {
		return servers
	}
	remaining := make([]Server, 0, len(servers))
	for i := range servers {
		if !slices.Contains(ids, servers[i].ID) {
			remaining = append(remaining, servers[i])
		}
	}
	return remaining
}
