package call

// RateLimitKind is the kind of statement about a rate limit in a response.
type RateLimitKind int

// Kinds of statement about a rate limit.
const (
	// RateLimitUnknown means that the response contains no valid statement. The previous rate limit stays in force.
	RateLimitUnknown RateLimitKind = iota
	// RateLimitNone means that the server advertises no rate limit.
	RateLimitNone
	// RateLimitAdvertised means that the server advertises a rate limit.
	RateLimitAdvertised
)

// RateLimit is the rate limit that a server advertises in a response.
type RateLimit struct {
	Kind RateLimitKind
	// PerSecond is the number of requests per second that the server accepts from all VMs together. It is finite and
	// not negative, and is used only if Kind is RateLimitAdvertised.
	PerSecond float64
}
