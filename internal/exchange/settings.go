package exchange

import "time"

// Settings configures an Exchange.
type Settings struct {
	// BatchDelay is how long changes are collected before they are sent together.
	BatchDelay time.Duration `yaml:"gather" validate:"min=0,max=1s"`
	// HeartbeatInterval is the time between heartbeats, which carry all of a VM's reports.
	HeartbeatInterval time.Duration `yaml:"repeat" validate:"min=10ms"`
	// PeerTimeout is the time without a datagram after which a VM counts as down.
	PeerTimeout time.Duration `yaml:"silence" validate:"min=10ms"`
	// RegistryTimeout is the timeout of a call to the registry.
	RegistryTimeout time.Duration `yaml:"patience" validate:"min=10ms"`
	// Register is the backoff after the first failed call to the registry. It doubles with each failure up to RegisterMax.
	Register    time.Duration `yaml:"register" validate:"min=10ms"`
	RegisterMax time.Duration `yaml:"register_max" validate:"min=10ms,gtefield=Register"`
	// SeedTimeout is how long a starting VM waits for a response of a seed before it reads the registry. FirstSeedTimeout
	// replaces it when the whole fleet starts for the first time, since the registry is empty then.
	SeedTimeout      time.Duration `yaml:"seeds" validate:"min=0"`
	FirstSeedTimeout time.Duration `yaml:"seeds_first" validate:"min=0"`
	// BootstrapTime is how long after the first start of the fleet a VM may still be unknown to others. A response of a peer
	// before that names few VMs and doesn't count as complete.
	BootstrapTime time.Duration `yaml:"gathering" validate:"min=0"`
	// RegistrationInterval is the initial time between checks whether this VM must be in the registry.
	RegistrationInterval time.Duration `yaml:"enter" validate:"min=10ms"`
	// IntroducedPerDataCentre is how many live VMs of each data centre are introduced to a VM that says hello.
	IntroducedPerDataCentre int `yaml:"introduce" validate:"min=1"`
	// RefreshInterval is the time between the hellos that fetch current introductions from a coordinator.
	RefreshInterval time.Duration `yaml:"refresh" validate:"min=10ms"`
	// ReregisterSpread is the time over which the VMs spread their checks that the registry still lists them, after it was
	// restored from an older copy.
	ReregisterSpread time.Duration `yaml:"reenter" validate:"min=10ms"`
	// Coordinators is how many VMs receive the reports of all VMs. One of them assigns the requests, and the others can
	// take over from it.
	Coordinators int `yaml:"coordinators" validate:"min=1"`
	// CoordinatorWarmUp is how long a coordinator must have received reports before it is preferred. All reports are
	// repeated once per HeartbeatInterval, so a coordinator that has just started has an incomplete view.
	CoordinatorWarmUp time.Duration `yaml:"warm" validate:"min=0"`
	// Readers is how many reader candidates of its own data centre a VM sends heartbeats to, counting only those that the
	// store responds to. They determine which VM reads the store for the data centre.
	Readers int `yaml:"readers" validate:"min=1"`
	// HelloCount limits the heartbeats to VMs that are down but would be coordinators or readers if they were live: in each
	// HeartbeatInterval, up to this many of each data centre and as many others. A response names the coordinators.
	HelloCount int `yaml:"greet" validate:"min=0"`
}

// DefaultSettings returns settings for a fleet of six to eight VMs.
func DefaultSettings() Settings {
	return Settings{
		BatchDelay:              time.Millisecond,
		HeartbeatInterval:       500 * time.Millisecond,
		PeerTimeout:             1600 * time.Millisecond,
		RegistryTimeout:         2 * time.Second,
		Register:                500 * time.Millisecond,
		RegisterMax:             8 * time.Second,
		SeedTimeout:             60 * time.Millisecond,
		FirstSeedTimeout:        3 * time.Second,
		BootstrapTime:           time.Second,
		RegistrationInterval:    2 * time.Second,
		IntroducedPerDataCentre: 2,
		RefreshInterval:         5 * time.Second,
		ReregisterSpread:        10 * time.Second,
		Coordinators:            3,
		CoordinatorWarmUp:       1200 * time.Millisecond,
		Readers:                 3,
		HelloCount:              4,
	}
}
