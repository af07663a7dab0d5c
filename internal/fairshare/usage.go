package fairshare

import "time"

// Usage is what organisations use of the servers of one service.
type Usage struct {
	// Servers is the number of servers that get requests, and Slots the number of requests that
	// they run concurrently.
	Servers int
	Slots   int
	// Fraction is the fraction of the servers that may be divided here, from zero to one. It is less
	// than one for a few VMs that are cut off from the others, which divide the same servers.
	Fraction float64
	// Used is what each organisation uses.
	Used map[Organisation]Use
}

// Capacity returns the servers that may be divided here.
func (usage Usage) Capacity() float64 {
	return usage.Fraction * float64(usage.Servers)
}

// Total returns what all organisations use, in servers.
func (usage Usage) Total() float64 {
	total := 0.0
	for _, use := range usage.Used {
		total += use.Total()
	}
	return total
}

// PrefillWindow is the time over which prefills are averaged. It is about as long as several servers
// together prefill one of the longest prompts, so that a single one of these does not look like a
// lasting demand for all servers.
const PrefillWindow = 4 * time.Second

// Occupied returns what a request takes of a server while it runs there, in servers. It takes a
// slot and memory at the same time, so the scarcer of the two counts: others can use neither the
// rest of the memory nor the other slots. Zero slots stand for a request that takes none.
func Occupied(slots int, memoryFraction float64) float64 {
	if slots == 0 {
		return memoryFraction
	}
	return max(memoryFraction, 1/float64(slots))
}

// Prefilled returns what a prefill of the given duration takes on average, in servers.
func Prefilled(prefill time.Duration) float64 {
	return prefill.Seconds() / PrefillWindow.Seconds()
}
