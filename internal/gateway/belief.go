package gateway

import (
	"log/slog"
	"sync/atomic"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// belief is the configuration that this VM takes to be in force. It never goes
// back to an older version.
type belief struct {
	current atomic.Pointer[catalog.Catalog]
	logger  *slog.Logger
}

var _ follower.Listener[*catalog.Catalog] = (*belief)(nil)

// Replace implements follower.Listener.
func (belief *belief) Replace(values []follower.Change[*catalog.Catalog]) {
	belief.Apply(values)
}

// Apply implements follower.Listener.
func (belief *belief) Apply(changes []follower.Change[*catalog.Catalog]) {
	for _, change := range changes {
		if change.Value == nil {
			continue // the operator drops no configuration
		}
		next := *change.Value
		current := belief.current.Load()
		if current != nil && next.Version() <= current.Version() {
			continue
		}
		belief.current.Store(next)
		belief.logger.Info("configuration in force", "version", next.Version(), "routes", len(next.Routes()))
	}
}

// Lost implements follower.Listener. The follower tells the age of the belief.
func (belief *belief) Lost() {}

// Regained implements follower.Listener.
func (belief *belief) Regained() {}
