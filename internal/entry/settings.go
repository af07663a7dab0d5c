package entry

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
)

// Names of routing policies in the settings.
const (
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
	PolicyLengthAware      = "length_aware"
)

// Settings configures an entry.
type Settings struct {
	// VM is the name of the VM that the entry runs on.
	VM         string `yaml:"vm" validate:"required,excludesall=.~"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	// Address is the address on which callers are served.
	Address string `yaml:"address" validate:"hostname_port"`
	// Keepers lists the addresses of the keepers that provide the state, with the
	// keeper of the same VM first.
	Keepers []string `yaml:"keepers" validate:"min=1,dive,hostname_port"`
	// Secret is shared by all processes of the system, which authenticate each other
	// with it.
	Secret string `yaml:"secret" validate:"min=16"`
	// PlainDatagrams disables segmentation offload, ECN and path MTU probing.
	PlainDatagrams bool `yaml:"plain_datagrams"`

	Limits    request.Limits    `yaml:"limits"`
	Admission AdmissionSettings `yaml:"admission"`
	Routing   RoutingSettings   `yaml:"routing"`
	Retry     RetrySettings     `yaml:"retry"`
	Group     GroupSettings     `yaml:"group"`
	Fleet     fleet.Settings    `yaml:"fleet"`
	// Quarantine configures when a request that crashes servers is quarantined.
	Quarantine quarantine.Settings `yaml:"quarantine"`
	Relay      RelaySettings       `yaml:"relay"`
	Logging    map[string]string   `yaml:"logging" validate:"dive,keys,oneof=level,endkeys,oneof=debug info warn error"`
}

// AdmissionSettings limits the requests that one entry admits, and configures its
// drain.
type AdmissionSettings struct {
	// MaxConcurrent is the maximum number of running requests.
	MaxConcurrent int `yaml:"max_concurrent" validate:"min=1"`
	// MaxBodyBytes is the maximum total size of the bodies of running requests.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024"`
	// TransferTimeout is the timeout for receiving a body, and for each write to a
	// stream.
	TransferTimeout time.Duration `yaml:"transfer_time" validate:"min=10ms,max=10m"`
	// RetryAfter is the delay before a retry that refused callers are given.
	RetryAfter time.Duration `yaml:"retry_after" validate:"min=10ms,max=10m"`
	// DrainTimeout is how long a draining entry waits for its requests in flight.
	DrainTimeout time.Duration `yaml:"drain_time" validate:"min=1s,max=2h"`
	// RefuseDelay is how long a draining entry still admits requests after its
	// readiness check fails, so that the load balancer can detect that.
	RefuseDelay time.Duration `yaml:"drain_notice" validate:"min=0,max=1m"`
}

// RoutingSettings configures the routing policy and the priorities of prompts.
type RoutingSettings struct {
	Policy      string                      `yaml:"policy" validate:"oneof=round_robin least_outstanding length_aware"`
	LengthAware routing.LengthAwareSettings `yaml:"length_aware"`
	// MediumTokens is the length in tokens below which a long prompt is prefilled
	// before longer ones.
	MediumTokens int `yaml:"medium_tokens" validate:"min=1"`
}

// RetrySettings limits the attempts after the first.
type RetrySettings struct {
	// MaxAttempts is the maximum number of attempts of a request, with the first.
	MaxAttempts int `yaml:"max_attempts" validate:"min=1,max=20"`
	// Ratio is the long-term maximum of retries per request.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`
	// Burst is the maximum number of retries that can be saved up.
	Burst float64 `yaml:"burst" validate:"min=0"`
	// Delay is the delay before the request is routed again after all servers failed.
	Delay time.Duration `yaml:"pause" validate:"min=1ms,max=10s"`
}

// GroupSettings configures memory reservations at groups of engines.
type GroupSettings struct {
	// Lease is how long an engine keeps a reservation that is not renewed.
	Lease time.Duration `yaml:"lease" validate:"min=100ms,max=10m"`
	// PollInterval is the interval at which an engine without enough free memory is retried.
	PollInterval time.Duration `yaml:"poll" validate:"min=5ms,max=10s"`
}

// RelaySettings configures how responses are relayed and stored.
type RelaySettings struct {
	// HeartbeatInterval is the interval of heartbeats on a stream to a caller.
	HeartbeatInterval time.Duration `yaml:"heartbeat" validate:"min=100ms,max=1m"`
	// DetachGrace is how long a stream continues without a caller that reads it.
	DetachGrace time.Duration `yaml:"detach_grace" validate:"min=100ms,max=10m"`
	// EndedRetention is how long the response of an ended request can be fetched.
	EndedRetention time.Duration `yaml:"keep_ended" validate:"min=1s,max=1h"`
	// MaxEnded is the maximum number of ended requests that are stored.
	MaxEnded int `yaml:"max_ended" validate:"min=1"`
}

// DefaultSettings returns the default settings. VM, data centre, addresses and
// secret are empty and have to be set.
func DefaultSettings() Settings {
	return Settings{
		PlainDatagrams: true,
		Limits:         request.DefaultLimits(),
		Admission: AdmissionSettings{
			MaxConcurrent:   4096,
			MaxBodyBytes:    512 << 20,
			TransferTimeout: 30 * time.Second,
			RetryAfter:      time.Second,
			DrainTimeout:    5 * time.Minute,
			RefuseDelay:     time.Second,
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
			Delay:       50 * time.Millisecond,
		},
		Group: GroupSettings{
			Lease:        3 * time.Second,
			PollInterval: 50 * time.Millisecond,
		},
		Fleet:      fleet.DefaultSettings(),
		Quarantine: quarantine.DefaultSettings(),
		Relay: RelaySettings{
			HeartbeatInterval: 2 * time.Second,
			DetachGrace:       10 * time.Second,
			EndedRetention:    time.Minute,
			MaxEnded:          20_000,
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
