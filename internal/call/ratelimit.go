package call

// LimitKind says what an answer tells of a limit on requests.
type LimitKind int

// Kinds of limit.
const (
	// LimitUnclear: nothing, or nothing that can be read. What was known before holds on.
	LimitUnclear LimitKind = iota
	// LimitNone: the server takes as many as any other.
	LimitNone
	// LimitNamed: the server takes only so many.
	LimitNamed
)

// Limit is how many requests a server takes, as one of its answers tells it.
type Limit struct {
	Kind LimitKind
	// PerSecond is how many requests a second the server takes from all VMs together. It is finite and not
	// below zero, and counts for LimitNamed only.
	PerSecond float64
}
