package keeper

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

func record(i int) *wire.Record {
	return &wire.Record{Id: fmt.Sprintf("r%d", i), Body: &wire.Record_CreateSession{
		CreateSession: &wire.CreateSession{SessionId: fmt.Sprintf("s%d", i), Organisation: "register"},
	}}
}

func sessions(replica *replica.Replica) int {
	count := 0
	replica.View(func(state *state.State) { count = len(state.Sessions.All()) })
	return count
}

// bench is the parts of a keeper that need no network, on fake logs.
type bench struct {
	log         *fakeLog
	checkpoints *fakeLog
	hub         *hub
	follower    *follower
	appender    *appender
	duties      *duties
}

func newBench(vm string, log, checkpoints *fakeLog) *bench {
	settings := DefaultSettings()
	settings.VM = vm
	metrics := newMetrics(prometheus.NewRegistry())
	logger := slog.New(slog.DiscardHandler)
	replica := replica.New()
	hub := newHub(replica)
	appender := newAppender(log, replica, settings.Log, metrics, logger)
	return &bench{
		log:         log,
		checkpoints: checkpoints,
		hub:         hub,
		appender:    appender,
		follower: &follower{
			log: log, checkpoints: checkpoints, hub: hub, peers: func() []string { return nil },
			metrics: metrics, logger: logger,
		},
		duties: &duties{
			vm: vm, settings: settings, replica: replica, appender: appender, checkpoints: checkpoints,
			vms: func() []string { return []string{"vm1", "vm2"} }, metrics: metrics, logger: logger,
		},
	}
}

func (bench *bench) queued() int {
	bench.appender.mu.Lock()
	defer bench.appender.mu.Unlock()
	return len(bench.appender.queued)
}

// run runs the parts until the returned function is called.
func (bench *bench) run() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, run := range []func(context.Context){
		bench.follower.run, bench.appender.run, bench.duties.run, bench.duties.runCheckpoints,
	} {
		all.Go(func() { run(ctx) })
	}
	return func() {
		cancel()
		all.Wait()
	}
}

func TestAppenderSettles(t *testing.T) {
	cases := map[string]struct {
		prepare func(log *fakeLog)
		later   func(log *fakeLog)
		// appends is how many there may be at most.
		appends int
	}{
		"in one batch":           {appends: 2},
		"after a lost answer":    {prepare: func(log *fakeLog) { log.loseAnswers = 1 }, appends: 2},
		"after a short outage":   {prepare: func(log *fakeLog) { log.down = true }, later: func(log *fakeLog) { log.setDown(false) }, appends: 12},
		"after two lost answers": {prepare: func(log *fakeLog) { log.loseAnswers = 2 }, appends: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bench := newBench("vm1", newFakeLog(), newFakeLog())
				if c.prepare != nil {
					c.prepare(bench.log)
				}
				stop := bench.run()
				defer stop()
				for i := range 10 {
					assert.NilError(t, bench.appender.propose(record(i)))
					assert.NilError(t, bench.appender.propose(record(i)))
				}
				time.Sleep(2 * time.Second)
				if c.later != nil {
					c.later(bench.log)
				}
				time.Sleep(2 * time.Second)
				assert.Equal(t, sessions(bench.hub.replica), 10)
				assert.Assert(t, bench.log.count() <= c.appends, "%d appends", bench.log.count())
				assert.Equal(t, bench.queued(), 0)
			})
		})
	}
}

func TestAppenderGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench("vm1", newFakeLog(), newFakeLog())
		bench.log.setDown(true)
		stop := bench.run()
		defer stop()
		assert.NilError(t, bench.appender.propose(record(1)))
		time.Sleep(time.Minute)
		assert.Equal(t, bench.queued(), 0)
	})
}

// The first keeper writes a checkpoint when it is due, and the second only
// when the first does not.
func TestCheckpointBeforeExpiry(t *testing.T) {
	cases := map[string]struct {
		vms []string
	}{
		"both live":      {vms: []string{"vm1", "vm2"}},
		"only the first": {vms: []string{"vm1"}},
		"only a backup":  {vms: []string{"vm2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, checkpoints := newFakeLog(), newFakeLog()
				for _, vm := range c.vms {
					bench := newBench(vm, log, checkpoints)
					if vm == c.vms[0] {
						assert.NilError(t, bench.appender.propose(record(1)))
					}
					stop := bench.run()
					defer stop()
				}
				interval := DefaultSettings().Log.CheckpointInterval
				time.Sleep(3*interval + interval/2)
				assert.Equal(t, checkpoints.count(), 3)
			})
		})
	}
}

func TestFollowerStartsAtCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, checkpoints := newFakeLog(), newFakeLog()
		first := newBench("vm1", log, checkpoints)
		stop := first.run()
		for i := range 5 {
			assert.NilError(t, first.appender.propose(record(i)))
			time.Sleep(time.Second)
		}
		first.duties.writeCheckpoint(t.Context())
		assert.NilError(t, first.appender.propose(record(5)))
		time.Sleep(time.Second)
		stop()
		log.expire(5)

		second := newBench("vm2", log, checkpoints)
		defer second.run()()
		time.Sleep(time.Second)
		assert.Equal(t, sessions(second.hub.replica), 6)
		assert.Assert(t, proto.Equal(second.hub.replica.Encode(), first.hub.replica.Encode()))
		assert.Assert(t, second.follower.ready.Load())
	})
}

// A keeper must not call itself ready on what is left of a log whose beginning
// has expired without a checkpoint.
func TestFollowerNotReadyWithoutBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		for i := range 3 {
			data, err := proto.Marshal(&wire.Batch{Records: []*wire.Record{record(i)}})
			assert.NilError(t, err)
			assert.NilError(t, log.Append(t.Context(), data))
		}
		log.expire(2)
		bench := newBench("vm1", log, newFakeLog())
		defer bench.run()()
		time.Sleep(10 * time.Second)
		assert.Assert(t, !bench.follower.ready.Load())
		assert.Equal(t, sessions(bench.hub.replica), 0)
	})
}

// TestLogThatCameBackShorter has a log that lost its last entries, and gives their offsets out again. A keeper that
// folded them went on at its offset: it called itself ready, and folded what came behind without what stands before, as
// no other keeper does that starts then.
func TestLogThatCameBackShorter(t *testing.T) {
	for name, grows := range map[string]int{"and stays so": 0, "and grows beyond what it was": 6} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				add := func(number int) {
					data, err := proto.Marshal(&wire.Batch{Records: []*wire.Record{record(number)}})
					assert.NilError(t, err)
					assert.NilError(t, log.Append(t.Context(), data))
				}
				for number := range 5 {
					add(number)
				}
				bench := newBench("vm1", log, newFakeLog())
				defer bench.run()()
				time.Sleep(2 * time.Second)
				assert.Assert(t, bench.follower.ready.Load())
				assert.Equal(t, sessions(bench.hub.replica), 5)
				log.shorten(3)
				time.Sleep(2 * time.Second)
				for number := range grows {
					add(100 + number)
				}
				time.Sleep(5 * time.Second)
				assert.Assert(t, !bench.follower.ready.Load())
				assert.Equal(t, sessions(bench.hub.replica), 5)
			})
		})
	}
}

func TestCheckpointInParts(t *testing.T) {
	large := &wire.State{NextOffset: 7}
	for i := range 20_000 {
		large.Sessions = append(large.Sessions, &wire.Session{Id: fmt.Sprintf("session-%d", i), Organisation: "register"})
	}
	entries, err := splitCheckpoint(large)
	assert.NilError(t, err)
	assert.Assert(t, len(entries) > 1)
	reader := newCheckpointReader()
	for i, entry := range entries {
		whole := reader.add(infra.Entry{Data: entry})
		assert.Equal(t, whole, i == len(entries)-1)
		// A part that came twice after a lost answer changes nothing.
		assert.Assert(t, !reader.add(infra.Entry{Data: entries[0]}))
	}
	assert.Assert(t, proto.Equal(reader.newest, large))
}

type noVMs struct{}

func (noVMs) List(context.Context) ([]infra.VM, error) { return nil, errDown }

// freePort returns an address that nobody listens on.
func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	return listener.Addr().String()
}

// startKeeper runs a whole keeper until the test ends.
func startKeeper(t *testing.T, vm string, log *fakeLog, peers ...string) *Keeper {
	t.Helper()
	settings := DefaultSettings()
	settings.VM = vm
	settings.Address = "127.0.0.1:0"
	settings.HTTPAddress = freePort(t)
	settings.Secret = "a secret of the tests"
	settings.Peers = peers
	keeper, err := New(settings, Platform{
		Log: log, Checkpoints: log, VMList: noVMs{}, Engines: backend.NewHTTPBackend(),
	}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- keeper.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return keeper
}

func TestKeeperJoinsWhileLogIsDown(t *testing.T) {
	log := newFakeLog()
	first := startKeeper(t, "vm1", log)
	assert.NilError(t, first.appender.propose(record(1)))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sessions(first.hub.replica) == 1 {
			return poll.Success()
		}
		return poll.Continue("not read back yet")
	})
	log.setDown(true)
	second := startKeeper(t, "vm2", log, first.listener.Address())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if second.follower.ready.Load() {
			return poll.Success()
		}
		return poll.Continue("not ready yet")
	})
	assert.Assert(t, proto.Equal(second.hub.replica.Encode(), first.hub.replica.Encode()))
}

// An entry that took an empty state from a keeper without a base called itself
// ready, and refused every organisation as unknown.
func TestNotReadyIsTold(t *testing.T) {
	cases := map[string]struct {
		expired uint64
		// frames is how many to wait for; heartbeats alone make four a second.
		frames int
		ready  bool
	}{
		"with the whole log":                {frames: 1000, ready: true},
		"without its beginning or any base": {frames: 10, expired: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := newFakeLog()
			assert.NilError(t, log.Append(t.Context(), nil))
			log.expire(c.expired)
			keeper := startKeeper(t, "vm1", log)
			credentials, err := link.NewCredentials(keeper.settings.Secret)
			assert.NilError(t, err)
			peer, err := link.Dial(t.Context(), keeper.listener.Address(), credentials, link.Options{PlainDatagrams: true})
			assert.NilError(t, err)
			defer peer.Close()
			subscribe := &wire.ClientFrame{Body: &wire.ClientFrame_Subscribe{Subscribe: &wire.Subscribe{Node: "test"}}}
			assert.NilError(t, peer.Send(subscribe))
			ready := false
			for i := 0; i < c.frames && !ready; i++ {
				frame := &wire.ServerFrame{}
				assert.NilError(t, peer.Receive(frame))
				ready = frame.GetReady()
			}
			assert.Equal(t, ready, c.ready)
		})
	}
}
