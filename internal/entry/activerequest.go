package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
)

// activeRequest is a request that this entry is running, or an ended one whose
// response it still stores.
type activeRequest struct {
	request request.Request
	buffer  *relay.Buffer
	// deadline is when the outcome must have been sent to the caller.
	deadline time.Time
	cancel   context.CancelCauseFunc
}

// registry holds the running and the recently ended requests. It is safe for
// concurrent use.
type registry struct {
	mu      sync.Mutex
	running map[string]*activeRequest
	// ended evicts the oldest request when it is full.
	ended *simplelru.LRU[string, *activeRequest]
}

func newRegistry(maxEnded int) *registry {
	ended, err := simplelru.NewLRU[string, *activeRequest](maxEnded, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below one
	}
	return &registry{
		running: make(map[string]*activeRequest),
		ended:   ended,
	}
}

func (registry *registry) add(active *activeRequest) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.running[active.request.ID] = active
}

// addOnce adds a request unless one with the same ID is present. It returns the
// request that is in the registry afterwards, and whether that is the added one.
func (registry *registry) addOnce(added *activeRequest) (*activeRequest, bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if found := registry.findLocked(added.request.ID); found != nil {
		return found, false
	}
	registry.running[added.request.ID] = added
	return added, true
}

func (registry *registry) find(id string) *activeRequest {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.findLocked(id)
}

func (registry *registry) findLocked(id string) *activeRequest {
	if found, ok := registry.running[id]; ok {
		return found
	}
	found, _ := registry.ended.Get(id)
	return found
}

// moveToEnded moves a running request to the ended ones. Its response is kept, its
// prompt is not.
func (registry *registry) moveToEnded(ended *activeRequest) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	delete(registry.running, ended.request.ID)
	withoutBody := *ended
	withoutBody.request = ended.request.WithoutBody()
	registry.ended.Add(ended.request.ID, &withoutBody)
}

func (registry *registry) runningRequests() []*activeRequest {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	list := make([]*activeRequest, 0, len(registry.running))
	for _, active := range registry.running {
		list = append(list, active)
	}
	return list
}

func (registry *registry) runningCount() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return len(registry.running)
}

// removeEndedBefore removes the requests that ended before the given time.
func (registry *registry) removeEndedBefore(before time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for {
		_, oldest, ok := registry.ended.GetOldest()
		if !ok || !oldest.buffer.EndedBefore(before) {
			return
		}
		registry.ended.RemoveOldest()
	}
}
