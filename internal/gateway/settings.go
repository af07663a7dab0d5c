package gateway

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/tunnel"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// Names of the placement policies that a settings file may select.
const (
	PolicyLengthAware = "length_aware"
	PolicyLeastInHand = "least_in_hand"
	PolicyRoundRobin  = "round_robin"
)

// Settings are the tunable parameters of a gateway. The defaults suit data centres within one city.
type Settings struct {
	// Policy is the name of the policy that selects engines for prompts.
	Policy        string                `yaml:"policy" validate:"oneof=length_aware least_in_hand round_robin"`
	Placement     placement.Settings    `yaml:"placement"`
	Pool          pool.Settings         `yaml:"pool"`
	Exchange      exchange.Settings     `yaml:"exchange"`
	Coordinator   coordinator.Settings  `yaml:"coordinator"`
	Shares        fairshare.Settings    `yaml:"shares"`
	Network       network.Settings      `yaml:"network"`
	Feed          feed.Settings         `yaml:"feed"`
	Upstream      upstream.Settings     `yaml:"upstream"`
	Reachability  reachability.Settings `yaml:"reachability"`
	Tunnel        tunnel.Settings       `yaml:"tunnel"`
	Configuration follower.Settings     `yaml:"configuration"`
	Directory     follower.Settings     `yaml:"directory"`
	Reservation   reservation.Settings  `yaml:"reservation"`
	Quarantine    quarantine.Settings   `yaml:"quarantine"`
	Request       RequestSettings       `yaml:"request"`
	Drain         DrainSettings         `yaml:"drain"`
	Logging       LoggingSettings       `yaml:"logging"`
}

// RequestSettings are the parameters of how a single request is handled.
type RequestSettings struct {
	// RevokeMargin is subtracted from Bounds.Revoke: requests with a key are refused that much
	// earlier.
	RevokeMargin time.Duration `yaml:"revoke_margin" validate:"min=0"`
	// DeadlineMargin is how long before the caller's deadline a request gets its response.
	DeadlineMargin time.Duration `yaml:"margin" validate:"min=0,max=1s"`
	// PlacementInterval is the longest interval between two attempts to place a request that waits
	// for server capacity.
	PlacementInterval time.Duration `yaml:"look" validate:"min=1ms"`
	// QueueTimeObjectives is how long a long prompt is queued while no server has capacity, as a
	// multiple of its objective. After that it can no longer meet its objective, and it delays the
	// requests queued behind it.
	QueueTimeObjectives float64 `yaml:"hold_objectives" validate:"min=0.1"`
	// QueueTimeFraction is the largest fraction of the caller's time that a request may be queued.
	// It keeps a retried request from being queued until its deadline without a chance of being
	// served.
	QueueTimeFraction float64 `yaml:"hold_part" validate:"min=0.1,max=1"`
	// QueueTimeExtra is added to the queueing time above. In this time the request has missed its
	// objective and takes only capacity that delays no other request; the coordinator evaluates it
	// several times. Without it, a prompt too long to ever meet its objective is refused even while
	// servers are idle.
	QueueTimeExtra time.Duration `yaml:"last_look" validate:"min=0"`
	// FirstEventMargin and FirstEventFactor give how long a server may take for its first event
	// before another server is tried: the margin, plus the factor times the predicted time or the
	// route's objective, whichever is longer.
	FirstEventMargin time.Duration `yaml:"silence" validate:"min=10ms"`
	FirstEventFactor float64       `yaml:"silence_part" validate:"min=0"`
	// StreamTimeoutMin is the shortest time without an event after which a stream is resumed on
	// another server. StreamTimeoutFactor gives the same time as a multiple of the route's inter-token
	// objective; the longer of the two applies.
	StreamTimeoutMin    time.Duration `yaml:"gap_min" validate:"min=10ms"`
	StreamTimeoutFactor float64       `yaml:"gap_times" validate:"min=1"`
	// RetryAfterMin and RetryAfterMax bound the random delay after which a refused caller may
	// retry.
	RetryAfterMin time.Duration `yaml:"retry_after_min" validate:"min=0"`
	RetryAfterMax time.Duration `yaml:"retry_after_max" validate:"min=1ms,gtefield=RetryAfterMin"`
	// StartupWait is how long after the start of the process requests wait for the first
	// configuration, which arrives slightly late when many VMs start together. Without it, callers
	// would be rejected with a retry time of seconds.
	StartupWait time.Duration `yaml:"start_hold" validate:"min=0,max=5s"`
	// StoreRetryMin and StoreRetryMax are the same bounds for a VM without a configuration. A VM
	// that reaches the store has one shortly after its start, so the store is unreachable in this
	// case. That lasts seconds, and callers that retry sooner use up their retries.
	StoreRetryMin time.Duration `yaml:"store_retry_min" validate:"min=0"`
	StoreRetryMax time.Duration `yaml:"store_retry_max" validate:"min=1ms,gtefield=StoreRetryMin"`
	// MaxResponseBytes is the largest response of a plain service, which is buffered whole, in
	// bytes.
	MaxResponseBytes int64 `yaml:"max_answer_bytes" validate:"min=1024"`
	// BodyMemoryFraction is the fraction of the process's memory that the bodies of all requests
	// may use.
	BodyMemoryFraction float64 `yaml:"max_body_part" validate:"min=0.01,max=0.9"`
	// ResponseMemoryFraction is the fraction of the process's memory that all buffered responses of
	// plain services may use.
	ResponseMemoryFraction float64 `yaml:"max_answers_part" validate:"min=0.01,max=0.9"`
	// WriteTimeout is how long a caller may take to read one event or response.
	WriteTimeout time.Duration `yaml:"write_time" validate:"min=100ms"`
	// RetryBudgetFraction is the fraction of the operator's retry budget that is used.
	RetryBudgetFraction float64 `yaml:"retry_part" validate:"min=0,max=1"`
}

// streamTimeout returns after how long without an event a stream is abandoned, where pauses of up
// to interTokenObjective meet the objective.
func (settings RequestSettings) streamTimeout(interTokenObjective time.Duration) time.Duration {
	return max(settings.StreamTimeoutMin, time.Duration(settings.StreamTimeoutFactor*float64(interTokenObjective)))
}

// DrainSettings are the parameters of a planned stop.
type DrainSettings struct {
	// RefuseDelay is how long a draining VM still accepts new requests: the load balancer may open
	// connections to it for that long after the stop was requested.
	RefuseDelay time.Duration `yaml:"notice" validate:"min=0"`
	// ShutdownReserve is the part of the grace period kept for aborting requests that have not
	// ended.
	ShutdownReserve time.Duration `yaml:"reserve" validate:"min=0"`
}

// LoggingSettings are the parameters of the log.
type LoggingSettings struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// MaxQueuedLines is how many lines may wait to be written; further lines are dropped.
	MaxQueuedLines int `yaml:"queue" validate:"min=1"`
}

// DefaultSettings returns the settings for data centres within one city.
func DefaultSettings() Settings {
	return Settings{
		Policy:       PolicyLengthAware,
		Placement:    placement.DefaultSettings(),
		Pool:         pool.DefaultSettings(),
		Exchange:     exchange.DefaultSettings(),
		Coordinator:  coordinator.DefaultSettings(),
		Shares:       fairshare.DefaultSettings(),
		Network:      network.DefaultSettings(),
		Feed:         feed.DefaultSettings(),
		Upstream:     upstream.DefaultSettings(),
		Reachability: reachability.DefaultSettings(),
		Tunnel:       tunnel.DefaultSettings(),
		Configuration: follower.Settings{
			Wait: 1500 * time.Millisecond, ResponseTimeout: 700 * time.Millisecond,
			RetryMin: 100 * time.Millisecond, RetryMax: 800 * time.Millisecond,
			SettleTime: 2 * time.Second, // the platform's writers rewrite their entries within this time
		},
		Directory: follower.Settings{
			MinInterval: 800 * time.Millisecond, ResponseTimeout: 700 * time.Millisecond,
			RetryMin: 100 * time.Millisecond, RetryMax: 800 * time.Millisecond,
			SettleTime: 2 * time.Second, // raised to the time that the entry of a stopped server may remain in the store
		},
		Reservation: reservation.DefaultSettings(),
		Quarantine:  quarantine.DefaultSettings(),
		Request: RequestSettings{
			RevokeMargin:           500 * time.Millisecond,
			DeadlineMargin:         20 * time.Millisecond,
			PlacementInterval:      20 * time.Millisecond,
			QueueTimeObjectives:    1,
			QueueTimeFraction:      0.45,
			QueueTimeExtra:         60 * time.Millisecond,
			FirstEventMargin:       900 * time.Millisecond,
			FirstEventFactor:       2,
			StreamTimeoutMin:       1600 * time.Millisecond,
			StreamTimeoutFactor:    4,
			RetryAfterMin:          200 * time.Millisecond,
			RetryAfterMax:          600 * time.Millisecond,
			StartupWait:            400 * time.Millisecond,
			StoreRetryMin:          2 * time.Second,
			StoreRetryMax:          3200 * time.Millisecond,
			MaxResponseBytes:       4 << 20,
			BodyMemoryFraction:     0.3,
			ResponseMemoryFraction: 0.2,
			WriteTimeout:           5 * time.Second,
			RetryBudgetFraction:    0.8,
		},
		Drain: DrainSettings{
			RefuseDelay:     3 * time.Second,
			ShutdownReserve: 1100 * time.Millisecond,
		},
		Logging: LoggingSettings{Level: "info", MaxQueuedLines: 2048},
	}
}

// newPolicy returns the placement policy selected by the settings.
func newPolicy(settings Settings) placement.Policy {
	switch settings.Policy {
	case PolicyLeastInHand:
		return placement.LeastRequests{}
	case PolicyRoundRobin:
		return placement.RoundRobin{}
	default:
		return placement.New(settings.Placement.WithStreamTimeout(settings.Request.streamTimeout))
	}
}
