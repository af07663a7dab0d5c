package exchange

import "time"

// Settings tune the exchange.
type Settings struct {
	// Gather is how long changes are gathered into one datagram.
	Gather time.Duration `yaml:"gather" validate:"min=0,max=1s"`
	// Repeat is the time between telling of all that is under way.
	Repeat time.Duration `yaml:"repeat" validate:"min=10ms"`
	// Silence is after how long without a datagram a VM counts as away.
	Silence time.Duration `yaml:"silence" validate:"min=10ms"`
	// Patience is how long the register may take to answer.
	Patience time.Duration `yaml:"patience" validate:"min=10ms"`
	// Register is the time after the first failure to reach the register, which doubles up to RegisterMax.
	Register    time.Duration `yaml:"register" validate:"min=10ms"`
	RegisterMax time.Duration `yaml:"register_max" validate:"min=10ms,gtefield=Register"`
	// Seeds is how long the VMs that the settings name may take to answer before the register is read, and SeedsFirst the
	// same where all VMs start for the first time, so that the register is empty.
	Seeds      time.Duration `yaml:"seeds" validate:"min=0"`
	SeedsFirst time.Duration `yaml:"seeds_first" validate:"min=0"`
	// Gathering is how long after its first start a system has not yet gathered: who is asked then knows few of the others.
	Gathering time.Duration `yaml:"gathering" validate:"min=0"`
	// Enter is the time between looks whether this VM belongs in the register.
	Enter time.Duration `yaml:"enter" validate:"min=10ms"`
	// Introduce is how many VMs of each data centre are made known to all.
	Introduce int `yaml:"introduce" validate:"min=1"`
	// Refresh is the time between questions who is to be known.
	Refresh time.Duration `yaml:"refresh" validate:"min=10ms"`
	// Reenter is the time over which all VMs look whether the register still has them, after it came back older.
	Reenter time.Duration `yaml:"reenter" validate:"min=10ms"`
	// Coordinators is how many VMs are told of all that is under way, so that one
	// decides and the others can go on for it.
	Coordinators int `yaml:"coordinators" validate:"min=1"`
	// Warm is for how long a VM must have been told before it decides while another
	// one can: what is under way is told again once in Repeat.
	Warm time.Duration `yaml:"warm" validate:"min=0"`
	// Readers is how many VMs of its own data centre that the store answers a VM keeps
	// in touch with, so that it knows who reads the store there.
	Readers int `yaml:"readers" validate:"min=1"`
	// Greet is how many of the VMs that are away, and would decide or read the store if
	// they were not, are greeted in each Repeat: so many of each data centre, and of the
	// rest. Each that answers tells who decides.
	Greet int `yaml:"greet" validate:"min=0"`
}

// DefaultSettings returns settings for today's six to eight VMs.
func DefaultSettings() Settings {
	return Settings{
		Gather:       time.Millisecond,
		Repeat:       500 * time.Millisecond,
		Silence:      1600 * time.Millisecond,
		Patience:     2 * time.Second,
		Register:     500 * time.Millisecond,
		RegisterMax:  8 * time.Second,
		Seeds:        60 * time.Millisecond,
		SeedsFirst:   3 * time.Second,
		Gathering:    time.Second,
		Enter:        2 * time.Second,
		Introduce:    2,
		Refresh:      5 * time.Second,
		Reenter:      10 * time.Second,
		Coordinators: 3,
		Warm:         1200 * time.Millisecond,
		Readers:      3,
		Greet:        4,
	}
}
