package entry

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/keeperclient"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	testOrganisation = "register"
	testService      = "receipts"
	keyCount         = 2
	nodeCount        = 3
	proposeAgain     = time.Second
)

// serverMode says what the fake service does with a call.
type serverMode int

const (
	serverAnswers serverMode = iota
	serverRefuses
	serverUnreachable
	// serverLosesAnswer runs the call and then breaks the connection.
	serverLosesAnswer
	// serverSlow runs the call and answers after a while.
	serverSlow
	serverModes
)

// world is some entries with a fake log and a fake service, in virtual time.
type world struct {
	mutant mutant

	mu      sync.Mutex
	batches []*wire.Batch
	outage  bool
	// late is how much later appends take effect.
	late  time.Duration
	mode  serverMode
	nodes []*node
	// runs counts what the service really ran, by request and by key.
	runsByRequest map[string]int
	runsByKey     map[string]int
	// called counts the calls of each service.
	called  map[string]int
	answers []answer
	calls   sync.WaitGroup
}

// node is one incarnation of an entry.
type node struct {
	world   *world
	entry   *Entry
	replica *replica.Replica

	// running is closed while the process runs, and open while it is paused.
	running chan struct{}
	paused  bool
	dead    bool
	// troubled says that the process was ever paused or killed, so that
	// nobody can hold it to its deadlines.
	troubled bool
}

// answer is what one caller was told.
type answer struct {
	key    string
	status Status
	code   int
	took   time.Duration
	stated time.Duration
	node   *node
}

func newWorld(mutant mutant) *world {
	world := &world{
		mutant:        mutant,
		runsByRequest: make(map[string]int),
		runsByKey:     make(map[string]int),
		called:        make(map[string]int),
	}
	for range nodeCount {
		world.nodes = append(world.nodes, nil)
	}
	for i := range nodeCount {
		world.restart(i)
	}
	world.append(&wire.Record{Id: "organisation", Body: &wire.Record_PutOrganisation{PutOrganisation: &wire.PutOrganisation{
		Organisation: &wire.Organisation{Name: testOrganisation, Weight: 1, MaxConcurrent: 100},
	}}})
	return world
}

// restart replaces node i by a new incarnation, killing the old one.
func (world *world) restart(i int) {
	if old := world.nodes[i]; old != nil {
		world.setDead(old)
	}
	settings := DefaultSettings()
	settings.VM = fmt.Sprintf("vm%d", i)
	logger := slog.New(slog.DiscardHandler)
	node := &node{world: world, replica: replica.New(), running: make(chan struct{})}
	close(node.running)
	servers := fleet.New(settings.Fleet, time.Now)
	servers.SetFleet(&wire.Fleet{Servers: []*wire.Server{
		{Id: "receipts-0", Address: "receipts-0", Kind: infra.KindService, Models: []string{testService}, DataCentre: "north"},
		{Id: "receipts-1", Address: "receipts-1", Kind: infra.KindService, Models: []string{testService}, DataCentre: "south"},
	}})
	node.entry = NewWith(settings, node, node.replica, servers, world.mutant.proposer(node), logger)
	world.mu.Lock()
	defer world.mu.Unlock()
	world.nodes[i] = node
	world.deliver(node)
}

// end ends all entries, and waits until they have ended.
func (world *world) end() {
	for _, node := range world.nodes {
		node.entry.end()
		node.entry.background.Wait()
	}
}

func (world *world) setDead(node *node) {
	world.mu.Lock()
	node.dead = true
	node.troubled = true
	if node.paused {
		node.paused = false
		close(node.running)
	}
	world.mu.Unlock()
	node.entry.end()
}

func (world *world) pause(i int) {
	world.mu.Lock()
	defer world.mu.Unlock()
	node := world.nodes[i]
	node.troubled = true
	if !node.paused {
		node.paused = true
		node.running = make(chan struct{})
	}
}

func (world *world) wake(i int) {
	world.mu.Lock()
	defer world.mu.Unlock()
	node := world.nodes[i]
	if node.paused {
		node.paused = false
		close(node.running)
		world.deliver(node)
	}
}

// append adds a record to the log, subject to its faults.
func (world *world) append(record *wire.Record) {
	world.mu.Lock()
	defer world.mu.Unlock()
	if world.outage {
		return
	}
	if world.late == 0 {
		world.appendNow(record)
		return
	}
	time.AfterFunc(world.late, func() {
		world.mu.Lock()
		defer world.mu.Unlock()
		world.appendNow(record)
	})
}

func (world *world) appendNow(record *wire.Record) {
	world.batches = append(world.batches, &wire.Batch{Records: []*wire.Record{record}})
	for _, node := range world.nodes {
		if node != nil && !node.paused && !node.dead {
			world.deliver(node)
		}
	}
}

// deliver brings the node's replica up to date.
func (world *world) deliver(node *node) {
	for offset := node.replica.Next(); offset < uint64(len(world.batches)); offset++ {
		err := node.replica.Apply(offset, world.batches[offset])
		if err != nil {
			panic(err)
		}
	}
}

// settle ends attempts as a keeper does whose owner is silent.
func (world *world) settle() {
	reader := replica.New()
	world.mu.Lock()
	for offset, batch := range world.batches {
		_ = reader.Apply(uint64(offset), batch)
	}
	world.mu.Unlock()
	reader.View(func(state *state.State) {
		for _, attempt := range state.Ledger.Running() {
			world.append(&wire.Record{Id: "settle/" + attempt.RequestID, Body: &wire.Record_Finish{Finish: &wire.Finish{
				Key: attempt.Key.Wire(), RequestId: attempt.RequestID, Outcome: world.mutant.settlesAs(),
			}}})
		}
	})
}

// await blocks while the process of node is paused, and reports whether it
// still lives after that.
func (world *world) await(node *node) bool {
	world.mu.Lock()
	running := node.running
	world.mu.Unlock()
	<-running
	world.mu.Lock()
	defer world.mu.Unlock()
	return !node.dead
}

// Propose implements Proposer: the record counts when it is read back.
func (node *node) Propose(ctx context.Context, record *wire.Record) (fold.Verdict, error) {
	verdict, stop := node.replica.Await(record.GetId())
	defer stop()
	for {
		if !node.world.await(node) {
			return fold.Verdict{}, keeperclient.ErrUnsettled
		}
		node.world.append(record)
		select {
		case settled := <-verdict:
			// A pause just here is the worst moment for one.
			if !node.world.await(node) {
				return fold.Verdict{}, keeperclient.ErrUnsettled
			}
			return settled, nil
		case <-ctx.Done():
			return fold.Verdict{}, keeperclient.ErrUnsettled
		case <-time.After(proposeAgain):
		}
	}
}

// Connected implements Proposer.
func (node *node) Connected() bool {
	return true
}

// Ready implements Proposer.
func (node *node) Ready() bool {
	return true
}

// Call implements backend.Service.
func (node *node) Call(ctx context.Context, address string, dispatch backend.Dispatch) ([]byte, error) {
	world := node.world
	if !world.await(node) || ctx.Err() != nil {
		return nil, errors.New("the process is gone")
	}
	world.mu.Lock()
	mode := world.mode
	world.called[address]++
	if mode != serverRefuses && mode != serverUnreachable {
		world.runsByRequest[dispatch.Request] += world.mutant.sendings()
		world.runsByKey[dispatch.Key] += world.mutant.sendings()
	}
	world.mu.Unlock()
	switch mode {
	case serverRefuses:
		return world.mutant.answer(dispatch.Body), world.mutant.refusal(&backend.NotRunError{Address: address, Reason: "refused"})
	case serverUnreachable:
		return nil, &backend.NotRunError{Address: address, Reason: "dial", Unreachable: true}
	case serverLosesAnswer:
		return nil, world.mutant.lostAnswer(address)
	case serverSlow:
		select {
		case <-time.After(3 * time.Second):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
	return world.mutant.answer(dispatch.Body), nil
}

// submit sends a call with a key, and notes what the caller is told.
func (world *world) submit(i, key int, stated time.Duration) {
	node := world.nodes[i]
	value := testKey(key)
	body, err := json.Marshal(request.Call{Body: value, TimeMS: stated.Milliseconds(), Repeatable: new(bool), Key: value})
	if err != nil {
		panic(err)
	}
	world.calls.Go(func() {
		if !world.await(node) {
			return
		}
		asked := httptest.NewRequest(http.MethodPost, "/v1/services/"+testService, strings.NewReader(string(body)))
		asked.Header.Set(HeaderOrganisation, testOrganisation)
		recorder := httptest.NewRecorder()
		started := time.Now()
		node.entry.Handler().ServeHTTP(recorder, asked)
		got := answer{key: value, code: recorder.Code, took: time.Since(started), stated: stated, node: node}
		if json.Unmarshal(recorder.Body.Bytes(), &got.status) != nil || got.code == http.StatusForbidden {
			return // cut off, or the entry knew no organisation yet
		}
		world.mu.Lock()
		defer world.mu.Unlock()
		if !node.dead {
			world.answers = append(world.answers, got)
		}
	})
}

// testKey returns key number i, made shortly after virtual time begins.
func testKey(i int) string {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(time.Date(2000, 1, 1, 0, 0, i, 0, time.UTC).UnixMilli()))
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: byte(i)}
	copy(id[:6], encoded[2:])
	return id.String()
}

// check returns the first promise that was broken, or nil.
func (world *world) check() error {
	world.mu.Lock()
	defer world.mu.Unlock()
	for key, runs := range world.runsByKey {
		if runs > 1 {
			return errors.Newf("key %s was run %d times", key, runs)
		}
	}
	for _, answer := range world.answers {
		err := world.checkAnswer(answer)
		if err != nil {
			return err
		}
	}
	return nil
}

func (world *world) checkAnswer(answer answer) error {
	status := answer.status
	runs := world.runsByRequest[status.RequestID]
	switch {
	case status.Outcome == request.KindFailedNotRun && runs > 0:
		return errors.Newf("request %s was run, but its caller was told %s/%s", status.RequestID, status.Outcome, status.Reason)
	case status.Outcome == request.KindCompleted && runs == 0:
		return errors.Newf("request %s was called completed, but never run", status.RequestID)
	case status.Outcome == request.KindCompleted && status.Text != "" && status.Text != answer.key:
		return errors.Newf("request %s got the answer %q of another", status.RequestID, status.Text)
	case status.Outcome == "" && !status.Running:
		return errors.Newf("request %s ended without an outcome: status %d", status.RequestID, answer.code)
	case answer.took > answer.stated && !answer.node.troubled:
		return errors.Newf("request %s took %s of %s", status.RequestID, answer.took, answer.stated)
	}
	return nil
}

// The rest of Backends is not used by calls to services.

// Generate implements backend.Engine.
func (*node) Generate(context.Context, string, backend.Dispatch) (backend.Stream, error) {
	return nil, errors.New("no engines here")
}

// Resume implements backend.Engine.
func (*node) Resume(context.Context, string, string, int) (backend.Stream, error) {
	return nil, errors.New("no engines here")
}

// Cancel implements backend.Engine.
func (*node) Cancel(context.Context, string, string) error { return nil }

// Streams implements backend.Engine.
func (*node) Streams(context.Context, string) ([]backend.StreamInfo, error) { return nil, nil }

// Reserve implements backend.Engine.
func (*node) Reserve(context.Context, string, string, backend.Reservation) error { return nil }

// Release implements backend.Engine.
func (*node) Release(context.Context, string, string) error { return nil }

// Load implements backend.Engine.
func (*node) Load(context.Context, string) (backend.Load, error) { return backend.Load{}, nil }
