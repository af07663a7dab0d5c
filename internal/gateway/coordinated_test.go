package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// addMembers enters VMs with great links into the register, of which nobody runs.
func (world *world) addMembers(count int) {
	for number := range count {
		member := exchange.Member{
			VM: fmt.Sprintf("vm-%d", number+2), Address: fmt.Sprintf("10.0.1.%d:82", number+2),
			DataCentre: "north", Capacity: 200,
		}
		value, err := json.Marshal(member)
		assert.NilError(world.t, err)
		world.store.Put("keyed.members", member.VM, value)
	}
}

// addMute lets one of them take part, and answer no request for servers.
func (world *world) addMute(number int) net.PacketConn {
	address := fmt.Sprintf("10.0.1.%d:82", number)
	conn, err := world.network.ListenPacket(world.t.Context(), address)
	assert.NilError(world.t, err)
	go func() {
		buffer := make([]byte, 8<<10)
		for {
			count, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			update := &wire.LoadUpdate{}
			asks := proto.Unmarshal(buffer[:count], update) == nil && (update.GetPing() || update.GetHello())
			if !asks {
				continue
			}
			answer, err := proto.Marshal(&wire.LoadUpdate{Vm: fmt.Sprintf("vm-%d", number), Address: address, UpMs: 60_000})
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(answer, from)
		}
	}()
	return conn
}

// TestVMServesAmongMany has one VM of many: it decides for itself when the others are
// away, and when the one that should decide is there and does not answer.
func TestVMServesAmongMany(t *testing.T) {
	for name, test := range map[string]struct {
		mute bool
		most time.Duration
	}{
		"the others are away":          {most: 180 * time.Millisecond},
		"the one that decides is mute": {mute: true, most: 240 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]backend{"a": streams(3, 0), "b": streams(3, 0)}
			services := map[string]backend{"c": answers(http.StatusOK, "fine")}
			inWorld(t, engines, services, func(world *world) {
				world.addMembers(30)
				if test.mute {
					conn := world.addMute(2)
					defer func() { _ = conn.Close() }()
				}
				world.restart()
				time.Sleep(3 * time.Second)
				got := world.ask(stream("chat").with("Token-Counts", "1000,50"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.whole)
				assert.Assert(t, got.took < test.most, "%s", got.took)
				got = world.ask(plain(http.MethodGet, "look"))
				assert.Equal(t, got.status, http.StatusOK)
			})
		})
	}
}
