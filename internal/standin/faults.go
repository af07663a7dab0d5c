package standin

import (
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/logservice"
	"github.com/mastwinch/mastwinch/internal/standin/service"
	"github.com/mastwinch/mastwinch/internal/standin/vmlist"
)

// Faults is a request to change faults. Absent fields leave the corresponding
// faults unchanged.
type Faults struct {
	// Log and VMList replace all faults of these services.
	Log    *logservice.Faults `json:"log,omitempty"`
	VMList *vmlist.Faults     `json:"vm_list,omitempty"`
	// Engine replaces the faults of engines, by ID.
	Engine map[string]engine.Faults `json:"engine,omitempty"`
	// Service replaces the faults of services, by ID.
	Service map[string]service.Faults `json:"service,omitempty"`
	// Kill has the IDs of backend servers to kill, which loses their state.
	Kill []string `json:"kill,omitempty"`
	// Start has the IDs of killed backend servers to start again, without state.
	Start []string `json:"start,omitempty"`
	// Drain has the IDs of backend servers to drain.
	Drain []string `json:"leave,omitempty"`
}
