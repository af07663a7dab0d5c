package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// openings knows how long connections to servers take to open, and so how long to wait for one.
//
// It answers cuts between data centres and links that lose packets: what is lost is sent again only after a second, so
// who waits for longer than a server usually takes waits for nothing, and its request would be in time elsewhere.
type openings struct {
	settings Settings
	now      func() time.Time

	mu        sync.Mutex
	byAddress map[string]opening
}

// opening is what is known of the connections to one server.
type opening struct {
	// took is how long the last one took that opened, or zero for none.
	took time.Duration
	// misses counts those since that took too long.
	misses int
	at     time.Time
}

// patience is how long the next one may take. It doubles with each miss, so that a server that is far away is reached in
// the end.
func (opening opening) patience(settings Settings) time.Duration {
	usual := max(settings.OpenMin, time.Duration(settings.OpenTimes*float64(opening.took)))
	for range opening.misses {
		usual = min(2*usual, settings.OpenMax)
	}
	return min(usual, settings.OpenMax)
}

func newOpenings(settings Settings, now func() time.Time) *openings {
	return &openings{settings: settings, now: now, byAddress: make(map[string]opening)}
}

// dial opens a connection, for which it waits as long as such ones take.
func (openings *openings) dial(ctx context.Context, dialer Dialer, address string) (net.Conn, error) {
	started := openings.now()
	bounded, cancel := context.WithTimeout(ctx, openings.of(address).patience(openings.settings))
	defer cancel()
	dialled, err := dialer.Dial(bounded, address)
	switch {
	case err == nil:
		openings.set(address, opening{took: openings.now().Sub(started)})
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

func (openings *openings) set(address string, known opening) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	known.at = openings.now()
	openings.byAddress[address] = known
}

func (openings *openings) miss(address string) {
	known := openings.of(address)
	known.misses++
	openings.set(address, known)
}

// sweep forgets servers that nothing was opened to for long.
func (openings *openings) sweep() {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	oldest := openings.now().Add(-openings.settings.OpenMemory)
	for address, known := range openings.byAddress {
		if known.at.Before(oldest) {
			delete(openings.byAddress, address)
		}
	}
}
