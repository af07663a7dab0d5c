package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

// history records how long it took to open connections to servers, and derives the timeout for the next one.
//
// A short timeout matters if data centres are disconnected or links lose packets: a lost packet of a new connection is
// sent again only after a second, and within that time the request can meet its deadline on another server.
type history struct {
	settings Settings
	now      func() time.Time

	mu        sync.Mutex
	byAddress map[string]attempts
}

// attempts describes the connection attempts to one server.
type attempts struct {
	// duration is how long the last successful attempt took, or zero if none succeeded.
	duration time.Duration
	// timeouts is the number of attempts that timed out since.
	timeouts int
	// updatedAt is when the last recorded attempt ended.
	updatedAt time.Time
}

// timeout returns the timeout for the next attempt. It doubles with each attempt that timed out, so that a distant server
// is reached after some attempts.
func (attempts attempts) timeout(settings Settings) time.Duration {
	limit := max(settings.OpenMin, time.Duration(settings.OpenFactor*float64(attempts.duration)))
	for range attempts.timeouts {
		limit = min(2*limit, settings.OpenMax)
	}
	return min(limit, settings.OpenMax)
}

func newHistory(settings Settings, now func() time.Time) *history {
	return &history{settings: settings, now: now, byAddress: make(map[string]attempts)}
}

// dial opens a connection with a timeout derived from the earlier ones to address, and records the outcome. An attempt
// that ends because of ctx is not recorded.
func (history *history) dial(ctx context.Context, dialer network.Dialer, address string) (net.Conn, error) {
	startedAt := history.now()
	bounded, cancel := context.WithTimeout(ctx, history.get(address).timeout(history.settings))
	defer cancel()
	dialled, err := dialer.Dial(bounded, address)
	switch {
	case err == nil:
		history.set(address, attempts{duration: history.now().Sub(startedAt)})
		return dialled, nil
	case ctx.Err() == nil && bounded.Err() != nil:
		history.recordTimeout(address)
	}
	return nil, errors.WithStack(err)
}

func (history *history) get(address string) attempts {
	history.mu.Lock()
	defer history.mu.Unlock()
	return history.byAddress[address]
}

func (history *history) set(address string, record attempts) {
	history.mu.Lock()
	defer history.mu.Unlock()
	record.updatedAt = history.now()
	history.byAddress[address] = record
}

func (history *history) recordTimeout(address string) {
	record := history.get(address)
	record.timeouts++
	history.set(address, record)
}

// sweep drops the records of servers without an attempt within Settings.HistoryRetention.
func (history *history) sweep() {
	history.mu.Lock()
	defer history.mu.Unlock()
	oldest := history.now().Add(-history.settings.HistoryRetention)
	for address, record := range history.byAddress {
		if record.updatedAt.Before(oldest) {
			delete(history.byAddress, address)
		}
	}
}
