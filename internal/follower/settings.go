package follower

import "time"

// Settings say how often the source is asked.
type Settings struct {
	// Wait is how long one question waits for a change.
	Wait time.Duration `yaml:"wait" validate:"min=0,max=30s"`
	// Pause is the least time from one question to the next.
	Pause time.Duration `yaml:"pause" validate:"min=0,max=30s"`
	// Patience is how long an answer, or a part of one, may take beyond Wait.
	Patience time.Duration `yaml:"patience" validate:"min=10ms,max=30s"`
	// Settle is how long after the source came back older the others may still write again what it lost.
	Settle time.Duration `yaml:"settle" validate:"min=0,max=1m"`
	// RetryMin and RetryMax bound the pause after a failure, which doubles.
	RetryMin time.Duration `yaml:"retry_min" validate:"min=1ms"`
	RetryMax time.Duration `yaml:"retry_max" validate:"min=1ms"`
}

// WithSettleAtLeast returns the settings with that long a time to settle, if theirs is shorter.
func (settings Settings) WithSettleAtLeast(least time.Duration) Settings {
	settings.Settle = max(settings.Settle, least)
	return settings
}
