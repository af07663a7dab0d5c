package backend

import (
	"maps"
	"sync"
	"time"
)

// echoing has the addresses of backend servers whose last response echoed the ID of its attempt. An address is forgotten once it has
// had no response for as long as idle connections are kept, so that those of servers that left don't stay. It is safe for concurrent use.
type echoing struct {
	now func() time.Time

	mu sync.Mutex
	// seen has when each of them last had a response.
	seen    map[string]time.Time
	sweptAt time.Time
}

func newEchoing(now func() time.Time) *echoing {
	return &echoing{now: now, seen: make(map[string]time.Time), sweptAt: now()}
}

func (echoing *echoing) has(address string) bool {
	echoing.mu.Lock()
	defer echoing.mu.Unlock()
	return echoing.isCurrent(echoing.seen[address])
}

func (echoing *echoing) isCurrent(seen time.Time) bool {
	return echoing.now().Sub(seen) < idleTimeout
}

func (echoing *echoing) add(address string) {
	echoing.mu.Lock()
	defer echoing.mu.Unlock()
	echoing.seen[address] = echoing.now()
	if echoing.isCurrent(echoing.sweptAt) {
		return
	}
	echoing.sweptAt = echoing.now()
	maps.DeleteFunc(echoing.seen, func(_ string, seen time.Time) bool { return !echoing.isCurrent(seen) })
}

func (echoing *echoing) remove(address string) {
	echoing.mu.Lock()
	defer echoing.mu.Unlock()
	delete(echoing.seen, address)
}
