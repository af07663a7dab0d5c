package placement

// canDecode reports whether a server has a free slot, and enough free memory to decode the answer
// by itself.
func (server *Server) canDecode(request Request) bool {
	return server.MemoryFree >= request.Memory && server.Running < server.Slots
}

// splitMemory splits the memory of the prompt over the servers in their order, over as few as
// possible, and returns the tokens at each. The first server also needs memory for the answer. It
// reports false when the servers have too little memory together, or when the first one has no free
// slot, or no memory left for the prompt beside the answer.
func splitMemory(ordered []Server, request Request) ([]int, bool) {
	shares := make([]int, len(ordered))
	remaining := request.Tokens
	for i := range ordered {
		usable := ordered[i].MemoryFree - spareMemoryTokens
		if i == 0 {
			usable -= request.Memory - request.Tokens
		}
		if i == 0 && (usable <= 0 || ordered[i].Running >= ordered[i].Slots) {
			return nil, false
		}
		shares[i] = max(0, min(usable, remaining))
		remaining -= shares[i]
	}
	return shares, remaining == 0
}
