package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// belief is the configuration that this VM takes to be in force. It never goes
// back to an older version.
type belief struct {
	current atomic.Pointer[catalog.Catalog]
	// known is closed when there is one.
	known  chan struct{}
	logger *slog.Logger
}

func newBelief(logger *slog.Logger) *belief {
	return &belief{known: make(chan struct{}), logger: logger}
}

// await returns the configuration in force, for which it waits until ctx is done when there
// is none yet. It returns nil without one.
func (belief *belief) await(ctx context.Context) *catalog.Catalog {
	select {
	case <-belief.known:
	case <-ctx.Done():
	}
	return belief.current.Load()
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
		if current == nil {
			close(belief.known)
		}
		belief.logger.Info("configuration in force", "version", next.Version(), "routes", len(next.Routes()))
	}
}

// Lost implements follower.Listener. The follower tells the age of the belief.
func (belief *belief) Lost() {}

// Regained implements follower.Listener.
func (belief *belief) Regained() {}
