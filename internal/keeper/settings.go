package keeper

import "time"

// Settings configure a keeper process.
type Settings struct {
	// VM is the name of the VM that the keeper runs on.
	VM         string `yaml:"vm" validate:"required"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	// Address is the UDP address on which subscribers connect.
	Address string `yaml:"address" validate:"hostname_port"`
	// HTTPAddress is the TCP address that serves health checks and metrics.
	HTTPAddress string `yaml:"http_address" validate:"hostname_port"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform" validate:"http_url"`
	// Secret is shared by all processes of the system, which authenticate each
	// other by it.
	Secret string `yaml:"secret" validate:"min=16"`
	// Peers are the addresses of keepers to fetch the state from, also while the VM
	// list cannot be read.
	Peers []string `yaml:"peers" validate:"dive,hostname_port"`
	// PlainDatagrams disables segmentation offload, ECN and path MTU discovery.
	PlainDatagrams bool `yaml:"plain_datagrams"`

	Log       LogSettings       `yaml:"log"`
	Intervals IntervalSettings  `yaml:"intervals"`
	Keys      KeySettings       `yaml:"keys"`
	Logging   map[string]string `yaml:"logging" validate:"dive,keys,oneof=level,endkeys,oneof=debug info warn error"`
}

// LogSettings configure the use of the platform's append-only log.
type LogSettings struct {
	Stream           string `yaml:"stream" validate:"required"`
	CheckpointStream string `yaml:"checkpoint_stream" validate:"required,nefield=Stream"`
	// AppendInterval is the minimum time between two appends of this keeper.
	AppendInterval time.Duration `yaml:"append_interval" validate:"min=1ms,max=10s"`
	// AppendTimeout is the timeout of one append.
	AppendTimeout time.Duration `yaml:"append_timeout" validate:"min=10ms,max=1m"`
	// ProposalTime is how long appending a proposed record is retried.
	ProposalTime time.Duration `yaml:"proposal_time" validate:"min=100ms,max=10m"`
	// CheckpointInterval is the maximum age of the newest checkpoint. It must be well
	// below the log's retention.
	CheckpointInterval time.Duration `yaml:"checkpoint_interval" validate:"min=100ms"`
}

// IntervalSettings are the polling intervals of the platform and the engines.
type IntervalSettings struct {
	VMList time.Duration `yaml:"vm_list" validate:"min=50ms,max=1m"`
	Load   time.Duration `yaml:"load" validate:"min=20ms,max=1m"`
	// Maintenance is how often a keeper checks for maintenance work, and how much
	// longer each rank of backup keepers waits before it does the work.
	Maintenance time.Duration `yaml:"duty" validate:"min=100ms,max=10m"`
}

// KeySettings configure how long idempotency keys are kept.
type KeySettings struct {
	// Window is how long after its creation a key is kept. Older keys are rejected.
	Window time.Duration `yaml:"window" validate:"min=1s"`
	// SettleAfter is how long after its timeout a running attempt without an
	// outcome is recorded as failed, since its owner is presumed lost.
	SettleAfter time.Duration `yaml:"settle_after" validate:"min=100ms"`
}

// DefaultSettings returns the defaults. VM, data centre, addresses and secret have
// none.
func DefaultSettings() Settings {
	return Settings{
		PlainDatagrams: true,
		Log: LogSettings{
			Stream:             "mastwinch",
			CheckpointStream:   "mastwinch-checkpoints",
			AppendInterval:     20 * time.Millisecond,
			AppendTimeout:      2 * time.Second,
			ProposalTime:       30 * time.Second,
			CheckpointInterval: 2 * time.Minute,
		},
		Intervals: IntervalSettings{
			VMList:      time.Second,
			Load:        500 * time.Millisecond,
			Maintenance: 2 * time.Second,
		},
		Keys: KeySettings{
			Window:      2 * time.Hour,
			SettleAfter: 5 * time.Second,
		},
	}
}
