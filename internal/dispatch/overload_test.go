package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// crowd is a queue before one server without room, with late tight requests that waited for
// a while, looked at again and again, and whose callers stay for two seconds more.
func crowd(t *testing.T, waited time.Duration, late int) (*dispatch.Queue, *believed, time.Time) {
	t.Helper()
	start := time.Unix(1000, 0)
	servers := &believed{servers: []placement.Server{{ID: "a", Slots: 10, Running: 10}}}
	queue := dispatch.New(slots{})
	for id := range late {
		request := newRequest(uint64(id+1), 1000, start.Add(-time.Duration(late-id)*time.Millisecond), true)
		request.Leaves = start.Add(waited + 2*time.Second)
		_, placed := queue.Offer(request, servers, start)
		assert.Assert(t, !placed)
	}
	for at := time.Duration(0); at < waited && late > 0; at += 100 * time.Millisecond {
		_, refused := queue.Pass(servers, start.Add(min(at, 900*time.Millisecond)))
		assert.Equal(t, len(refused), 0)
	}
	return queue, servers, start.Add(waited)
}

// TestLateRequestsAreRefused has six tight requests that can't be in time any more.
func TestLateRequestsAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		waited time.Duration
		// freed is how many places come free for them.
		freed int
		// leave says that their callers leave before an event could come.
		leave bool
		// refused and waiting is what becomes of them.
		refused, waiting int
	}{
		"a short burst refuses nobody":              {waited: 900 * time.Millisecond, waiting: 6},
		"one waits however long no place is left":   {waited: 1100 * time.Millisecond, refused: 5, waiting: 1},
		"as many wait as places that late ones got": {waited: 1100 * time.Millisecond, freed: 1, refused: 3, waiting: 2},
		"all wait where places come quickly enough": {waited: 1100 * time.Millisecond, freed: 2, waiting: 4},
		"nobody waits whose caller leaves before":   {waited: 500 * time.Millisecond, leave: true, refused: 6},
	} {
		t.Run(name, func(t *testing.T) {
			queue, servers, now := crowd(t, test.waited, 6)
			servers.free("a", test.freed)
			if test.leave {
				now = now.Add(2 * time.Second)
			}
			verdicts, refused := queue.Pass(servers, now)
			assert.Equal(t, len(verdicts), test.freed)
			assert.Equal(t, len(refused), test.refused)
			assert.Equal(t, queue.Len(), test.waiting)
		})
	}
}

// TestOverloadEndsWithThoseThatWait has all that wait leave, and others come seconds later: they
// are not refused by what was learnt of the first ones.
func TestOverloadEndsWithThoseThatWait(t *testing.T) {
	queue, servers, now := crowd(t, 1100*time.Millisecond, 3)
	queue.DropWhere(func(*dispatch.Request) bool { return true })
	now = now.Add(5 * time.Second)
	for id := range uint64(3) {
		_, placed := queue.Offer(newRequest(100+id, 1000, now.Add(-time.Second), true), servers, now)
		assert.Assert(t, !placed)
	}
	_, refused := queue.Pass(servers, now)
	assert.Equal(t, len(refused), 0)
}

// TestLongPromptsAreNotRefusedHere: they are held by what their VMs reckon.
func TestLongPromptsAreNotRefusedHere(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &believed{}
	queue := dispatch.New(slots{})
	for id := range uint64(5) {
		_, placed := queue.Offer(newRequest(id, 1000, now.Add(-time.Second), false), servers, now)
		assert.Assert(t, !placed)
	}
	for _, after := range []time.Duration{0, 2 * time.Second} {
		_, refused := queue.Pass(servers, now.Add(after))
		assert.Equal(t, len(refused), 0)
	}
}

// TestWhoComesLastGoesFirstUnderOverload has two that can be in time and one place: beside
// late ones the place goes to the one with more time, else to the one due first.
func TestWhoComesLastGoesFirstUnderOverload(t *testing.T) {
	for name, test := range map[string]struct {
		late   int
		placed uint64
	}{
		"nobody is late": {placed: 101},
		"one is late":    {late: 1, placed: 102},
	} {
		t.Run(name, func(t *testing.T) {
			queue, servers, now := crowd(t, 100*time.Millisecond, test.late)
			for id, due := range map[uint64]time.Duration{101: 100 * time.Millisecond, 102: 200 * time.Millisecond} {
				_, placed := queue.Offer(newRequest(id, 1000, now.Add(due), true), servers, now)
				assert.Assert(t, !placed)
			}
			servers.free("a", 1)
			assert.DeepEqual(t, ids(pass(t, queue, servers, now)), []uint64{test.placed})
		})
	}
}

// TestRequestsForEvacuatedServersAreRefused has requests that wait, some of them late, when the operator keeps all servers of
// their service from requests: none waits on.
func TestRequestsForEvacuatedServersAreRefused(t *testing.T) {
	for name, waited := range map[string]time.Duration{"in time": 0, "late": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			queue, servers, now := crowd(t, waited, 6)
			servers.evacuated = true
			verdicts, refused := queue.Pass(servers, now)
			assert.Equal(t, len(verdicts), 0)
			assert.Equal(t, len(refused), 6)
			assert.Equal(t, queue.Len(), 0)
		})
	}
}
