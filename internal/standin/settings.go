package standin

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/logservice"
)

// Settings say which stand-ins run, and how.
type Settings struct {
	// Address is where the platform's services listen.
	Address string              `yaml:"address" validate:"hostname_port"`
	Log     logservice.Settings `yaml:"log"`
	VMList  VMListSettings      `yaml:"vm_list"`
	Weights WeightSettings      `yaml:"weights"`
	Engine  engine.Settings     `yaml:"engine"`
	// Engines are groups of engines that are alike.
	Engines  []EngineGroup  `yaml:"engines" validate:"min=1,dive"`
	Services []ServiceGroup `yaml:"services" validate:"dive"`
	// SystemVMs are the VMs that the system may run on. The list shows those
	// that answer.
	SystemVMs []SystemVM `yaml:"system_vms" validate:"dive"`
}

// VMListSettings are those of the VM list.
type VMListSettings struct {
	Lag time.Duration `yaml:"lag" validate:"min=0"`
}

// WeightSettings are those of the weight store.
type WeightSettings struct {
	BytesPerSecond float64          `yaml:"bytes_per_second" validate:"gt=0"`
	Sizes          map[string]int64 `yaml:"sizes" validate:"dive,min=1"`
}

// EngineGroup is a number of engines in one data centre, on consecutive ports.
type EngineGroup struct {
	Name          string   `yaml:"name" validate:"required"`
	DataCentre    string   `yaml:"data_centre" validate:"required"`
	Count         int      `yaml:"count" validate:"min=1,max=1000"`
	FirstPort     int      `yaml:"first_port" validate:"min=1,max=65535"`
	Models        []string `yaml:"models" validate:"min=1"`
	ChecksFencing bool     `yaml:"checks_fencing"`
}

// ServiceGroup is a number of services in one data centre, on consecutive
// ports.
type ServiceGroup struct {
	Name          string        `yaml:"name" validate:"required"`
	Service       string        `yaml:"service" validate:"required"`
	DataCentre    string        `yaml:"data_centre" validate:"required"`
	Count         int           `yaml:"count" validate:"min=1,max=1000"`
	FirstPort     int           `yaml:"first_port" validate:"min=1,max=65535"`
	Duration      time.Duration `yaml:"duration" validate:"min=0"`
	ChecksFencing bool          `yaml:"checks_fencing"`
}

// SystemVM is a VM that the system may run on.
type SystemVM struct {
	ID            string `yaml:"id" validate:"required"`
	DataCentre    string `yaml:"data_centre" validate:"required"`
	Address       string `yaml:"address" validate:"hostname_port"`
	KeeperAddress string `yaml:"keeper_address" validate:"hostname_port"`
}

// DefaultSettings returns settings without a fleet.
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
