package gateway

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// Names of policies.
const (
	PolicyLengthAware = "length_aware"
	PolicyLeastInHand = "least_in_hand"
	PolicyRoundRobin  = "round_robin"
)

// Settings tune a gateway. The defaults are for one city.
type Settings struct {
	// Policy chooses engines.
	Policy        string               `yaml:"policy" validate:"oneof=length_aware least_in_hand round_robin"`
	Placement     placement.Settings   `yaml:"placement"`
	Pool          pool.Settings        `yaml:"pool"`
	Exchange      exchange.Settings    `yaml:"exchange"`
	Coordinator   coordinator.Settings `yaml:"coordinator"`
	Network       network.Settings     `yaml:"network"`
	Feed          feed.Settings        `yaml:"feed"`
	Upstream      upstream.Settings    `yaml:"upstream"`
	Configuration follower.Settings    `yaml:"configuration"`
	Directory     follower.Settings    `yaml:"directory"`
	Reservation   reservation.Settings `yaml:"reservation"`
	Quarantine    quarantine.Settings  `yaml:"quarantine"`
	Request       RequestSettings      `yaml:"request"`
	Drain         DrainSettings        `yaml:"drain"`
	Logging       LoggingSettings      `yaml:"logging"`
}

// RequestSettings tune the life of a request.
type RequestSettings struct {
	// RevokeMargin is taken off the bound on revoked keys.
	RevokeMargin time.Duration `yaml:"revoke_margin" validate:"min=0"`
	// Margin is how long before its time is over a request gets its answer.
	Margin time.Duration `yaml:"margin" validate:"min=0,max=1s"`
	// Look is the time between looks for a server that has room.
	Look time.Duration `yaml:"look" validate:"min=1ms"`
	// HoldObjectives is the multiple of its objective for which a long prompt is held while no
	// server has room. Later it cannot be in time, and others wait behind it.
	HoldObjectives float64 `yaml:"hold_objectives" validate:"min=0.1"`
	// HoldPart is the part of the time that its caller has for which it is held at
	// most, so that one that came back is not held to its end for nothing.
	HoldPart float64 `yaml:"hold_part" validate:"min=0.1,max=1"`
	// LastLook is for how long it is held beyond that: it is late then, and takes what harms
	// nobody, where the VM that decides looks at it some times. Without it a prompt too long
	// ever to be in time was refused beside idle servers.
	LastLook time.Duration `yaml:"last_look" validate:"min=0"`
	// Silence is how long beyond the prediction a first event may take before
	// another server is tried, and SilencePart the part of the prediction that
	// is added.
	Silence     time.Duration `yaml:"silence" validate:"min=10ms"`
	SilencePart float64       `yaml:"silence_part" validate:"min=0"`
	// GapMin is the shortest silence within a stream after which it goes on at
	// another server, and GapTimes its multiple of the pause in time.
	GapMin   time.Duration `yaml:"gap_min" validate:"min=10ms"`
	GapTimes float64       `yaml:"gap_times" validate:"min=1"`
	// RetryAfterMin and RetryAfterMax bound when a refused caller may return.
	RetryAfterMin time.Duration `yaml:"retry_after_min" validate:"min=0"`
	RetryAfterMax time.Duration `yaml:"retry_after_max" validate:"min=1ms,gtefield=RetryAfterMin"`
	// StartHold is how long after the start of the process requests wait for its first
	// configuration, which takes a moment where many VMs start together: else callers would be
	// told to return only after seconds.
	StartHold time.Duration `yaml:"start_hold" validate:"min=0,max=5s"`
	// StoreRetryMin and StoreRetryMax are the same for a VM that knows no
	// configuration yet. With the store it has one a moment after its start, so the store is
	// away then, which lasts for seconds: callers that return sooner spend their tries.
	StoreRetryMin time.Duration `yaml:"store_retry_min" validate:"min=0"`
	StoreRetryMax time.Duration `yaml:"store_retry_max" validate:"min=1ms,gtefield=StoreRetryMin"`
	// MaxAnswerBytes bounds an answer of a plain service, which is held whole.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes" validate:"min=1024"`
	// MaxBodyPart is the part of the memory for bodies of all requests.
	MaxBodyPart float64 `yaml:"max_body_part" validate:"min=0.01,max=0.9"`
	// MaxAnswersPart is the part of the memory for answers of plain services, of all requests.
	MaxAnswersPart float64 `yaml:"max_answers_part" validate:"min=0.01,max=0.9"`
	// WriteTime is how long a caller may take to read one event or answer.
	WriteTime time.Duration `yaml:"write_time" validate:"min=100ms"`
	// RetryPart is the part of the retry budget that is used.
	RetryPart float64 `yaml:"retry_part" validate:"min=0,max=1"`
}

// silence returns after which pause a stream is given up of which shorter ones than
// gap are in time.
func (settings RequestSettings) silence(gap time.Duration) time.Duration {
	return max(settings.GapMin, time.Duration(settings.GapTimes*float64(gap)))
}

// DrainSettings tune a planned stop.
type DrainSettings struct {
	// Notice is how long after the request to stop the balancer may still send
	// connections.
	Notice time.Duration `yaml:"notice" validate:"min=0"`
	// Reserve is kept of the grace for ending what has not ended.
	Reserve time.Duration `yaml:"reserve" validate:"min=0"`
}

// LoggingSettings tune the log.
type LoggingSettings struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Queue is how many lines wait to be written before lines are left out.
	Queue int `yaml:"queue" validate:"min=1"`
}

// DefaultSettings returns settings for data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		Policy:      PolicyLengthAware,
		Placement:   placement.DefaultSettings(),
		Pool:        pool.DefaultSettings(),
		Exchange:    exchange.DefaultSettings(),
		Coordinator: coordinator.DefaultSettings(),
		Network:     network.DefaultSettings(),
		Feed:        feed.DefaultSettings(),
		Upstream:    upstream.DefaultSettings(),
		Configuration: follower.Settings{
			Wait: 1500 * time.Millisecond, Patience: 700 * time.Millisecond,
			RetryMin: 100 * time.Millisecond, RetryMax: 800 * time.Millisecond,
			Settle: 2 * time.Second, // within which the platform's writers write again
		},
		Directory: follower.Settings{
			Pause: 800 * time.Millisecond, Patience: 700 * time.Millisecond,
			RetryMin: 100 * time.Millisecond, RetryMax: 800 * time.Millisecond,
			Settle: 2 * time.Second, // or as long as the entry of a server that ended may stand in the copy
		},
		Reservation: reservation.DefaultSettings(),
		Quarantine:  quarantine.DefaultSettings(),
		Request: RequestSettings{
			RevokeMargin:   500 * time.Millisecond,
			Margin:         20 * time.Millisecond,
			Look:           20 * time.Millisecond,
			HoldObjectives: 1,
			HoldPart:       0.45,
			LastLook:       60 * time.Millisecond,
			Silence:        900 * time.Millisecond,
			SilencePart:    2,
			GapMin:         1600 * time.Millisecond,
			GapTimes:       4,
			RetryAfterMin:  200 * time.Millisecond,
			RetryAfterMax:  600 * time.Millisecond,
			StartHold:      400 * time.Millisecond,
			StoreRetryMin:  2 * time.Second,
			StoreRetryMax:  3200 * time.Millisecond,
			MaxAnswerBytes: 4 << 20,
			MaxBodyPart:    0.3,
			MaxAnswersPart: 0.2,
			WriteTime:      5 * time.Second,
			RetryPart:      0.8,
		},
		Drain: DrainSettings{
			Notice:  3 * time.Second,
			Reserve: 1100 * time.Millisecond,
		},
		Logging: LoggingSettings{Level: "info", Queue: 2048},
	}
}

// newPolicy returns the policy that the settings name.
func newPolicy(settings Settings) placement.Policy {
	switch settings.Policy {
	case PolicyLeastInHand:
		return placement.LeastInHand{}
	case PolicyRoundRobin:
		return placement.RoundRobin{}
	default:
		return placement.New(settings.Placement.WithSilence(settings.Request.silence))
	}
}
