package follower

import "time"

// Settings control how a source is read.
type Settings struct {
	// Wait is how long one read waits for a change.
	Wait time.Duration `yaml:"wait" validate:"min=0,max=30s"`
	// MinInterval is the minimum time from the start of a read to the start of the next one.
	MinInterval time.Duration `yaml:"pause" validate:"min=0,max=30s"`
	// ResponseTimeout is how long a response, or a part of one, may take in addition to Wait.
	ResponseTimeout time.Duration `yaml:"patience" validate:"min=10ms,max=30s"`
	// SettleTime is how long after a rollback of the source the records lost in it may still be written again. The source is
	// unsettled during that time: a missing value may reappear.
	SettleTime time.Duration `yaml:"settle" validate:"min=0,max=1m"`
	// RetryMin and RetryMax bound the backoff after a failure, which doubles with each further one.
	RetryMin time.Duration `yaml:"retry_min" validate:"min=1ms"`
	RetryMax time.Duration `yaml:"retry_max" validate:"min=1ms"`
}

// WithMinSettleTime returns the settings with SettleTime raised to minimum if it is shorter.
func (settings Settings) WithMinSettleTime(minimum time.Duration) Settings {
	settings.SettleTime = max(settings.SettleTime, minimum)
	return settings
}
