package keeper

import "time"

// Settings are those of a keeper.
type Settings struct {
	// VM is the name of the VM that the keeper runs on.
	VM         string `yaml:"vm" validate:"required"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	// Address is where subscribers connect, over UDP.
	Address string `yaml:"address" validate:"hostname_port"`
	// HTTPAddress is where health and metrics are served.
	HTTPAddress string `yaml:"http_address" validate:"hostname_port"`
	// Platform is the base address of the platform's services.
	Platform string `yaml:"platform" validate:"http_url"`
	// Secret proves to each other that processes belong to the system.
	Secret string `yaml:"secret" validate:"min=16"`
	// Peers are keepers to ask for state while the VM list cannot be read.
	Peers []string `yaml:"peers" validate:"dive,hostname_port"`
	// PlainDatagrams avoids offload, ECN and path MTU probing.
	PlainDatagrams bool `yaml:"plain_datagrams"`

	Log       LogSettings       `yaml:"log"`
	Intervals IntervalSettings  `yaml:"intervals"`
	Keys      KeySettings       `yaml:"keys"`
	Logging   map[string]string `yaml:"logging" validate:"dive,keys,oneof=level,endkeys,oneof=debug info warn error"`
}

// LogSettings say how the platform's log is used.
type LogSettings struct {
	Stream           string `yaml:"stream" validate:"required"`
	CheckpointStream string `yaml:"checkpoint_stream" validate:"required,nefield=Stream"`
	// AppendInterval is the least time between two appends of this keeper.
	AppendInterval time.Duration `yaml:"append_interval" validate:"min=1ms,max=10s"`
	// AppendTimeout is how long one append may take.
	AppendTimeout time.Duration `yaml:"append_timeout" validate:"min=10ms,max=1m"`
	// ProposalTime is how long a proposal is tried.
	ProposalTime time.Duration `yaml:"proposal_time" validate:"min=100ms,max=10m"`
	// CheckpointInterval must be well below the log's retention.
	CheckpointInterval time.Duration `yaml:"checkpoint_interval" validate:"min=100ms"`
}

// IntervalSettings say how often the platform and the engines are asked.
type IntervalSettings struct {
	VMList time.Duration `yaml:"vm_list" validate:"min=50ms,max=1m"`
	Load   time.Duration `yaml:"load" validate:"min=20ms,max=1m"`
	// Duty is how often a keeper looks for work that it has to do, and how
	// long a backup waits for the one before it.
	Duty time.Duration `yaml:"duty" validate:"min=100ms,max=10m"`
}

// KeySettings say how long keys are covered.
type KeySettings struct {
	// Window is how long after its time a key is covered.
	Window time.Duration `yaml:"window" validate:"min=1s"`
	// SettleAfter is how long after its stated time a running attempt is
	// taken to have lost its owner.
	SettleAfter time.Duration `yaml:"settle_after" validate:"min=100ms"`
}

// DefaultSettings returns settings without names and addresses.
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
			VMList: time.Second,
			Load:   500 * time.Millisecond,
			Duty:   2 * time.Second,
		},
		Keys: KeySettings{
			Window:      2 * time.Hour,
			SettleAfter: 5 * time.Second,
		},
	}
}
