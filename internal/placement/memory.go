package placement

// writes reports whether a server may write the answer with memory of its own.
func (server *Server) writes(request Request) bool {
	return server.MemoryFree >= request.Memory && server.Running < server.Slots
}

// share sets memory aside at as few servers as it takes. The first one needs
// memory for the answer too.
func share(ordered []Server, request Request) ([]int, bool) {
	shares := make([]int, len(ordered))
	left := request.Tokens
	for i := range ordered {
		usable := ordered[i].MemoryFree - spareTokens
		if i == 0 {
			usable -= request.Memory - request.Tokens
		}
		if i == 0 && (usable <= 0 || ordered[i].Running >= ordered[i].Slots) {
			return nil, false
		}
		shares[i] = max(0, min(usable, left))
		left -= shares[i]
	}
	return shares, left == 0
}
