package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// statementListener is told of what the operator states of servers.
type statementListener interface {
	// Evacuate takes the data centres whose servers are to get nothing.
	Evacuate(dataCentres []string)
	// Configure takes the services of the configuration in force.
	Configure(services []catalog.Service)
}

// belief is what this VM takes to be in force of what the operator states. The configuration never goes back to an
// older version.
type belief struct {
	current atomic.Pointer[catalog.Catalog]
	// known is closed when there is one.
	known chan struct{}
	// evacuated has the data centres whose servers are to get nothing, by the operator's keys.
	evacuated map[string]string
	listener  statementListener
	logger    *slog.Logger
}

func newBelief(listener statementListener, logger *slog.Logger) *belief {
	return &belief{
		known: make(chan struct{}), evacuated: make(map[string]string), listener: listener, logger: logger,
	}
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

var _ follower.Listener[catalog.Statement] = (*belief)(nil)

// Replace implements follower.Listener.
func (belief *belief) Replace(values []follower.Change[catalog.Statement]) {
	before := belief.evacuated
	belief.evacuated = make(map[string]string)
	belief.take(values, before)
}

// Apply implements follower.Listener.
func (belief *belief) Apply(changes []follower.Change[catalog.Statement]) {
	before := maps.Clone(belief.evacuated)
	belief.take(changes, before)
}

// take takes over statements, before which those data centres were to get nothing. The evacuations go first: a VM that
// serves by a new configuration knows them too.
func (belief *belief) take(changes []follower.Change[catalog.Statement], before map[string]string) {
	for _, change := range changes {
		switch {
		case change.Value == nil:
			delete(belief.evacuated, change.Key) // the operator drops no configuration
		case change.Value.Evacuated != "":
			belief.evacuated[change.Key] = change.Value.Evacuated
		}
	}
	if !maps.Equal(before, belief.evacuated) {
		dataCentres := slices.Sorted(maps.Values(belief.evacuated))
		belief.logger.Info("evacuations in force", "data_centres", dataCentres)
		belief.listener.Evacuate(dataCentres)
	}
	for _, change := range changes {
		if change.Value != nil && change.Value.Configuration != nil {
			belief.configure(change.Value.Configuration)
		}
	}
}

// configure takes a configuration to be in force if it is newer.
func (belief *belief) configure(next *catalog.Catalog) {
	current := belief.current.Load()
	if current != nil && next.Version() <= current.Version() {
		return
	}
	belief.listener.Configure(next.Services())
	belief.current.Store(next)
	if current == nil {
		close(belief.known)
	}
	belief.logger.Info("configuration in force", "version", next.Version(), "routes", len(next.Routes()))
}

// Lost implements follower.Listener. The follower tells the age of the belief.
func (belief *belief) Lost() {}

// Regained implements follower.Listener.
func (belief *belief) Regained() {}
