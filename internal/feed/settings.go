package feed

import "time"

// Settings tune the feed.
type Settings struct {
	// MinMembers is how many live VMs a data centre must have for one of them to
	// read for the others. With few, reading directly costs no more.
	MinMembers int `yaml:"min_members" validate:"min=2"`
	// Margin is kept of the bound on new configurations. What another VM tells
	// is taken only while it, and the next question, fit into the rest.
	Margin time.Duration `yaml:"margin" validate:"min=0"`
	// ReaderPart is the part of the age that another VM's content may have for which a question may wait at the store when
	// others depend on the answer: what they get is as old as that at times, and the rest is for their own questions.
	ReaderPart float64 `yaml:"reader_part" validate:"min=0,max=0.9"`
	// Avoid is how long a VM is not asked that did not answer, and AvoidLost how long
	// one that said that it has nothing to tell: it tries to get it all the time.
	Avoid     time.Duration `yaml:"avoid" validate:"min=10ms"`
	AvoidLost time.Duration `yaml:"avoid_lost" validate:"min=10ms"`
	// Tries is how many other VMs are asked before the store, while the first of them
	// answers within Patience that it does not know. Else all VMs behind one reader that the
	// store turns away call it.
	Tries int `yaml:"tries" validate:"min=1"`
	// Probe is the time between questions to a store that answered neither this VM nor
	// those that read it before this one. Meanwhile it waits for their answers, so that
	// many VMs do not all ask a store that is away.
	Probe time.Duration `yaml:"probe" validate:"min=10ms"`
	// Meet is how long after its start a VM waits at most until it knows whom to ask:
	// each that reads the store meanwhile calls it more often. MeetFirst is the same
	// where all VMs start for the first time: nobody is asked before all are there, which
	// takes longer, and nobody calls yet.
	Meet      time.Duration `yaml:"meet" validate:"min=0,max=10s"`
	MeetFirst time.Duration `yaml:"meet_first" validate:"min=0,max=10s"`
	// Wait is how long a question to another VM waits.
	Wait time.Duration `yaml:"wait" validate:"min=0,max=30s"`
	// Patience is how long an answer may take beyond Wait.
	Patience time.Duration `yaml:"patience" validate:"min=10ms"`
}

// DefaultSettings returns settings for the 3 s within which the users' new
// configurations must be in force where there are many VMs.
func DefaultSettings() Settings {
	return Settings{
		MinMembers: 6,
		Margin:     400 * time.Millisecond,
		ReaderPart: 0.43,
		Avoid:      3 * time.Second,
		AvoidLost:  time.Second,
		Tries:      2,
		Probe:      3 * time.Second,
		Meet:       300 * time.Millisecond,
		MeetFirst:  2 * time.Second,
		Wait:       900 * time.Millisecond,
		Patience:   300 * time.Millisecond,
	}
}
