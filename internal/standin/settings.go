package standin

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/logservice"
)

// Settings configures the simulated platform and the backend servers.
type Settings struct {
	// Address is the listen address of the platform's API. The backend servers
	// listen on the same host.
	Address string              `yaml:"address" validate:"hostname_port"`
	Log     logservice.Settings `yaml:"log"`
	VMList  VMListSettings      `yaml:"vm_list"`
	Weights WeightSettings      `yaml:"weights"`
	Engine  engine.Settings     `yaml:"engine"`
	// Engines are groups of engines with the same configuration.
	Engines  []EngineGroup  `yaml:"engines" validate:"min=1,dive"`
	Services []ServiceGroup `yaml:"services" validate:"dive"`
	// SystemVMs are the VMs that the system may run on. The VM list contains
	// the healthy ones.
	SystemVMs []SystemVM `yaml:"system_vms" validate:"dive"`
}

// VMListSettings configures the VM list. Lag is the time until a change becomes visible.
type VMListSettings struct {
	Lag time.Duration `yaml:"lag" validate:"min=0"`
}

// WeightSettings configures the weight store: its total bandwidth and the size in
// bytes of each model version's weights.
type WeightSettings struct {
	BytesPerSecond float64          `yaml:"bytes_per_second" validate:"gt=0"`
	Sizes          map[string]int64 `yaml:"sizes" validate:"dive,min=1"`
}

// EngineGroup is a group of engines in one data centre, on consecutive ports.
type EngineGroup struct {
	Name          string   `yaml:"name" validate:"required"`
	DataCentre    string   `yaml:"data_centre" validate:"required"`
	Count         int      `yaml:"count" validate:"min=1,max=1000"`
	FirstPort     int      `yaml:"first_port" validate:"min=1,max=65535"`
	Models        []string `yaml:"models" validate:"min=1"`
	ChecksFencing bool     `yaml:"checks_fencing"`
}

// ServiceGroup is a group of instances of a plain service in one data centre, on
// consecutive ports. Duration is the processing time of a call.
type ServiceGroup struct {
	Name          string        `yaml:"name" validate:"required"`
	Service       string        `yaml:"service" validate:"required"`
	DataCentre    string        `yaml:"data_centre" validate:"required"`
	Count         int           `yaml:"count" validate:"min=1,max=1000"`
	FirstPort     int           `yaml:"first_port" validate:"min=1,max=65535"`
	Duration      time.Duration `yaml:"duration" validate:"min=0"`
	ChecksFencing bool          `yaml:"checks_fencing"`
}

// SystemVM is a VM that the system may run on. Address serves /healthz, and
// KeeperAddress is where the VM's keeper process listens.
type SystemVM struct {
	ID            string `yaml:"id" validate:"required"`
	DataCentre    string `yaml:"data_centre" validate:"required"`
	Address       string `yaml:"address" validate:"hostname_port"`
	KeeperAddress string `yaml:"keeper_address" validate:"hostname_port"`
}

// DefaultSettings returns settings without backend servers and VMs.
func DefaultSettings() Settings {
	return Settings{
		Address: "127.0.0.1:7100",
		Log: logservice.Settings{
			AppendsPerSecond: 400,
			Retention:        10 * time.Minute,
			AppendDelay:      2 * time.Millisecond,
		},
		VMList: VMListSettings{Lag: time.Second},
		Weights: WeightSettings{
			BytesPerSecond: 256 << 20,
		},
		Engine: engine.DefaultSettings(),
	}
}
