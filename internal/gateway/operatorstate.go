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

// operatorState is the operator's statements that are in force at this VM: the configuration and
// the evacuations. The configuration never reverts to an older version.
type operatorState struct {
	current atomic.Pointer[catalog.Catalog]
	// configured is closed once there is a configuration.
	configured chan struct{}
	// evacuated has the data centres whose servers must get no requests, by the key of the
	// operator's statement.
	evacuated map[string]string
	listener  statementListener
	logger    *slog.Logger
}

func newOperatorState(listener statementListener, logger *slog.Logger) *operatorState {
	return &operatorState{
		configured: make(chan struct{}), evacuated: make(map[string]string), listener: listener, logger: logger,
	}
}

// await returns the configuration in force. If there is none yet it waits for the first one, and
// returns nil if ctx is done before that.
func (operatorState *operatorState) await(ctx context.Context) *catalog.Catalog {
	select {
	case <-operatorState.configured:
	case <-ctx.Done():
	}
	return operatorState.current.Load()
}

var _ follower.Listener[catalog.Record] = (*operatorState)(nil)

// Replace implements follower.Listener. Evacuations that are not among the values are revoked.
func (operatorState *operatorState) Replace(values []follower.Change[catalog.Record]) {
	previous := operatorState.evacuated
	operatorState.evacuated = make(map[string]string)
	operatorState.applyChanges(values, previous)
}

// Apply implements follower.Listener.
func (operatorState *operatorState) Apply(changes []follower.Change[catalog.Record]) {
	previous := maps.Clone(operatorState.evacuated)
	operatorState.applyChanges(changes, previous)
}

// applyChanges applies changes of statements; previous has the evacuations in force until now.
// Evacuations are applied before the configuration, so that a VM that serves by a new configuration
// also applies the evacuations stated with it.
func (operatorState *operatorState) applyChanges(changes []follower.Change[catalog.Record], previous map[string]string) {
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
			operatorState.setConfiguration(change.Value.Configuration)
		}
	}
}

// setConfiguration puts a configuration in force if it is newer.
func (operatorState *operatorState) setConfiguration(next *catalog.Catalog) {
	current := operatorState.current.Load()
	if current != nil && next.Version() <= current.Version() {
		return
	}
	operatorState.listener.Configure(next.Services())
	operatorState.current.Store(next)
	if current == nil {
		close(operatorState.configured)
	}
	operatorState.logger.Info("configuration applied", "version", next.Version(), "routes", len(next.Routes()))
}

// Lost implements follower.Listener. It does nothing, because the follower itself measures the age
// of the configuration.
func (operatorState *operatorState) Lost() {}

// Regained implements follower.Listener. It does nothing, as Lost.
func (operatorState *operatorState) Regained() {}
