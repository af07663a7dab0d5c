// Package capacity measures the memory, CPU and network costs of the system's
// components at four sizes each, so that the costs at larger sizes can be
// extrapolated linearly.
package capacity

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// model is the model of all engines.
const model = "clerk"

// Numbers of repetitions per measurement of operations that are too fast to be
// measured once, and the number of keys per batch of records.
const (
	decisionCount = 20_000
	pollRounds    = 20
	changeCount   = 50
	keysPerEntry  = 10
	gcRuns        = 2 // garbage collections before the heap is measured, so that unreachable memory isn't counted
)

// Series has the cost of a component at several sizes.
type Series struct {
	Name string
	// Unit is the unit of the cost, and PerUnit the unit of the size.
	Unit    string
	PerUnit string
	Points  []Point
}

// Point is the cost at one size.
type Point struct {
	Size int
	Cost float64
}

// Slope fits a line to the points. It returns the cost at size zero and the
// additional cost per unit of size.
func (series Series) Slope() (float64, float64) {
	sizes := make([]float64, 0, len(series.Points))
	costs := make([]float64, 0, len(series.Points))
	for _, point := range series.Points {
		sizes = append(sizes, float64(point.Size))
		costs = append(costs, point.Cost)
	}
	return stat.LinearRegression(sizes, costs, nil, false)
}

// Measure runs all measurements and returns their series. It returns an error if a
// load poll fails.
func Measure(ctx context.Context) ([]Series, error) {
	polls, err := measurePolls(ctx)
	if err != nil {
		return nil, err
	}
	return []Series{
		newSeries("memory of keys", "bytes", "key", []int{5_000, 10_000, 20_000, 40_000}, func(size int) float64 {
			return heapGrowth(func() *state.State { return stateWithKeys(size) })
		}),
		newSeries("checkpoint of keys", "bytes", "key", []int{5_000, 10_000, 20_000, 40_000}, func(size int) float64 {
			return float64(proto.Size(stateWithKeys(size).Encode()))
		}),
		newSeries("applying key records", "µs CPU", "key (begin and finish)", []int{5_000, 10_000, 20_000, 40_000}, func(size int) float64 {
			return cpuMicroseconds(func() { stateWithKeys(size) })
		}),
		newSeries("memory of organisations", "bytes", "organisation", []int{2_500, 5_000, 10_000, 20_000}, func(size int) float64 {
			return heapGrowth(func() *state.State { return stateWithOrganisations(size) })
		}),
		newSeries("one change of configuration", "µs CPU", "organisation", []int{2_500, 5_000, 10_000, 20_000}, measureConfigurationChange),
		newSeries("records on the log", "bytes", "key (begin and finish)", []int{100, 200, 400, 800}, func(size int) float64 {
			return float64(proto.Size(keyRecords(size)))
		}),
		newSeries("one frame of loads, keeper to entry", "bytes", "engine", []int{20, 100, 300, 600}, func(size int) float64 {
			return float64(proto.Size(loadsFrame(size)))
		}),
		newSeries("snapshot and decision for a short prompt", "µs CPU", "server", []int{20, 100, 300, 600}, measureDecision),
		polls,
	}, nil
}

// newSeries returns a series of the cost at each size.
func newSeries(name, unit, of string, sizes []int, cost func(size int) float64) Series {
	series := Series{Name: name, Unit: unit, PerUnit: of}
	for _, size := range sizes {
		series.Points = append(series.Points, Point{Size: size, Cost: cost(size)})
	}
	return series
}

// keyRecords returns a batch with the begin and finish records of the given number
// of keys.
func keyRecords(size int) *wire.Batch {
	batch := &wire.Batch{}
	for i := range size {
		key := &wire.Key{Organisation: "register", Value: uuid.Must(uuid.NewV7()).String()}
		request := "vm1." + uuid.NewString()
		batch.Records = append(batch.Records,
			&wire.Record{Id: "begin/" + request, Body: &wire.Record_Begin{Begin: &wire.Begin{
				Key: key, RequestId: request, Owner: "vm1/" + request, TimeMs: 1000, ContentDigest: uint64(i),
			}}},
			&wire.Record{Id: "finish/" + request, Body: &wire.Record_Finish{Finish: &wire.Finish{
				Key: key, RequestId: request, Outcome: wire.Outcome_OUTCOME_COMPLETED, Server: "suva-a-00",
			}}},
		)
	}
	return batch
}

// stateWithKeys returns a state after applying the records of the given number of
// keys, in encoded batches as on the log.
func stateWithKeys(size int) *state.State {
	current := state.New()
	for range size / keysPerEntry {
		data, err := proto.Marshal(keyRecords(keysPerEntry))
		if err != nil {
			panic(err) // can't happen: the records can be encoded
		}
		_, err = current.Apply(current.Next, state.DecodeBatch(data))
		if err != nil {
			panic(err) // can't happen: offsets are consecutive
		}
	}
	return current
}

// loadsFrame returns a message from a keeper to an entry with the load reports of
// the given number of engines.
func loadsFrame(size int) *wire.ServerFrame {
	loads := &wire.Loads{}
	for i := range size {
		loads.Loads = append(loads.Loads, &wire.Load{
			ServerId: fmt.Sprintf("nausori-%03d", i), FreeTokens: 400_000, QueuedPrefillTokens: 20_000, Running: 12,
		})
	}
	return &wire.ServerFrame{Body: &wire.ServerFrame_Loads{Loads: loads}}
}

// stateWithOrganisations returns a state with the given number of organisations.
func stateWithOrganisations(size int) *state.State {
	current := state.New()
	for i := range size {
		apply(current, uint64(i), putOrganisation(i, 0))
	}
	return current
}

// putOrganisation returns a record that stores an organisation.
func putOrganisation(i int, version uint64) *wire.Record {
	return &wire.Record{Body: &wire.Record_PutOrganisation{PutOrganisation: &wire.PutOrganisation{
		Organisation:    &wire.Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 1, MaxConcurrent: 8},
		ExpectedVersion: version,
	}}}
}

// apply applies one record at the given offset.
func apply(current *state.State, offset uint64, record *wire.Record) {
	_, err := current.Apply(offset, &wire.Batch{Records: []*wire.Record{record}})
	if err != nil {
		panic(err) // can't happen: offsets are consecutive
	}
}

// measureConfigurationChange returns the CPU time in microseconds of applying one
// change to a state with the given number of organisations.
func measureConfigurationChange(size int) float64 {
	current := stateWithOrganisations(size)
	return cpuMicroseconds(func() {
		for i := range changeCount {
			apply(current, current.Next, putOrganisation(size+i, 0))
		}
	}) / changeCount
}

// measureDecision returns the CPU time in microseconds of a snapshot of the given
// number of servers and a routing decision for a short prompt.
func measureDecision(size int) float64 {
	servers := fleet.New(fleet.DefaultSettings(), time.Now)
	fleetMessage := &wire.Fleet{}
	for i := range size {
		fleetMessage.Servers = append(fleetMessage.Servers, &wire.Server{
			Id: fmt.Sprintf("engine-%03d", i), Kind: platformclient.KindEngine, Models: []string{model}, MemoryTokens: 1 << 19,
		})
	}
	servers.SetFleet(fleetMessage)
	policy := routing.NewLengthAware(routing.DefaultLengthAwareSettings())
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // fixed seed
	request := routing.Request{Model: model, Tokens: 1000, MaxTokens: 16, TimeLeft: time.Second}
	return cpuMicroseconds(func() {
		for range decisionCount {
			policy.Decide(servers.Snapshot(platformclient.KindEngine, func(string) bool { return false }), request, random)
		}
	}) / decisionCount
}

// measurePolls measures the CPU time of polling each engine's load once over HTTP
// on this machine, of client and servers together.
func measurePolls(ctx context.Context) (Series, error) {
	series := Series{Name: "one round of load polls (both ends)", Unit: "µs CPU", PerUnit: "engine"}
	client := backend.NewHTTPBackend()
	for _, size := range []int{10, 20, 40, 80} {
		addresses, stop := startEngines(size)
		err := pollAll(ctx, client, addresses) // opens the connections before the measurement
		if err != nil {
			stop()
			return series, err
		}
		cost := cpuMicroseconds(func() {
			for range pollRounds {
				err = errors.CombineErrors(err, pollAll(ctx, client, addresses))
			}
		}) / pollRounds
		stop()
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, Point{Size: size, Cost: cost})
	}
	return series, nil
}

// startEngines starts HTTP servers of simulated engines. It returns their addresses
// and a function that stops them.
func startEngines(size int) ([]string, func()) {
	addresses := make([]string, 0, size)
	servers := make([]*httptest.Server, 0, size)
	for i := range size {
		created := engine.New(fmt.Sprintf("engine-%d", i), []string{model}, true, engine.DefaultSettings(),
			execution.New(), func(string) *engine.Engine { return nil }, nil)
		server := httptest.NewServer(created.Handler())
		servers = append(servers, server)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses, func() {
		http.DefaultClient.CloseIdleConnections()
		for _, server := range servers {
			server.Close()
		}
	}
}

// pollAll polls the load of each engine once, one after another.
func pollAll(ctx context.Context, client *backend.HTTPBackend, addresses []string) error {
	for _, address := range addresses {
		_, err := client.Load(ctx, address)
		if err != nil {
			return err
		}
	}
	return nil
}

// heapGrowth returns the memory that the result of build uses, in bytes.
func heapGrowth(build func() *state.State) float64 {
	before := heapInUse()
	built := build()
	after := heapInUse()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

// heapInUse returns the size of reachable heap memory in bytes.
func heapInUse() uint64 {
	for range gcRuns {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuMicroseconds returns the CPU time in microseconds that this process uses
// while work runs.
func cpuMicroseconds(work func()) float64 {
	before := cpuTime()
	work()
	return float64(cpuTime()-before) / float64(time.Microsecond)
}

// cpuTime returns the user and system CPU time of this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		panic(err) // can't happen: the argument is valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Print writes the series as a Markdown table.
func Print(w io.Writer, all []Series) {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| cost\t| at four sizes\t| base\t| slope\t|")
	fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|")
	for _, series := range all {
		points := make([]string, 0, len(series.Points))
		for _, point := range series.Points {
			points = append(points, fmt.Sprintf("%d: %.4g", point.Size, point.Cost))
		}
		base, slope := series.Slope()
		fmt.Fprintf(table, "| %s (%s)\t| %s\t| %.3g\t| %.3g per %s\t|\n",
			series.Name, series.Unit, strings.Join(points, ", "), base, slope, series.PerUnit)
	}
	_ = table.Flush()
}
