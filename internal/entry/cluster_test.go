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
	"github.com/mastwinch/mastwinch/internal/keeperclient"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	testOrganisation  = "register"
	testService       = "receipts"
	keyCount          = 2
	nodeCount         = 3
	reproposeInterval = time.Second
)

// serverMode is the behaviour of the fake service when it gets a call.
type serverMode int

const (
	serverResponds serverMode = iota
	serverRefuses
	serverUnreachable
	// serverLosesResponse runs the call and then closes the connection without a response.
	serverLosesResponse
	// serverSlow runs the call and responds after 3 seconds.
	serverSlow
	serverModes
)

// cluster is a cluster of entries with a fake log and a fake service, in virtual time.
type cluster struct {
	mutant mutant

	mu sync.Mutex
	// batches is the content of the log.
	batches []*wire.Batch
	// outage reports that appended records are lost.
	outage bool
	// recordDelay is the delay before appended records take effect.
	recordDelay time.Duration
	mode        serverMode
	nodes       []*node
	// runsByRequest and runsByKey count the calls that the service ran.
	runsByRequest map[string]int
	runsByKey     map[string]int
	// callsByServer counts the calls that each server received.
	callsByServer map[string]int
	responses     []callerResponse
	calls         sync.WaitGroup
}

// node is one incarnation of an entry process. It implements Proposer and Backends for its entry.
type node struct {
	cluster *cluster
	entry   *Entry
	replica *replica.Replica

	// running is a closed channel while the process runs, and an open one while it is paused.
	running chan struct{}
	paused  bool
	killed  bool
	// wasInterrupted reports that the process has been paused or killed, so that it is
	// not required to meet deadlines.
	wasInterrupted bool
}

// callerResponse is the response that one caller received.
type callerResponse struct {
	key       string
	status    Status
	code      int
	elapsed   time.Duration
	timeLimit time.Duration
	node      *node
}

func newCluster(mutant mutant) *cluster {
	cluster := &cluster{
		mutant:        mutant,
		runsByRequest: make(map[string]int),
		runsByKey:     make(map[string]int),
		callsByServer: make(map[string]int),
	}
	for range nodeCount {
		cluster.nodes = append(cluster.nodes, nil)
	}
	for i := range nodeCount {
		cluster.restart(i)
	}
	cluster.append(&wire.Record{Id: "organisation", Body: &wire.Record_PutOrganisation{PutOrganisation: &wire.PutOrganisation{
		Organisation: &wire.Organisation{Name: testOrganisation, Weight: 1, MaxConcurrent: 100},
	}}})
	return cluster
}

// restart kills node i and replaces it by a new incarnation.
func (cluster *cluster) restart(i int) {
	if old := cluster.nodes[i]; old != nil {
		cluster.kill(old)
	}
	settings := DefaultSettings()
	settings.VM = fmt.Sprintf("vm%d", i)
	logger := slog.New(slog.DiscardHandler)
	node := &node{cluster: cluster, replica: replica.New(), running: make(chan struct{})}
	close(node.running)
	servers := fleet.New(settings.Fleet, time.Now)
	servers.SetFleet(&wire.Fleet{Servers: []*wire.Server{
		{Id: "receipts-0", Address: "receipts-0", Kind: platformclient.KindService, Models: []string{testService}, DataCentre: "north"},
		{Id: "receipts-1", Address: "receipts-1", Kind: platformclient.KindService, Models: []string{testService}, DataCentre: "south"},
	}})
	node.entry = NewWith(settings, node, node.replica, servers, cluster.mutant.proposer(node), logger)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.nodes[i] = node
	cluster.applyBatches(node)
}

// stopAll stops all entries and waits for their goroutines.
func (cluster *cluster) stopAll() {
	for _, node := range cluster.nodes {
		node.entry.cancelBase()
		node.entry.background.Wait()
	}
}

func (cluster *cluster) kill(node *node) {
	cluster.mu.Lock()
	node.killed = true
	node.wasInterrupted = true
	if node.paused {
		node.paused = false
		close(node.running)
	}
	cluster.mu.Unlock()
	node.entry.cancelBase()
}

func (cluster *cluster) pause(i int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	node := cluster.nodes[i]
	node.wasInterrupted = true
	if !node.paused {
		node.paused = true
		node.running = make(chan struct{})
	}
}

func (cluster *cluster) resume(i int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	node := cluster.nodes[i]
	if node.paused {
		node.paused = false
		close(node.running)
		cluster.applyBatches(node)
	}
}

// append appends a record to the log, which loses or delays it if so configured.
func (cluster *cluster) append(record *wire.Record) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.outage {
		return
	}
	if cluster.recordDelay == 0 {
		cluster.appendNow(record)
		return
	}
	time.AfterFunc(cluster.recordDelay, func() {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		cluster.appendNow(record)
	})
}

func (cluster *cluster) appendNow(record *wire.Record) {
	cluster.batches = append(cluster.batches, &wire.Batch{Records: []*wire.Record{record}})
	for _, node := range cluster.nodes {
		if node != nil && !node.paused && !node.killed {
			cluster.applyBatches(node)
		}
	}
}

// applyBatches applies to the replica of a node all batches that it has not applied yet. The caller must hold mu.
func (cluster *cluster) applyBatches(node *node) {
	for offset := node.replica.Next(); offset < uint64(len(cluster.batches)); offset++ {
		err := node.replica.Apply(offset, cluster.batches[offset])
		if err != nil {
			panic(err)
		}
	}
}

// settleRunning records the end of all running attempts, as a keeper does when their owner
// is lost.
func (cluster *cluster) settleRunning() {
	keeperReplica := replica.New()
	cluster.mu.Lock()
	for offset, batch := range cluster.batches {
		_ = keeperReplica.Apply(uint64(offset), batch)
	}
	cluster.mu.Unlock()
	keeperReplica.View(func(state *state.State) {
		for _, attempt := range state.Ledger.Running() {
			cluster.append(&wire.Record{Id: "settle/" + attempt.RequestID, Body: &wire.Record_Finish{Finish: &wire.Finish{
				Key: attempt.Key.Wire(), RequestId: attempt.RequestID, Outcome: cluster.mutant.settledOutcome(),
			}}})
		}
	})
}

// awaitRunning blocks while the process of the node is paused, and reports whether it has
// not been killed.
func (cluster *cluster) awaitRunning(node *node) bool {
	cluster.mu.Lock()
	running := node.running
	cluster.mu.Unlock()
	<-running
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return !node.killed
}

// Propose implements Proposer. It appends the record repeatedly until its verdict is
// read back from the log.
func (node *node) Propose(ctx context.Context, record *wire.Record) (statemachine.Verdict, error) {
	verdict, stop := node.replica.Await(record.GetId())
	defer stop()
	for {
		if !node.cluster.awaitRunning(node) {
			return statemachine.Verdict{}, keeperclient.ErrUnsettled
		}
		node.cluster.append(record)
		select {
		case settled := <-verdict:
			// A pause between the verdict and the dispatch is the hardest case: the
			// key may be settled in the meantime.
			if !node.cluster.awaitRunning(node) {
				return statemachine.Verdict{}, keeperclient.ErrUnsettled
			}
			return settled, nil
		case <-ctx.Done():
			return statemachine.Verdict{}, keeperclient.ErrUnsettled
		case <-time.After(reproposeInterval):
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
	cluster := node.cluster
	if !cluster.awaitRunning(node) || ctx.Err() != nil {
		return nil, errors.New("process was killed or the call cancelled")
	}
	cluster.mu.Lock()
	mode := cluster.mode
	cluster.callsByServer[address]++
	if mode != serverRefuses && mode != serverUnreachable {
		cluster.runsByRequest[dispatch.Request] += cluster.mutant.sendCount()
		cluster.runsByKey[dispatch.Key] += cluster.mutant.sendCount()
	}
	cluster.mu.Unlock()
	switch mode {
	case serverRefuses:
		return cluster.mutant.response(dispatch.Body), cluster.mutant.refusal(&backend.NotRunError{Address: address, Reason: "refused"})
	case serverUnreachable:
		return nil, &backend.NotRunError{Address: address, Reason: "dial", Unreachable: true}
	case serverLosesResponse:
		return nil, cluster.mutant.lostResponse(address)
	case serverSlow:
		select {
		case <-time.After(3 * time.Second):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
	return cluster.mutant.response(dispatch.Body), nil
}

// submit sends a call with a key, which is not repeatable, and records the response.
func (cluster *cluster) submit(i, key int, timeLimit time.Duration) {
	node := cluster.nodes[i]
	value := testKey(key)
	body, err := json.Marshal(request.Call{Body: value, TimeMS: timeLimit.Milliseconds(), Repeatable: new(bool), Key: value})
	if err != nil {
		panic(err)
	}
	cluster.calls.Go(func() {
		if !cluster.awaitRunning(node) {
			return
		}
		httpRequest := httptest.NewRequest(http.MethodPost, "/v1/services/"+testService, strings.NewReader(string(body)))
		httpRequest.Header.Set(HeaderOrganisation, testOrganisation)
		recorder := httptest.NewRecorder()
		started := time.Now()
		node.entry.Handler().ServeHTTP(recorder, httpRequest)
		received := callerResponse{key: value, code: recorder.Code, elapsed: time.Since(started), timeLimit: timeLimit, node: node}
		if json.Unmarshal(recorder.Body.Bytes(), &received.status) != nil || received.code == http.StatusForbidden {
			return // the response was cut off, or the entry had not applied the organisation's record yet
		}
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		if !node.killed {
			cluster.responses = append(cluster.responses, received)
		}
	})
}

// testKey returns key number i: a UUIDv7 whose timestamp is i seconds after the start of virtual time.
func testKey(i int) string {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(time.Date(2000, 1, 1, 0, 0, i, 0, time.UTC).UnixMilli()))
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: byte(i)}
	copy(id[:6], encoded[2:])
	return id.String()
}

// check returns the first violated guarantee, or nil.
func (cluster *cluster) check() error {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for key, runs := range cluster.runsByKey {
		if runs > 1 {
			return errors.Newf("key %s was run %d times", key, runs)
		}
	}
	for _, response := range cluster.responses {
		err := cluster.checkResponse(response)
		if err != nil {
			return err
		}
	}
	return nil
}

func (cluster *cluster) checkResponse(response callerResponse) error {
	status := response.status
	runs := cluster.runsByRequest[status.RequestID]
	switch {
	case status.Outcome == request.KindFailedNotRun && runs > 0:
		return errors.Newf("request %s was run, but its response was %s/%s", status.RequestID, status.Outcome, status.Reason)
	case status.Outcome == request.KindCompleted && runs == 0:
		return errors.Newf("request %s was reported as completed, but never run", status.RequestID)
	case status.Outcome == request.KindCompleted && status.Text != "" && status.Text != response.key:
		return errors.Newf("request %s got the response %q of another request", status.RequestID, status.Text)
	case status.Outcome == "" && !status.Running:
		return errors.Newf("request %s ended without an outcome: status %d", status.RequestID, response.code)
	case response.elapsed > response.timeLimit && !response.node.wasInterrupted:
		return errors.Newf("request %s took %s with a time limit of %s", status.RequestID, response.elapsed, response.timeLimit)
	}
	return nil
}

// Calls to services do not use the following methods of Backends.

// Generate implements backend.Engine.
func (*node) Generate(context.Context, string, backend.Dispatch) (backend.Stream, error) {
	return nil, errors.New("the test cluster has no engines")
}

// Resume implements backend.Engine.
func (*node) Resume(context.Context, string, string, int) (backend.Stream, error) {
	return nil, errors.New("the test cluster has no engines")
}

// Cancel implements backend.Engine.
func (*node) Cancel(context.Context, string, string) error { return nil }

// Streams implements backend.Engine.
func (*node) Streams(context.Context, string) ([]backend.StreamInfo, error) { return nil, nil }

// Reserve implements backend.Engine.
func (*node) Reserve(context.Context, string, string, backend.Reservation) error { return nil }

// Release implements backend.Engine.
func (*node) Release(context.Context, string, string) error { return nil }

// HasEnded implements Backends.
func (*node) HasEnded(context.Context, string) bool { return false }

// Load implements backend.Engine.
func (*node) Load(context.Context, string) (backend.Load, error) { return backend.Load{}, nil }
