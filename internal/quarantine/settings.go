package quarantine

import "time"

// Settings define when a request counts as the cause of lost servers, and for how long it is
// quarantined.
type Settings struct {
	// Limit is the number of lost servers without another explanation that quarantine a request.
	// The users allow three.
	Limit int `yaml:"limit" validate:"min=1"`
	// CertainLimit is the number of lost servers that quarantine a request whatever else may
	// explain them, so that other crashes cannot hide a request that crashes servers. It leaves two
	// of the three attempts that the users allow after the third crash.
	Certain int `yaml:"certain" validate:"gtefield=Limit"`
	// Moment is the longest time between losses that count as one event: the connections of one
	// server break within a few milliseconds, and so do those of all servers in a wave. Crashes
	// caused by one request are further apart, since each server prefills the request first.
	Moment time.Duration `yaml:"moment" validate:"min=0,max=1s"`
	// EvaluationDelay is the delay after which a loss counts. Until then VMs report which requests
	// were there, and which other servers were lost at the same moment. Without it the first
	// reported request would be ahead of others on the same server.
	Settle time.Duration `yaml:"settle" validate:"gtefield=Moment,max=1s"`
	// RefutationWindow is the time after a loss within which a response of the server refutes it. A
	// server that crashed takes a second or more to restart.
	Alive time.Duration `yaml:"alive" validate:"min=0,max=10s"`
	// Time is the first period of a quarantine. The request is then on probation: one more loss is
	// enough for another quarantine, and each doubles the period up to TimeMax. So a wrong
	// quarantine ends by itself, and a request that crashes servers takes down one to three of them
	// within ten minutes, then fewer. An engine of the users is then unavailable for some seconds.
	Time    time.Duration `yaml:"time" validate:"min=1s"`
	TimeMax time.Duration `yaml:"time_max" validate:"gtefield=Time"`
	// HistoryTime is for how long losses count and successes are remembered.
	Memory time.Duration `yaml:"memory" validate:"min=1s"`
	// SuccessHalfLife is the half-life of a success. A request with as many successes as losses is
	// not the cause: a request that makes up much of the traffic is on each lost server, and
	// succeeds on all others.
	GoodHalf time.Duration `yaml:"good_half" validate:"min=100ms"`
	// MaxSuspects, MaxCrashes, MaxSuccesses and MaxEntries are the largest numbers of requests on
	// lost servers, lost servers, succeeded requests and quarantined requests that are remembered.
	Suspects int `yaml:"suspects" validate:"min=16"`
	Crashes  int `yaml:"crashes" validate:"min=16"`
	Answered int `yaml:"answered" validate:"min=16"`
	Entries  int `yaml:"entries" validate:"min=1"`
	// RepublishTime is for how long the losses observed by this VM are reported again, since
	// datagrams may be lost.
	Repeat time.Duration `yaml:"repeat" validate:"min=0"`
	// RewriteSpread is the period over which the VMs spread their checks of a store that was
	// restored from an older state.
	Rewrite time.Duration `yaml:"rewrite" validate:"min=10ms"`
	// RetryDelay is the delay after a failed store operation.
	Retry time.Duration `yaml:"retry" validate:"min=10ms"`
}

// DefaultSettings returns settings that fit the bounds required by the users.
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
