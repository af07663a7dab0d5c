package reachability

import "time"

// Settings configure when a VM's own links to the backend servers count as cut.
type Settings struct {
	// SilenceTime is how long requests may be outstanding while nothing arrives from any server until the links are in
	// doubt. Doubt costs at most a new connection, so it may be far shorter than the silence of a sound server.
	SilenceTime time.Duration `yaml:"silence" validate:"min=50ms"`
	// MinUnreached is the number of servers that must be out of reach, and none reached since, for the links to count as
	// cut. It keeps a few failed servers from being taken for a cut.
	MinUnreached int `yaml:"servers" validate:"min=1"`
	// FailureMemory is how long a failed connection attempt counts.
	FailureMemory time.Duration `yaml:"memory" validate:"min=100ms"`
	// ProbeInterval is the time between attempts over links that count as cut.
	ProbeInterval time.Duration `yaml:"probe" validate:"min=10ms"`
}

// DefaultSettings returns the settings for data centres within one city.
func DefaultSettings() Settings {
	return Settings{
		SilenceTime:   400 * time.Millisecond,
		MinUnreached:  2,
		FailureMemory: 3 * time.Second,
		ProbeInterval: 500 * time.Millisecond,
	}
}
