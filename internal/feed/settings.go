package feed

import "time"

// Settings control how VMs read logs from each other.
type Settings struct {
	// MinMembers is the number of live VMs that a data centre must have before VMs read from each other.
	// With fewer, direct reads make no more calls to the store.
	MinMembers int `yaml:"min_members" validate:"min=2"`
	// DelayMargin is subtracted from the time within which a change must arrive. A page of a peer
	// is used only if its age and the duration of the next read fit into the remainder.
	DelayMargin time.Duration `yaml:"margin" validate:"min=0"`
	// StoreWaitFraction is the wait of a reader at the store, as a fraction of the largest age at which its peers use a
	// page: a page may become that old while the reader waits, and the remainder is for the reads of the peers.
	StoreWaitFraction float64 `yaml:"reader_part" validate:"min=0,max=0.9"`
	// AvoidTime is how long a reader that failed is not used, and AvoidTimeNoContent how long one that responded without
	// content is not used. The latter is shorter, since such a reader keeps calling the store.
	AvoidTime          time.Duration `yaml:"avoid" validate:"min=10ms"`
	AvoidTimeNoContent time.Duration `yaml:"avoid_lost" validate:"min=10ms"`
	// MaxReaders is how many readers are tried before the store; a further one is tried only while the attempts
	// before took at most ResponseTimeout. With one reader only, all VMs behind a reader to which the store does not
	// respond would call the store.
	MaxReaders int `yaml:"tries" validate:"min=1"`
	// ProbeInterval is the time between calls to a store that responds neither to this VM nor to the readers that
	// precede it. In between, the VM waits for content from these readers, so that an unavailable store is not
	// called by all VMs.
	ProbeInterval time.Duration `yaml:"probe" validate:"min=10ms"`
	// MembersTimeout bounds how long after its start a VM waits until the members are known, since a VM that reads the
	// store in the meantime makes more calls to it. FirstMembersTimeout replaces it when all VMs start for the first
	// time: discovery takes longer then, and no request is waiting yet.
	MembersTimeout      time.Duration `yaml:"meet" validate:"min=0,max=10s"`
	FirstMembersTimeout time.Duration `yaml:"meet_first" validate:"min=0,max=10s"`
	// Wait is how long a read from a peer waits for a change.
	Wait time.Duration `yaml:"wait" validate:"min=0,max=30s"`
	// ResponseTimeout is how long a response of a peer may take in addition to Wait.
	ResponseTimeout time.Duration `yaml:"patience" validate:"min=10ms"`
}

// DefaultSettings returns settings for many VMs where a new configuration must
// be in force within 3 s.
func DefaultSettings() Settings {
	return Settings{
		MinMembers:          6,
		DelayMargin:         400 * time.Millisecond,
		StoreWaitFraction:   0.43,
		AvoidTime:           3 * time.Second,
		AvoidTimeNoContent:  time.Second,
		MaxReaders:          2,
		ProbeInterval:       3 * time.Second,
		MembersTimeout:      300 * time.Millisecond,
		FirstMembersTimeout: 2 * time.Second,
		Wait:                900 * time.Millisecond,
		ResponseTimeout:     300 * time.Millisecond,
	}
}
