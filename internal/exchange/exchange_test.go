package exchange_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

var errUnavailable = errors.New("registry is unavailable")

// registry is an exchange.Registry in memory.
type registry struct {
	mu          sync.Mutex
	members     map[string]exchange.Member
	unavailable bool
	// registrations and listings count the calls of Register and List.
	registrations, listings int
}

var _ exchange.Registry = (*registry)(nil)

func (registry *registry) Register(_ context.Context, member exchange.Member) error {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.unavailable {
		return errUnavailable
	}
	registry.members[member.VM] = member
	registry.registrations++
	return nil
}

func (registry *registry) List(context.Context) ([]exchange.Member, error) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.listings++
	var list []exchange.Member
	for _, member := range registry.members {
		list = append(list, member)
	}
	return list, nil
}

func (registry *registry) registrationCount() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.registrations
}

func (registry *registry) setUnavailable(unavailable bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.unavailable = unavailable
}

// sink is an exchange.Sink that provides the reports of one VM, and records what the VM receives.
type sink struct {
	mu       sync.Mutex
	own      []pool.Report
	received map[string][]pool.Report
	// storeUnavailable reports whether the store does not respond to the VM.
	storeUnavailable bool
	// entries holds the quarantined requests.
	entries []quarantine.Entry
	// listed has the suspects of this VM, and suspects those of others by the VM that listed them.
	listed   []quarantine.Suspect
	suspects map[string][]quarantine.Suspect
	// begun has the begun responses of this VM, and remoteBegun those of others.
	begun       []quarantine.Begun
	remoteBegun []quarantine.Begun
}

var _ exchange.Sink = (*sink)(nil)

func (sink *sink) OwnReports() []pool.Report {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return slices.Clone(sink.own)
}

func (sink *sink) HandleReports(vm string, reports []pool.Report) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.received[vm] = append(sink.received[vm], reports...)
}

func (*sink) HandleRequests(string, []dispatch.AssignmentRequest) {}

func (*sink) HandleResponses(string, []dispatch.AssignmentResponse) {}

func (sink *sink) Quarantined() []quarantine.Entry {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return slices.Clone(sink.entries)
}

func (sink *sink) HandleQuarantined(entries []quarantine.Entry) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, entry := range entries {
		same := func(known quarantine.Entry) bool { return known.Fingerprint == entry.Fingerprint }
		if !slices.ContainsFunc(sink.entries, same) {
			sink.entries = append(sink.entries, entry)
		}
	}
}

func (sink *sink) Suspects() []quarantine.Suspect {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return sink.listed
}

func (sink *sink) HandleSuspects(vm string, suspects []quarantine.Suspect) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if sink.suspects == nil {
		sink.suspects = make(map[string][]quarantine.Suspect)
	}
	sink.suspects[vm] = suspects
}

func (sink *sink) Begun() []quarantine.Begun {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return sink.begun
}

func (sink *sink) HandleBegun(begun []quarantine.Begun) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.remoteBegun = append(sink.remoteBegun, begun...)
}

func (sink *sink) setListed(suspects []quarantine.Suspect) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.listed = suspects
}

// suspectsOf returns the last list of suspects of a VM.
func (sink *sink) suspectsOf(vm string) []quarantine.Suspect {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return sink.suspects[vm]
}

func (sink *sink) setBegun(begun []quarantine.Begun) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.begun = begun
}

func (sink *sink) begunOfOthers() []quarantine.Begun {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return slices.Clone(sink.remoteBegun)
}

func (sink *sink) StoreUnavailable() bool {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return sink.storeUnavailable
}

func (sink *sink) setStoreUnavailable(storeUnavailable bool) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.storeUnavailable = storeUnavailable
}

func (sink *sink) reportsFrom(vm string) []pool.Report {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return slices.Clone(sink.received[vm])
}

// vms is a fleet of VMs on one in-memory network. The slices are indexed by VM number.
type vms struct {
	settings  exchange.Settings
	network   *memnet.Network
	registry  *registry
	instances []*exchange.Exchange
	sinks     []*sink
	stop      []context.CancelFunc
	// clock is the clock of VMs that addMember adds.
	clock func() time.Time
}

func address(number int) string {
	const perNet = 250 // an octet of an IP address is at most 255
	return fmt.Sprintf("10.0.%d.%d:7340", number/perNet, number%perNet+1)
}

func newVMs(t *testing.T, count int) *vms {
	t.Helper()
	vms := &vms{settings: exchange.DefaultSettings(), network: memnet.New(), registry: &registry{members: make(map[string]exchange.Member)}, clock: time.Now}
	for number := range count {
		vms.add(t, number)
	}
	return vms
}

func (vms *vms) add(t *testing.T, number int) {
	t.Helper()
	conn, err := vms.network.ListenPacket(t.Context(), address(number))
	assert.NilError(t, err)
	vms.join(t, number, "", conn)
}

// join starts a VM of the data centre on conn.
func (vms *vms) join(t *testing.T, number int, dataCentre string, conn net.PacketConn) {
	t.Helper()
	self := exchange.Member{VM: fmt.Sprintf("vm-%d", number), Address: address(number), DataCentre: dataCentre}
	instance := exchange.New(vms.settings, self, conn, nil, vms.registry, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
	sink := &sink{received: make(map[string][]pool.Report)}
	ctx, stop := context.WithCancel(t.Context())
	go func() { _ = instance.Run(ctx, sink) }()
	vms.instances, vms.sinks, vms.stop = append(vms.instances, instance), append(vms.sinks, sink), append(vms.stop, stop)
}

func (vms *vms) stopAll() {
	for _, stop := range vms.stop {
		stop()
	}
	synctest.Wait()
}

func (vms *vms) liveCounts() []int {
	var counts []int
	for _, instance := range vms.instances {
		count, _ := instance.Members()
		counts = append(counts, count)
	}
	return counts
}

// TestLiveCount checks how many live VMs each VM counts after VMs stop, join, are partitioned or return.
func TestLiveCount(t *testing.T) {
	tests := map[string]struct {
		change func(t *testing.T, vms *vms)
		want   []int
	}{
		"all VMs discover each other": {
			change: func(*testing.T, *vms) {},
			want:   []int{3, 3, 3},
		},
		"a VM stops": {
			change: func(_ *testing.T, vms *vms) {
				vms.stop[2]()
				vms.instances = vms.instances[:2]
			},
			want: []int{2, 2},
		},
		"a VM joins": {
			change: func(t *testing.T, vms *vms) { vms.add(t, 3) },
			want:   []int{4, 4, 4, 4},
		},
		"a VM is partitioned": {
			change: func(_ *testing.T, vms *vms) { vms.network.SetUnreachable(address(0), true) },
			want:   []int{1, 2, 2},
		},
		"a partitioned VM returns": {
			change: func(_ *testing.T, vms *vms) {
				vms.network.SetUnreachable(address(0), true)
				time.Sleep(10 * time.Second)
				vms.network.SetUnreachable(address(0), false)
			},
			want: []int{3, 3, 3},
		},
		"a VM joins while the registry is unavailable": {
			change: func(t *testing.T, vms *vms) {
				vms.registry.setUnavailable(true)
				vms.add(t, 3)
				time.Sleep(5 * time.Second)
				vms.registry.setUnavailable(false)
			},
			want: []int{4, 4, 4, 4},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vms := newVMs(t, 3)
				defer vms.stopAll()
				time.Sleep(time.Second)
				test.change(t, vms)
				time.Sleep(4 * time.Second)
				assert.DeepEqual(t, vms.liveCounts(), test.want)
			})
		})
	}
}

// TestReportsReachPeers checks that a published report arrives unchanged, and that heartbeats repeat all own reports.
func TestReportsReachPeers(t *testing.T) {
	report := pool.Report{
		ID: 7, Server: "s1", Phase: pool.PhaseDecode, PrefillTime: 1500 * time.Microsecond, Memory: 133_000,
		InterTokenObjective: 250 * time.Millisecond, Packable: true, PrefillOnly: true, Age: 20 * time.Millisecond,
	}
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 2)
		defer vms.stopAll()
		time.Sleep(time.Second)
		vms.instances[0].Publish(report)
		time.Sleep(5 * time.Millisecond)
		assert.DeepEqual(t, vms.sinks[1].reportsFrom("vm-0"), []pool.Report{report})
		// Heartbeats repeat the own reports, in as many datagrams as needed.
		var own []pool.Report
		for id := range 100 {
			own = append(own, pool.Report{ID: uint64(id), Server: "s1", Phase: pool.PhasePrefill})
		}
		vms.sinks[0].mu.Lock()
		vms.sinks[0].own = own
		vms.sinks[0].mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, len(vms.sinks[1].reportsFrom("vm-0")) >= 101)
	})
}

// TestMalformedDatagramsAreIgnored checks that a VM that receives malformed datagrams keeps running, and adds no peers.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 2)
		defer vms.stopAll()
		time.Sleep(time.Second)
		conn, err := vms.network.ListenPacket(t.Context(), "10.0.0.99:1")
		assert.NilError(t, err)
		target, err := vms.network.ListenPacket(t.Context(), "10.0.0.98:1")
		assert.NilError(t, err)
		defer func() { _, _ = conn.Close(), target.Close() }()
		for _, data := range [][]byte{nil, {0xff, 0xff}, make([]byte, 3000)} {
			_, err = conn.WriteTo(data, memoryAddress(address(0)))
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, vms.liveCounts(), []int{2, 2})
	})
}

// memoryAddress is an address on a memnet.Network.
type memoryAddress string

func (memoryAddress) Network() string        { return "memory" }
func (address memoryAddress) String() string { return string(address) }
