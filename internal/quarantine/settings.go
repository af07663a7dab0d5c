package quarantine

import "time"

// Settings say when a request counts as the cause of lost servers, and for how long.
type Settings struct {
	// Limit is how many servers must be lost under a request that nothing else explains. The
	// users allow three.
	Limit int `yaml:"limit" validate:"min=1"`
	// Certain is how many are enough whatever else may explain them, so that other crashes
	// cannot hide a request that crashes servers. It leaves two sends of the three that the
	// users allow after the third crash.
	Certain int `yaml:"certain" validate:"gtefield=Limit"`
	// Moment is how close losses are that may be one event: a server's connections break within some
	// milliseconds, and those of all that are lost in a wave. Of one that crashes under a request to the next
	// it takes longer, since each reads it first.
	Moment time.Duration `yaml:"moment" validate:"min=0,max=1s"`
	// Settle is after how long a loss counts. Until then VMs tell who was there, and of others lost at the same
	// moment; whoever told first would be ahead of those that were there too.
	Settle time.Duration `yaml:"settle" validate:"gtefield=Moment,max=1s"`
	// Alive is within what time after its loss an answer of a server says that it was not lost.
	// A server that crashed takes a second and more to start again.
	Alive time.Duration `yaml:"alive" validate:"min=0,max=10s"`
	// Time is for how long a request is first kept from servers. Then it is on trial: one more loss is
	// enough, and each time doubles up to TimeMax. So a mistake ends by itself, and a request that does crash servers
	// takes one to three in ten minutes, then fewer; an engine of the users is away for some seconds each time.
	Time    time.Duration `yaml:"time" validate:"min=1s"`
	TimeMax time.Duration `yaml:"time_max" validate:"gtefield=Time"`
	// Memory is for how long losses count, and good answers are remembered.
	Memory time.Duration `yaml:"memory" validate:"min=1s"`
	// GoodHalf is in what time good answers count half. While a request has as many of them as
	// losses it is not their cause: one body that is much of the traffic is on each server that
	// is lost, and ends well on all others.
	GoodHalf time.Duration `yaml:"good_half" validate:"min=100ms"`
	// Suspects, Crashes, Answered and Entries bound what is remembered: requests on servers that were
	// lost, those servers, requests that ended well, and requests kept from servers.
	Suspects int `yaml:"suspects" validate:"min=16"`
	Crashes  int `yaml:"crashes" validate:"min=16"`
	Answered int `yaml:"answered" validate:"min=16"`
	Entries  int `yaml:"entries" validate:"min=1"`
	// Repeat is for how long the losses that this VM saw are told again, since datagrams get lost.
	Repeat time.Duration `yaml:"repeat" validate:"min=0"`
	// Rewrite is the time over which VMs look what the store, which came back older, does not have any more.
	Rewrite time.Duration `yaml:"rewrite" validate:"min=10ms"`
	// Retry is the pause after the store did not answer.
	Retry time.Duration `yaml:"retry" validate:"min=10ms"`
}

// DefaultSettings returns settings for the users' bounds.
func DefaultSettings() Settings {
	return Settings{
		Limit:    3,
		Certain:  5,
		Moment:   50 * time.Millisecond,
		Settle:   120 * time.Millisecond,
		Alive:    time.Second,
		Time:     10 * time.Minute,
		TimeMax:  160 * time.Minute,
		Memory:   10 * time.Minute,
		GoodHalf: 5 * time.Second,
		Rewrite:  10 * time.Second,
		Suspects: 4096,
		Crashes:  1024,
		Answered: 4096,
		Entries:  256,
		Repeat:   2 * time.Second,
		Retry:    500 * time.Millisecond,
	}
}
