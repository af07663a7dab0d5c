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
	// ProbeInterval is the time between probes of links in doubt. While servers answer probes and no request, it doubles up to
	// ProbeIntervalMax.
	ProbeInterval    time.Duration `yaml:"probe" validate:"min=10ms"`
	ProbeIntervalMax time.Duration `yaml:"probe_max" validate:"gtefield=ProbeInterval"`
	// ProbeStagger is how long one server may take to answer a probe before another one is probed beside it.
	ProbeStagger time.Duration `yaml:"probe_stagger" validate:"min=10ms"`
	// ProbeCompare is how long a server may take to answer a probe until the same is asked through another VM. Sound servers answer
	// probes in a fraction of that. Zero asks no other VM.
	ProbeCompare time.Duration `yaml:"probe_compare" validate:"min=0"`
	// ProbeTimeout is how long a server may take to answer a probe. A sound server may be silent for a second.
	ProbeTimeout time.Duration `yaml:"probe_timeout" validate:"min=10ms,ltfield=FailureMemory"`
}

// DefaultSettings returns the settings for data centres within one city.
func DefaultSettings() Settings {
	return Settings{
		SilenceTime:      400 * time.Millisecond,
		MinUnreached:     2,
		FailureMemory:    3 * time.Second,
		ProbeInterval:    500 * time.Millisecond,
		ProbeIntervalMax: 4 * time.Second,
		ProbeStagger:     200 * time.Millisecond,
		ProbeCompare:     100 * time.Millisecond,
		ProbeTimeout:     1200 * time.Millisecond,
	}
}
