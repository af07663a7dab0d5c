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

// statementListener receives changes of the operator's statements about servers.
type statementListener interface {
	// Evacuate sets the data centres whose servers must get no requests.
	Evacuate(dataCentres []string)
	// Configure sets the services of the configuration in force.
	Configure(services []catalog.Service)
}

// belief is the operator's statements that are in force at this VM: the configuration and
// the evacuations. The configuration never reverts to an older version.
type belief struct {
	current atomic.Pointer[catalog.Catalog]
	// known is closed once there is a configuration.
	known chan struct{}
	// evacuated has the data centres whose servers must get no requests, by the key of the
	// operator's statement.
	evacuated map[string]string
	listener  statementListener
	logger    *slog.Logger
}

func newBelief(listener statementListener, logger *slog.Logger) *belief {
	return &belief{
		known: make(chan struct{}), evacuated: make(map[string]string), listener: listener, logger: logger,
	}
}

// await returns the configuration in force. If there is none yet it waits until ctx is done, and
// then returns nil.
func (operatorState *belief) await(ctx context.Context) *catalog.Catalog {
	select {
	case <-operatorState.known:
	case <-ctx.Done():
	}
	return operatorState.current.Load()
}

var _ follower.Listener[catalog.Record] = (*belief)(nil)

// Replace implements follower.Listener. Evacuations that are not among the values are revoked.
func (operatorState *belief) Replace(values []follower.Change[catalog.Record]) {
	previous := operatorState.evacuated
	operatorState.evacuated = make(map[string]string)
	operatorState.take(values, previous)
}

// Apply implements follower.Listener.
func (operatorState *belief) Apply(changes []follower.Change[catalog.Record]) {
	previous := maps.Clone(operatorState.evacuated)
	operatorState.take(changes, previous)
}

// take applies changes of statements; previous has the evacuations in force until now.
// Evacuations are applied before the configuration, so that a VM that serves by a new configuration
// also applies the evacuations stated with it.
func (operatorState *belief) take(changes []follower.Change[catalog.Record], previous map[string]string) {
	for _, change := range changes {
		switch {
		case change.Value == nil:
			delete(operatorState.evacuated, change.Key) // the operator never deletes a configuration
		case change.Value.Evacuated != "":
			operatorState.evacuated[change.Key] = change.Value.Evacuated
		}
	}
	if !maps.Equal(previous, operatorState.evacuated) {
		dataCentres := slices.Sorted(maps.Values(operatorState.evacuated))
		operatorState.logger.Info("evacuations changed", "data_centres", dataCentres)
		operatorState.listener.Evacuate(dataCentres)
	}
	for _, change := range changes {
		if change.Value != nil && change.Value.Configuration != nil {
			operatorState.configure(change.Value.Configuration)
		}
	}
}

// configure puts a configuration in force if it is newer.
func (operatorState *belief) configure(next *catalog.Catalog) {
	current := operatorState.current.Load()
	if current != nil && next.Version() <= current.Version() {
		return
	}
	operatorState.listener.Configure(next.Services())
	operatorState.current.Store(next)
	if current == nil {
		close(operatorState.known)
	}
	operatorState.logger.Info("configuration applied", "version", next.Version(), "routes", len(next.Routes()))
}

// Lost implements follower.Listener. It does nothing, because the follower itself measures the age
// of the configuration.
func (operatorState *belief) Lost() {}

// Regained implements follower.Listener. It does nothing, as Lost.
func (operatorState *belief) Regained() {}
