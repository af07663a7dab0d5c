package call

// LimitKind is the kind of statement about a rate limit in a response.
type LimitKind int

// Kinds of statement about a rate limit.
const (
	// LimitUnclear means that the response contains no valid statement. The previous rate limit stays in force.
	LimitUnclear LimitKind = iota
	// LimitNone means that the server advertises no rate limit.
	LimitNone
	// LimitNamed means that the server advertises a rate limit.
	LimitNamed
)

// Limit is the rate limit that a server advertises in a response.
type Limit struct {
	Kind LimitKind
	// PerSecond is the number of requests per second that the server accepts from all VMs together. It is finite and
	// not negative, and is used only if Kind is RateLimitAdvertised.
	PerSecond float64
}
