package placement

import "time"

// Settings configure LengthAware.
type Settings struct {
	// PackSlots is the fraction of the slots of a server that packable requests fill. The rest
	// takes requests that several VMs send at the same moment. A higher value leaves more servers
	// to long prompts.
	PackSlots float64 `yaml:"pack_slots" validate:"min=0.1,max=1"`
	// PackDense is the fraction used instead of PackSlots while long prompts need servers, which
	// they would not find in a burst of short ones. One server is wanted for each
	// LongPrefillPerServer of prefill that is queued or in progress.
	PackDense            float64       `yaml:"pack_dense" validate:"max=1,gtefield=PackSlots"`
	LongPrefillPerServer time.Duration `yaml:"long_time" validate:"min=10ms"`
	// SparePackedServers is the number of servers, beside the filled ones, that are set apart for
	// packable requests. MinUnpackedServers is the number of servers that are never set apart.
	SparePackedServers int `yaml:"keep_spare" validate:"min=0"`
	MinUnpackedServers int `yaml:"leave_long" validate:"min=0"`
	// NearlyEqualPasses is the unit in which prefill backlogs are compared, as a multiple of a
	// forward pass without prefill. Servers whose backlogs have the same number of whole units count
	// as equally busy.
	NearlyEqualPasses float64 `yaml:"near_passes" validate:"min=0.01"`
	// NearlyEqualRunning is the difference in running requests up to which servers count as equally
	// busy.
	NearlyEqualRunning int `yaml:"near_running" validate:"min=0"`
	// PassTimeMargin is added to the predicted time of a forward pass. It allows for requests that
	// other VMs have just sent, which are not known here yet.
	PassTimeMargin time.Duration `yaml:"pass_spare" validate:"min=0"`
	// MaxParts is the maximum number of servers that prefill one prompt.
	MaxParts int `yaml:"max_parts" validate:"min=1,max=17"`
	// MinPartPasses is the minimum prefill per server of a prompt split over several, as a multiple
	// of a forward pass without prefill. Smaller parts shorten no pass, since a part waits for the
	// next pass to begin.
	MinPartPasses float64 `yaml:"part_passes" validate:"min=0.01"`
	// MaxBacklog is the maximum prefill backlog of a server that gets a part of another long
	// prompt.
	MaxBacklog time.Duration `yaml:"room" validate:"min=0"`
	// MaxLongBacklog is the same limit for a server that is prefilling another long prompt. Engines
	// prefill the parts of split prompts before whole prompts, and late parts delay the others.
	MaxLongBacklog time.Duration `yaml:"long_room" validate:"min=0"`
	// PackableDuration is the typical duration of a packable request.
	PackableDuration time.Duration `yaml:"tight_life" validate:"min=1ms"`
	// MaxPackableTTFT is the maximum predicted time to first token with which a packable request is
	// sent to a server where inter-token objectives will be missed. If the time left to the
	// request's objective is longer, that is the maximum.
	MaxPackableTTFT time.Duration `yaml:"tight_hold" validate:"min=0"`
	// LateValueFraction is the fraction of its value that a late request keeps.
	LateValueFraction float64 `yaml:"late_part" validate:"min=0,max=1"`
	// MinGainFraction is the minimum gain of a plan, as a fraction of the request's value, while
	// the request can still meet its objective.
	MinGainFraction float64 `yaml:"good_gain" validate:"min=0,max=1"`
	// InTimeFraction is the fraction of the remaining time within which the predicted time to first
	// token must lie to count as in time.
	InTimeFraction float64 `yaml:"aim_part" validate:"min=0.1,max=1"`
	// RiskFraction is the fraction of the request's value that a plan loses when it takes all of
	// the remaining time.
	RiskFraction float64 `yaml:"risk_part" validate:"min=0,max=1"`
	// MaxLateObjectives is the maximum time past its objective for which a prompt stays queued, as
	// a multiple of the objective.
	MaxLateObjectives float64 `yaml:"patience" validate:"min=0"`
	// MinTimeToCallerDeadline is the minimum time to the caller's deadline for a prompt to stay
	// queued.
	MinTimeToCallerDeadline time.Duration `yaml:"stay_spare" validate:"min=0"`

	// streamTimeout returns, for an inter-token objective, the pause after which a stream times
	// out. It is nil when streams never time out.
	streamTimeout func(interTokenObjective time.Duration) time.Duration
}

// WithStreamTimeout returns the settings for streams that time out, and are retried at another
// server, after the pause that streamTimeout returns for their inter-token objective. Nil means
// that streams never time out.
func (settings Settings) WithStreamTimeout(streamTimeout func(interTokenObjective time.Duration) time.Duration) Settings {
	settings.streamTimeout = streamTimeout
	return settings
}

// DefaultSettings returns settings for engines that serve many short prompts beside a few long
// ones.
func DefaultSettings() Settings {
	return Settings{
		PackSlots:               0.8,
		PackDense:               0.95,
		LongPrefillPerServer:    time.Second,
		SparePackedServers:      1,
		MinUnpackedServers:      1,
		NearlyEqualPasses:       1,
		NearlyEqualRunning:      3,
		PassTimeMargin:          30 * time.Millisecond,
		MaxParts:                MaxParts,
		MinPartPasses:           0.4,
		MaxBacklog:              100 * time.Millisecond,
		MaxLongBacklog:          20 * time.Millisecond,
		PackableDuration:        1800 * time.Millisecond,
		MaxPackableTTFT:         500 * time.Millisecond,
		LateValueFraction:       0.25,
		MinGainFraction:         0.5,
		InTimeFraction:          0.9,
		RiskFraction:            0.1,
		MaxLateObjectives:       2,
		MinTimeToCallerDeadline: time.Second,
	}
}
