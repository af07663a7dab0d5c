package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// dialHistory records how long it took to open connections to servers, and derives the timeout for the next one.
//
// A short timeout matters if data centres are disconnected or links lose packets: a lost packet of a new connection is
// sent again only after a second, and within that time the request can meet its deadline on another server.
type openings struct {
	settings Settings
	now      func() time.Time

	mu        sync.Mutex
	byAddress map[string]opening
}

// dialRecord describes the connection attempts to one server.
type opening struct {
	// duration is how long the last successful attempt took, or zero if none succeeded.
	took time.Duration
	// timeouts is the number of attempts that timed out since.
	misses int
	// updatedAt is when the last attempt ended.
	at time.Time
}

// timeout returns the timeout for the next attempt. It doubles with each attempt that timed out, so that a distant server
// is reached after some attempts.
func (opening opening) patience(settings Settings) time.Duration {
	timeout := max(settings.OpenMin, time.Duration(settings.OpenTimes*float64(opening.took)))
	for range opening.misses {
		timeout = min(2*timeout, settings.OpenMax)
	}
	return min(timeout, settings.OpenMax)
}

func newOpenings(settings Settings, now func() time.Time) *openings {
	return &openings{settings: settings, now: now, byAddress: make(map[string]opening)}
}

// dial opens a connection with a timeout derived from the earlier ones to address, and records the outcome. An attempt
// that ends because of ctx is not recorded.
func (openings *openings) dial(ctx context.Context, dialer Dialer, address string) (net.Conn, error) {
	startedAt := openings.now()
	bounded, cancel := context.WithTimeout(ctx, openings.of(address).patience(openings.settings))
	defer cancel()
	dialled, err := dialer.Dial(bounded, address)
	switch {
	case err == nil:
		openings.set(address, opening{took: openings.now().Sub(startedAt)})
		return dialled, nil
	case ctx.Err() == nil && bounded.Err() != nil:
		openings.miss(address)
	}
	return nil, errors.WithStack(err)
}

func (openings *openings) of(address string) opening {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	return openings.byAddress[address]
}

func (openings *openings) set(address string, record opening) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	record.at = openings.now()
	openings.byAddress[address] = record
}

func (openings *openings) miss(address string) {
	record := openings.of(address)
	record.misses++
	openings.set(address, record)
}

// sweep drops the records of servers without an attempt within Settings.OpenMemory.
func (openings *openings) sweep() {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	oldest := openings.now().Add(-openings.settings.OpenMemory)
	for address, record := range openings.byAddress {
		if record.at.Before(oldest) {
			delete(openings.byAddress, address)
		}
	}
}
