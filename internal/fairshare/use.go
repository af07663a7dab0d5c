package fairshare

// Length is the length of a request, which decides what it takes of a server: a short one takes a
// slot, a long one the time of the prefill and memory.
type Length int

// Values of Length.
const (
	Short Length = iota
	Long
	// lengths is the number of values.
	lengths = iota
)

// LengthOf returns the length of a request. Requests to a service without engines are packable.
func LengthOf(packable bool) Length {
	if packable {
		return Short
	}
	return Long
}

func (length Length) other() Length {
	return Long - length
}

// Use is what an organisation uses of the servers of a service, in servers.
type Use struct {
	Short float64
	Long  float64
}

// Of returns what requests of a length use.
func (use Use) Of(length Length) float64 {
	if length == Long {
		return use.Long
	}
	return use.Short
}

// Total returns what all requests use.
func (use Use) Total() float64 {
	return use.Short + use.Long
}

// Plus returns the sum of two uses.
func (use Use) Plus(other Use) Use {
	return Use{Short: use.Short + other.Short, Long: use.Long + other.Long}
}

// With returns the use with further servers for requests of a length.
func (use Use) With(length Length, servers float64) Use {
	if length == Long {
		use.Long += servers
	} else {
		use.Short += servers
	}
	return use
}
