package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// history records how long it took to open connections to servers, and derives the timeout for the next one.
//
// A short timeout matters if data centres are disconnected or links lose packets: a lost packet of a new connection is
// sent again only after a second, and within that time the request can meet its deadline on another server.
type openings struct {
	settings Settings
	now      func() time.Time

	mu        sync.Mutex
	byAddress map[string]opening
}

// attempts describes the connection attempts to one server.
type opening struct {
	// duration is how long the last successful attempt took, or zero if none succeeded.
	took time.Duration
	// timeouts is the number of attempts that timed out since.
	misses int
	// updatedAt is when the last recorded attempt ended.
	at time.Time
}

// timeout returns the timeout for the next attempt. It doubles with each attempt that timed out, so that a distant server
// is reached after some attempts.
func (attempts opening) patience(settings Settings) time.Duration {
	limit := max(settings.OpenMin, time.Duration(settings.OpenTimes*float64(attempts.took)))
	for range attempts.misses {
		limit = min(2*limit, settings.OpenMax)
	}
	return min(limit, settings.OpenMax)
}

func newOpenings(settings Settings, now func() time.Time) *openings {
	return &openings{settings: settings, now: now, byAddress: make(map[string]opening)}
}

// dial opens a connection with a timeout derived from the earlier ones to address, and records the outcome. An attempt
// that ends because of ctx is not recorded.
func (history *openings) dial(ctx context.Context, dialer Dialer, address string) (net.Conn, error) {
	startedAt := history.now()
	bounded, cancel := context.WithTimeout(ctx, history.of(address).patience(history.settings))
	defer cancel()
	dialled, err := dialer.Dial(bounded, address)
	switch {
	case err == nil:
		history.set(address, opening{took: history.now().Sub(startedAt)})
		return dialled, nil
	case ctx.Err() == nil && bounded.Err() != nil:
		history.miss(address)
	}
	return nil, errors.WithStack(err)
}

func (history *openings) of(address string) opening {
	history.mu.Lock()
	defer history.mu.Unlock()
	return history.byAddress[address]
}

func (history *openings) set(address string, record opening) {
	history.mu.Lock()
	defer history.mu.Unlock()
	record.at = history.now()
	history.byAddress[address] = record
}

func (history *openings) miss(address string) {
	record := history.of(address)
	record.misses++
	history.set(address, record)
}

// sweep drops the records of servers without an attempt within Settings.OpenMemory.
func (history *openings) sweep() {
	history.mu.Lock()
	defer history.mu.Unlock()
	oldest := history.now().Add(-history.settings.OpenMemory)
	for address, record := range history.byAddress {
		if record.at.Before(oldest) {
			delete(history.byAddress, address)
		}
	}
}
