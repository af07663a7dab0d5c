package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// quarantineDeadline is the time within which all VMs must receive a quarantine entry.
const quarantineDeadline = 3 * time.Second

// TestQuarantineEntriesReachAllVMs guards against VMs that miss the quarantine entry of a request that crashes servers. A
// coordinator detects the request. The entry must reach all VMs through its announcement, through heartbeats if the
// announcement is lost, and through the other coordinators if the first one is killed after its next heartbeat.
func TestQuarantineEntriesReachAllVMs(t *testing.T) {
	for _, count := range []int{6, 76, 295} {
		for name, announce := range map[string]func(vms *vms, coordinator int, entries []quarantine.Entry){
			"announced": func(vms *vms, coordinator int, entries []quarantine.Entry) {
				vms.instances[coordinator].Announce(entries)
			},
			"the announcement is lost": func(*vms, int, []quarantine.Entry) {},
			"the coordinator is killed after one heartbeat": func(vms *vms, coordinator int, _ []quarantine.Entry) {
				time.Sleep(600 * time.Millisecond) // one heartbeat reaches the other coordinators
				vms.stop[coordinator]()
				vms.network.SetUnreachable(address(coordinator), true)
			},
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", count, name), func(t *testing.T) {
				runInFleet(t, count, func(t *testing.T, vms *vms, _ []*countingConn) {
					coordinator := numberOf(t, vms.agreedCoordinators(t)[0])
					entries := []quarantine.Entry{{Fingerprint: 7, Until: time.Now().Add(time.Minute), Times: 1}}
					vms.sinks[coordinator].HandleQuarantined(entries)
					detected := time.Now()
					announce(vms, coordinator, entries)
					time.Sleep(quarantineDeadline - time.Since(detected))
					for number, sink := range vms.sinks {
						assert.Equal(t, len(sink.Quarantined()), 1, "vm-%d", number)
					}
				})
			})
		}
	}
}

// TestNewVMReceivesQuarantineEntries checks that a VM that starts after the announcement receives the entries too.
func TestNewVMReceivesQuarantineEntries(t *testing.T) {
	runInFleet(t, 12, func(t *testing.T, vms *vms, _ []*countingConn) {
		entries := []quarantine.Entry{{Fingerprint: 7, Until: time.Now().Add(time.Minute), Times: 1}}
		vms.sinks[0].HandleQuarantined(entries)
		vms.instances[0].Announce(entries)
		time.Sleep(time.Second)
		vms.addMember(t, 12)
		time.Sleep(quarantineDeadline)
		assert.Equal(t, len(vms.sinks[12].Quarantined()), 1)
	})
}
