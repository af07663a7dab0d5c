package entry

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
)

// Names of policies.
const (
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
	PolicyLengthAware      = "length_aware"
)

// Settings are those of an entry.
type Settings struct {
	// VM is the name of the VM that the entry runs on.
	VM         string `yaml:"vm" validate:"required,excludesall=.~"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	// Address is where callers connect.
	Address string `yaml:"address" validate:"hostname_port"`
	// Keepers are where to get the state from, the own VM's keeper first.
	Keepers []string `yaml:"keepers" validate:"min=1,dive,hostname_port"`
	// Secret proves to each other that processes belong to the system.
	Secret string `yaml:"secret" validate:"min=16"`
	// PlainDatagrams avoids offload, ECN and path MTU probing.
	PlainDatagrams bool `yaml:"plain_datagrams"`

	Limits    request.Limits    `yaml:"limits"`
	Admission AdmissionSettings `yaml:"admission"`
	Routing   RoutingSettings   `yaml:"routing"`
	Retry     RetrySettings     `yaml:"retry"`
	Group     GroupSettings     `yaml:"group"`
	Fleet     fleet.Settings    `yaml:"fleet"`
	// Quarantine says when a request is kept from servers since they crash under it.
	Quarantine quarantine.Settings `yaml:"quarantine"`
	Relay      RelaySettings       `yaml:"relay"`
	Logging    map[string]string   `yaml:"logging" validate:"dive,keys,oneof=level,endkeys,oneof=debug info warn error"`
}

// AdmissionSettings bound what one entry takes on.
type AdmissionSettings struct {
	// MaxConcurrent is how many requests run at a time.
	MaxConcurrent int `yaml:"max_concurrent" validate:"min=1"`
	// MaxBodyBytes is how many bytes of prompts are held at a time.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024"`
	// TransferTime is how long a caller may take to send a body, and to read
	// what is ready for it.
	TransferTime time.Duration `yaml:"transfer_time" validate:"min=10ms,max=10m"`
	// RetryAfter is when a refused caller is told to come back.
	RetryAfter time.Duration `yaml:"retry_after" validate:"min=10ms,max=10m"`
	// DrainTime is how long a stopping entry waits for its requests.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=1s,max=2h"`
	// DrainNotice is how long it still takes requests after it has said that
	// it is not ready, so that the balancer can notice.
	DrainNotice time.Duration `yaml:"drain_notice" validate:"min=0,max=1m"`
}

// RoutingSettings choose the policy.
type RoutingSettings struct {
	Policy      string                      `yaml:"policy" validate:"oneof=round_robin least_outstanding length_aware"`
	LengthAware routing.LengthAwareSettings `yaml:"length_aware"`
	// MediumTokens is the length up to which a long prompt is computed
	// before longer ones.
	MediumTokens int `yaml:"medium_tokens" validate:"min=1"`
}

// RetrySettings bound attempts after the first.
type RetrySettings struct {
	MaxAttempts int `yaml:"max_attempts" validate:"min=1,max=20"`
	// Ratio is how many retries there may be for each request, over time.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`
	// Burst is how many retries there may be at once.
	Burst float64 `yaml:"burst" validate:"min=0"`
	// Pause is how long to wait before an attempt when no server is usable.
	Pause time.Duration `yaml:"pause" validate:"min=1ms,max=10s"`
}

// GroupSettings say how groups of engines are reserved.
type GroupSettings struct {
	// Lease is how long an engine holds a reservation that is not renewed.
	Lease time.Duration `yaml:"lease" validate:"min=100ms,max=10m"`
	// Poll is how long to wait for memory before asking an engine again.
	Poll time.Duration `yaml:"poll" validate:"min=5ms,max=10s"`
}

// RelaySettings say how answers are passed on and kept.
type RelaySettings struct {
	// Heartbeat is the longest silence on a stream to a caller.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=100ms,max=1m"`
	// DetachGrace is how long a stream runs on that no caller reads.
	DetachGrace time.Duration `yaml:"detach_grace" validate:"min=100ms,max=10m"`
	// KeepEnded is how long the answer of an ended request can be fetched.
	KeepEnded time.Duration `yaml:"keep_ended" validate:"min=1s,max=1h"`
	// MaxEnded is how many ended requests are kept.
	MaxEnded int `yaml:"max_ended" validate:"min=1"`
}

// DefaultSettings returns settings without names and addresses.
func DefaultSettings() Settings {
	return Settings{
		PlainDatagrams: true,
		Limits:         request.DefaultLimits(),
		Admission: AdmissionSettings{
			MaxConcurrent: 4096,
			MaxBodyBytes:  512 << 20,
			TransferTime:  30 * time.Second,
			RetryAfter:    time.Second,
			DrainTime:     5 * time.Minute,
			DrainNotice:   time.Second,
		},
		Routing: RoutingSettings{
			Policy:       PolicyLengthAware,
			LengthAware:  routing.DefaultLengthAwareSettings(),
			MediumTokens: 64 << 10,
		},
		Retry: RetrySettings{
			MaxAttempts: 4,
			Ratio:       0.1,
			Burst:       100,
			Pause:       50 * time.Millisecond,
		},
		Group: GroupSettings{
			Lease: 3 * time.Second,
			Poll:  50 * time.Millisecond,
		},
		Fleet:      fleet.DefaultSettings(),
		Quarantine: quarantine.DefaultSettings(),
		Relay: RelaySettings{
			Heartbeat:   2 * time.Second,
			DetachGrace: 10 * time.Second,
			KeepEnded:   time.Minute,
			MaxEnded:    20_000,
		},
	}
}

func newPolicy(settings RoutingSettings) routing.Policy {
	switch settings.Policy {
	case PolicyRoundRobin:
		return routing.NewRoundRobin()
	case PolicyLeastOutstanding:
		return routing.LeastOutstanding{}
	default:
		return routing.NewLengthAware(settings.LengthAware)
	}
}
