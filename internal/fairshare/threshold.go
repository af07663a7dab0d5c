package fairshare

// MayTake reports whether an organisation that has taken the given amount of a common budget
// recently may take more, when the given amount is left. It may as long as it has taken less than
// what is left: whatever it does, as much as it has taken stays for the others. This is the dynamic
// threshold by which flows share the buffer of a switch.
func MayTake(taken, left float64) bool {
	return taken < left
}
