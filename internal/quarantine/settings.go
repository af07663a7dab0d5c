package quarantine

import "time"

// Settings define when a request counts as the cause of lost servers, and for how long it is
// quarantined.
type Settings struct {
	// Limit is the number of servers that must be lost under a request, without another
	// explanation, before it is quarantined. The users allow three.
	Limit int `yaml:"limit" validate:"min=1"`
	// CertainLimit is the number of lost servers after which a request is quarantined whatever else
	// may explain them, so that other crashes cannot hide a request that crashes servers. Of the
	// three attempts that the users allow after the third crash it leaves two.
	CertainLimit int `yaml:"certain" validate:"gtefield=Limit"`
	// ContainmentLimit is the number of servers lost under a suspect from which only one request with it
	// is in flight at a time. A single lost server is too common to hold anything back.
	ContainmentLimit int `yaml:"contain" validate:"min=2"`
	// ContainmentTime is for how long after its last loss a suspect is contained. It must be longer than
	// callers take to return.
	ContainmentTime time.Duration `yaml:"contain_for" validate:"min=0"`
	// Moment is the longest time between losses that count as one event: the connections of one
	// server break within a few milliseconds, and so do those of all servers in a wave. Crashes
	// caused by one request are further apart, since each server prefills the request first.
	Moment time.Duration `yaml:"moment" validate:"min=0,max=1s"`
	// EvaluationDelay is the delay after which a loss counts. Until then VMs report which requests
	// were there, and which other servers were lost at the same moment. Without it the first
	// reported request would be ahead of others on the same server.
	EvaluationDelay time.Duration `yaml:"settle" validate:"gtefield=Moment,max=1s"`
	// RefutationWindow is the time after a loss within which a response of the server refutes it. A
	// server that crashed takes a second or more to restart.
	RefutationWindow time.Duration `yaml:"alive" validate:"min=0,max=10s"`
	// Time is the first period of a quarantine. The request is then on probation: one more loss is
	// enough for another quarantine, and each doubles the period up to TimeMax. So a wrong
	// quarantine ends by itself, and a request that crashes servers takes down one to three of them
	// within ten minutes, then fewer. An engine of the users is then unavailable for some seconds.
	Time    time.Duration `yaml:"time" validate:"min=1s"`
	TimeMax time.Duration `yaml:"time_max" validate:"gtefield=Time"`
	// HistoryTime is for how long losses count and successes are remembered.
	HistoryTime time.Duration `yaml:"memory" validate:"min=1s"`
	// ProofTime is how long after a loss it may become known that the server's process ended. It must be longer than servers
	// take to restart and to be listed anew.
	ProofTime time.Duration `yaml:"proof" validate:"min=100ms"`
	// MaxSuspects, MaxCrashes, MaxLosses, MaxSuccesses, MaxBegun and MaxEntries are the largest numbers of
	// requests and parts on lost servers, lost servers, requests and parts of all lost servers together,
	// succeeded requests, parts with which a response began, and entries that are remembered.
	MaxSuspects  int `yaml:"suspects" validate:"min=16"`
	MaxCrashes   int `yaml:"crashes" validate:"min=16"`
	MaxLosses    int `yaml:"losses" validate:"min=16"`
	MaxSuccesses int `yaml:"answered" validate:"min=16"`
	MaxBegun     int `yaml:"begun" validate:"min=16"`
	MaxEntries   int `yaml:"entries" validate:"min=1"`
	// MaxListed is the largest number of suspects that a coordinator lists to other VMs.
	MaxListed int `yaml:"listed" validate:"min=1,max=64"`
	// RepublishTime is for how long the losses and begun responses observed by this VM are reported
	// again, since datagrams may be lost.
	RepublishTime time.Duration `yaml:"repeat" validate:"min=0"`
	// BegunInterval is the shortest time between two reports of responses that began with the same part.
	BegunInterval time.Duration `yaml:"begun_every" validate:"min=1ms"`
	// ListTTL is for how long a list of suspects applies that its coordinator does not repeat.
	ListTTL time.Duration `yaml:"listed_for" validate:"min=100ms"`
	// RewriteSpread is the period over which the VMs spread their checks of a store that was
	// restored from an older state.
	RewriteSpread time.Duration `yaml:"rewrite" validate:"min=10ms"`
	// StoreTimeout is the timeout of a call to the store.
	StoreTimeout time.Duration `yaml:"store_time" validate:"min=10ms"`
	// RetryDelay is the delay after a failed store operation.
	RetryDelay time.Duration `yaml:"retry" validate:"min=10ms"`
}

// DefaultSettings returns settings that fit the bounds required by the users.
func DefaultSettings() Settings {
	return Settings{
		Limit:            3,
		CertainLimit:     5,
		ContainmentLimit: 2,
		ContainmentTime:  30 * time.Second,
		Moment:           50 * time.Millisecond,
		EvaluationDelay:  120 * time.Millisecond,
		RefutationWindow: time.Second,
		Time:             10 * time.Minute,
		TimeMax:          160 * time.Minute,
		HistoryTime:      10 * time.Minute,
		ProofTime:        10 * time.Second,
		RewriteSpread:    10 * time.Second,
		MaxSuspects:      4096,
		MaxCrashes:       1024,
		MaxLosses:        16384,
		MaxSuccesses:     4096,
		MaxBegun:         8192,
		MaxEntries:       256,
		MaxListed:        32,
		RepublishTime:    2 * time.Second,
		BegunInterval:    250 * time.Millisecond,
		ListTTL:          1600 * time.Millisecond,
		StoreTimeout:     2 * time.Second,
		RetryDelay:       500 * time.Millisecond,
	}
}
