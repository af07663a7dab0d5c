package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// The organisation that crowds, and its API key.
const (
	crowdingOrganisation = "visuals"
	crowdingKey          = "visuals-key"
	// crowdingCallers is how many callers it has at a time: several times as many as the engines of a run have slots.
	crowdingCallers = 150
)

// organisationOf returns the organisation that a key belongs to.
func organisationOf(key string) string {
	if key == crowdingKey {
		return crowdingOrganisation
	}
	return organisation
}

// crowd lets many callers of another organisation send short streams until the event ends. They return as they are told.
func (environment *environment) crowd(ctx context.Context, event Event) {
	ctx, cancel := context.WithTimeout(ctx, event.For)
	defer cancel()
	var callers sync.WaitGroup
	for number := range crowdingCallers {
		callers.Go(func() {
			caller := newCaller(environment, number)
			defer caller.client.CloseIdleConnections()
			for ctx.Err() == nil {
				vm := environment.vms[caller.random.IntN(len(environment.vms))]
				request := newRequest(vm, fmt.Sprintf("crowd-%d-%016x", number, caller.random.Uint64()), crowdingKey)
				request.setStream(routeStream, shortTokens, shortOutputTokens)
				outcome := caller.send(request)
				environment.crowding.add(outcome)
				select {
				case <-time.After(outcome.RetryAfter):
				case <-ctx.Done():
				}
			}
		})
	}
	callers.Wait()
}

// checkShareRefusal reports a caller that was refused since its organisation uses more than its share, and was not told
// when to return.
func checkShareRefusal(outcome Outcome, add addFunc) {
	if strings.Contains(outcome.Body, string(gateway.ReasonOrganisationOverShare)) && outcome.RetryAfter <= 0 {
		add(InvariantRetryAfterShare, "%s got %d without a time to return", outcome.ID, outcome.Status)
	}
}
