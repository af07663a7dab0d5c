package placement

import "time"

// Settings tune LengthAware.
type Settings struct {
	// PackSlots is the part of the slots of a server that tight requests fill. The
	// rest is room for those that several VMs send at the same moment. A greater part leaves
	// more servers to long prompts.
	PackSlots float64 `yaml:"pack_slots" validate:"min=0.1,max=1"`
	// PackDense is the same while long prompts want servers: one for each LongTime of
	// reading that waits or is in progress, which would find no server in a burst of short ones.
	PackDense float64       `yaml:"pack_dense" validate:"max=1,gtefield=PackSlots"`
	LongTime  time.Duration `yaml:"long_time" validate:"min=10ms"`
	// KeepSpare is how many servers beside the filled ones are kept for tight
	// requests, and LeaveLong how many are never kept.
	KeepSpare int `yaml:"keep_spare" validate:"min=0"`
	LeaveLong int `yaml:"leave_long" validate:"min=0"`
	// NearPasses is the reading up to which servers count as equally busy, in passes
	// without reading.
	NearPasses float64 `yaml:"near_passes" validate:"min=0.01"`
	// NearRunning is how many requests more a server may have to count as equally
	// busy.
	NearRunning int `yaml:"near_running" validate:"min=0"`
	// PassSpare is what a pass takes beside reading, steps and context: what other VMs send
	// meanwhile, which is not known yet.
	PassSpare time.Duration `yaml:"pass_spare" validate:"min=0"`
	// MaxParts is the most servers that read one prompt.
	MaxParts int `yaml:"max_parts" validate:"min=1,max=17"`
	// PartPasses is the least that a server reads of a prompt read by several, in passes
	// without reading: less shortens no pass, since what is sent waits for the next one.
	PartPasses float64 `yaml:"part_passes" validate:"min=0.01"`
	// Room is the most that a server may have to read to get a part of another
	// long prompt.
	Room time.Duration `yaml:"room" validate:"min=0"`
	// LongRoom is the same for a server that reads another long prompt: the
	// parts of several servers are read before the prompt of one, and late ones
	// hold up the others.
	LongRoom time.Duration `yaml:"long_room" validate:"min=0"`
	// TightLife is how long a tight request takes, about.
	TightLife time.Duration `yaml:"tight_life" validate:"min=1ms"`
	// TightHold is how late the first event of a tight request may be predicted
	// for it to be sent where pauses grow too long.
	TightHold time.Duration `yaml:"tight_hold" validate:"min=0"`
	// LatePart is the part of its worth that a late request keeps.
	LatePart float64 `yaml:"late_part" validate:"min=0,max=1"`
	// GoodGain is the part of its worth that a plan must bring for a request
	// that can still be in time.
	GoodGain float64 `yaml:"good_gain" validate:"min=0,max=1"`
	// AimPart is the part of the time left within which a first event must be
	// predicted to count as in time.
	AimPart float64 `yaml:"aim_part" validate:"min=0.1,max=1"`
	// RiskPart is the part of its worth that a plan loses when it takes all of
	// the time that is left.
	RiskPart float64 `yaml:"risk_part" validate:"min=0,max=1"`
	// Patience is the multiple of the objective, beyond it, for which a prompt
	// is held at most.
	Patience float64 `yaml:"patience" validate:"min=0"`
	// StaySpare is how long its caller must stay for a prompt to be held.
	StaySpare time.Duration `yaml:"stay_spare" validate:"min=0"`

	// silence tells for a pause that is in time after which one a stream is given
	// up, or is nil when none ever is.
	silence func(gap time.Duration) time.Duration
}

// WithSilence returns settings for streams that are given up, and go on at another
// server, after the pause that silence tells for one that is in time.
func (settings Settings) WithSilence(silence func(gap time.Duration) time.Duration) Settings {
	settings.silence = silence
	return settings
}

// DefaultSettings returns the settings that docs/RESULTS.md found best.
func DefaultSettings() Settings {
	return Settings{
		PackSlots:   0.8,
		PackDense:   0.95,
		LongTime:    time.Second,
		KeepSpare:   1,
		LeaveLong:   1,
		NearPasses:  1,
		NearRunning: 3,
		PassSpare:   30 * time.Millisecond,
		MaxParts:    MaxParts,
		PartPasses:  0.4,
		Room:        100 * time.Millisecond,
		LongRoom:    20 * time.Millisecond,
		TightLife:   1800 * time.Millisecond,
		TightHold:   500 * time.Millisecond,
		LatePart:    0.25,
		GoodGain:    0.5,
		AimPart:     0.9,
		RiskPart:    0.1,
		Patience:    2,
		StaySpare:   time.Second,
	}
}
