package standin

import (
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/logservice"
	"github.com/mastwinch/mastwinch/internal/standin/service"
	"github.com/mastwinch/mastwinch/internal/standin/vmlist"
)

// Faults is an order to change what goes wrong. Parts that are absent stay as
// they are.
type Faults struct {
	Log    *logservice.Faults `json:"log,omitempty"`
	VMList *vmlist.Faults     `json:"vm_list,omitempty"`
	// Engine replaces the faults of the engines with that ID.
	Engine map[string]engine.Faults `json:"engine,omitempty"`
	// Service replaces the faults of the services with that ID.
	Service map[string]service.Faults `json:"service,omitempty"`
	// Kill makes backend servers with that ID die.
	Kill []string `json:"kill,omitempty"`
	// Start starts dead backend servers again, empty.
	Start []string `json:"start,omitempty"`
	// Leave makes backend servers with that ID leave.
	Leave []string `json:"leave,omitempty"`
}
