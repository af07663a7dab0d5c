package exchange_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// countingConn counts the datagrams with reports of its own that one VM sends.
type countingConn struct {
	net.PacketConn

	vm   string
	sent atomic.Int64
}

func (conn *countingConn) WriteTo(data []byte, address net.Addr) (int, error) {
	update := &wire.LoadUpdate{}
	if err := proto.Unmarshal(data, update); err == nil && update.GetVm() == conn.vm && len(update.GetSendings()) > 0 {
		conn.sent.Add(1)
	}
	return conn.PacketConn.WriteTo(data, address) //nolint:wrapcheck // passes it on
}

// addIn adds a VM of a data centre, and returns its connection.
func (vms *vms) addIn(t *testing.T, number int, dataCentre string) *countingConn {
	t.Helper()
	inner, err := vms.network.ListenPacket(t.Context(), address(number))
	assert.NilError(t, err)
	conn := &countingConn{PacketConn: inner, vm: fmt.Sprintf("vm-%d", number)}
	vms.join(t, number, dataCentre, conn)
	return conn
}

// TestReportsPassThroughOneVMOfEachDataCentre has 18 VMs in three data centres, of
// which one is small.
func TestReportsPassThroughOneVMOfEachDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 0)
		vms.settings = apart()
		defer vms.end()
		first := vms.addIn(t, 0, "north")
		for number, dataCentre := range []string{
			"north", "north", "north", "north", "north", "north",
			"south", "south", "south", "south", "south", "south", "south",
			"west", "west", "west",
		} {
			vms.addIn(t, number+1, dataCentre)
		}
		time.Sleep(3 * time.Second)
		const reports = 10
		for id := range uint64(reports) {
			vms.parts[0].Publish(pool.Report{ID: id, Server: "s1", Phase: pool.PhaseReading})
			time.Sleep(5 * time.Millisecond)
		}
		// To six VMs of its own data centre, one in the south, and three in the west.
		const each = 6 + 1 + 3
		assert.Equal(t, first.sent.Load(), int64(reports*each))
		for number := 1; number < len(vms.sinks); number++ {
			assert.Equal(t, len(vms.sinks[number].toldBy("vm-0")), reports, "vm-%d", number)
		}
	})
}

// TestDeadRelayLosesLittle has a VM that dies: what others passed through it is
// told again through others.
func TestDeadRelayLosesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 0)
		vms.settings = apart()
		defer vms.end()
		vms.addIn(t, 0, "north")
		for number := 1; number <= 6; number++ {
			vms.addIn(t, number, "south")
		}
		time.Sleep(3 * time.Second)
		report := pool.Report{ID: 7, Server: "s1", Phase: pool.PhaseReading}
		vms.sinks[0].mu.Lock()
		vms.sinks[0].own = []pool.Report{report}
		vms.sinks[0].mu.Unlock()
		vms.network.SetDark(address(1), true)
		// Four times twice a second: that all four go through the dead one is less
		// likely than one in a thousand, and after 1.6 s it is left out.
		time.Sleep(2100 * time.Millisecond)
		for number := 2; number <= 6; number++ {
			assert.Assert(t, len(vms.sinks[number].toldBy("vm-0")) > 0, "vm-%d", number)
		}
		assert.Equal(t, len(vms.sinks[0].toldBy("vm-2")), 0, "it has nothing under way")
		assert.DeepEqual(t, vms.members()[2:], []int{6, 6, 6, 6, 6})
	})
}
