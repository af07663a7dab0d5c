package keeper

import (
	"sync"

	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Limits of the hub.
const (
	// recentEntries is the minimum number of log entries kept, once that many were
	// read, for subscribers that reconnect after a short time.
	recentEntries = 4096
	// subscriberFrames is how many frames a subscriber may lag behind before it is
	// dropped.
	subscriberFrames = 1024
)

// hub applies log entries to the replica and broadcasts them to subscribers, each
// of which receives every log entry after its own state exactly once.
type hub struct {
	replica *replica.Replica

	mu sync.Mutex
	// recent has the log entries that directly precede the replica's next offset, in
	// order.
	recent      []*wire.Committed
	fleet       *wire.Fleet
	loads       *wire.Loads
	subscribers map[*subscriber]struct{}
}

// subscriber receives frames until its channel is closed.
type subscriber struct {
	frames chan *wire.ServerFrame
}

func newHub(replica *replica.Replica) *hub {
	return &hub{
		replica:     replica,
		fleet:       &wire.Fleet{},
		loads:       &wire.Loads{},
		subscribers: make(map[*subscriber]struct{}),
	}
}

// commit applies a log entry and broadcasts it.
func (hub *hub) commit(committed *wire.Committed) error {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	err := hub.replica.Apply(committed.GetOffset(), committed.GetBatch())
	if err != nil {
		return err
	}
	hub.recent = append(hub.recent, committed)
	if len(hub.recent) > 2*recentEntries {
		hub.recent = append([]*wire.Committed(nil), hub.recent[recentEntries:]...)
	}
	hub.publish(&wire.ServerFrame{Body: &wire.ServerFrame_Committed{Committed: committed}})
	return nil
}

// replace adopts and broadcasts a state from a checkpoint or a peer if it is newer
// than the replica's, and reports whether it was.
func (hub *hub) replace(encoded *wire.State) (bool, error) {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	replaced, err := hub.replica.Replace(encoded)
	if err != nil || !replaced {
		return false, err
	}
	hub.recent = nil
	hub.publish(&wire.ServerFrame{Body: &wire.ServerFrame_State{State: encoded}})
	return true, nil
}

func (hub *hub) setFleet(fleet *wire.Fleet) {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	hub.fleet = fleet
	hub.publish(&wire.ServerFrame{Body: &wire.ServerFrame_Fleet{Fleet: fleet}})
}

func (hub *hub) setLoads(loads *wire.Loads) {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	hub.loads = loads
	hub.publish(&wire.ServerFrame{Body: &wire.ServerFrame_Loads{Loads: loads}})
}

// subscribe adds a subscriber whose next offset is next, and queues the frames that
// bring it up to date.
func (hub *hub) subscribe(next uint64) *subscriber {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	backlog := hub.backlog(next)
	subscriber := &subscriber{
		frames: make(chan *wire.ServerFrame, len(backlog)+subscriberFrames),
	}
	for _, frame := range backlog {
		subscriber.frames <- frame
	}
	subscriber.frames <- &wire.ServerFrame{Body: &wire.ServerFrame_Fleet{Fleet: hub.fleet}}
	subscriber.frames <- &wire.ServerFrame{Body: &wire.ServerFrame_Loads{Loads: hub.loads}}
	hub.subscribers[subscriber] = struct{}{}
	return subscriber
}

// backlog returns the frames that bring a subscriber from offset next to the state
// of the replica: the log entries in between if all are in recent, otherwise the
// full state. A subscriber whose next offset is zero always gets the full state.
func (hub *hub) backlog(next uint64) []*wire.ServerFrame {
	current := hub.replica.Next()
	switch {
	case next >= current:
		return nil // the subscriber is up to date or ahead
	case next > 0 && len(hub.recent) > 0 && hub.recent[0].GetOffset() <= next:
		missed := hub.recent[next-hub.recent[0].GetOffset():]
		frames := make([]*wire.ServerFrame, 0, len(missed))
		for _, committed := range missed {
			frames = append(frames, &wire.ServerFrame{Body: &wire.ServerFrame_Committed{Committed: committed}})
		}
		return frames
	default:
		return []*wire.ServerFrame{{Body: &wire.ServerFrame_State{State: hub.replica.Encode()}}}
	}
}

func (hub *hub) unsubscribe(subscriber *subscriber) {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	hub.drop(subscriber)
}

// publish broadcasts a frame and drops subscribers whose queue is full. They
// subscribe again and receive what they missed.
func (hub *hub) publish(frame *wire.ServerFrame) {
	for subscriber := range hub.subscribers {
		select {
		case subscriber.frames <- frame:
		default:
			hub.drop(subscriber)
		}
	}
}

// drop removes the subscriber and closes its channel, unless that was done before.
func (hub *hub) drop(subscriber *subscriber) {
	if _, ok := hub.subscribers[subscriber]; !ok {
		return
	}
	delete(hub.subscribers, subscriber)
	close(subscriber.frames)
}
