package tunnel

import "time"

// Settings configure tunnels.
type Settings struct {
	// Enabled is whether this VM opens tunnels through others and serves theirs.
	Enabled bool `yaml:"enabled"`
	// Frames is whether this VM asks VMs that serve its tunnels to tell how the server's side ended, and tells those that ask.
	Frames bool `yaml:"frames"`
	// HeadStart is how long a connection over a doubtful link of this VM may take before a tunnel is opened beside it. A
	// sound server in the region accepts a connection in a fraction of that.
	HeadStart time.Duration `yaml:"head_start" validate:"min=1ms"`
	// Stagger is how long one VM may take to open a tunnel before the next one is tried beside it.
	Stagger time.Duration `yaml:"stagger" validate:"min=1ms"`
	// MaxPeers is how many VMs are tried for one connection.
	MaxPeers int `yaml:"max_peers" validate:"min=1"`
	// OpenTimeout is how long opening a tunnel may take, over all VMs that are tried.
	OpenTimeout time.Duration `yaml:"open_timeout" validate:"min=10ms"`
	// AvoidTime is how long a VM that failed to open a tunnel is avoided.
	AvoidTime time.Duration `yaml:"avoid" validate:"min=0"`
	// ReuseTime is how long after its opening a tunnel may take further requests, so that load returns to the VM's own
	// links, and no more requests come to a VM that is to stop.
	ReuseTime time.Duration `yaml:"reuse" validate:"min=0"`
	// MaxOpen is how many tunnels this VM serves at the same time. Each takes two descriptors and some 40 KB of memory.
	MaxOpen int `yaml:"max_open" validate:"min=1"`
}

// DefaultSettings returns the settings for data centres within one city.
func DefaultSettings() Settings {
	return Settings{
		Enabled:     true,
		Frames:      true,
		HeadStart:   40 * time.Millisecond,
		Stagger:     80 * time.Millisecond,
		MaxPeers:    4,
		OpenTimeout: time.Second,
		AvoidTime:   time.Second,
		ReuseTime:   2 * time.Second,
		MaxOpen:     256,
	}
}
