package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// allMustKnow is within what time all VMs must know of a request under which servers crash.
const allMustKnow = 3 * time.Second

// TestEntriesReachAllVMs has one of the VMs that decide find a request under which servers crash. The others are told
// at once; where that is lost, and the one that found it is gone, by those that it told.
func TestEntriesReachAllVMs(t *testing.T) {
	for _, count := range []int{6, 76, 295} {
		for name, happen := range map[string]func(vms *vms, finder int, entries []quarantine.Entry){
			"told by all": func(vms *vms, finder int, entries []quarantine.Entry) {
				vms.parts[finder].Announce(entries)
			},
			"the announcement is lost": func(*vms, int, []quarantine.Entry) {},
			"the finder is killed soon after": func(vms *vms, finder int, _ []quarantine.Entry) {
				time.Sleep(600 * time.Millisecond) // in which the others that decide hear from it once
				vms.stop[finder]()
				vms.network.SetDark(address(finder), true)
			},
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", count, name), func(t *testing.T) {
				inFleet(t, count, func(t *testing.T, vms *vms, _ []*countingConn) {
					finder := numberOf(t, vms.agreed(t)[0])
					entries := []quarantine.Entry{{Fingerprint: 7, Until: time.Now().Add(time.Minute), Times: 1}}
					vms.sinks[finder].ToldQuarantined(entries)
					found := time.Now()
					happen(vms, finder, entries)
					time.Sleep(allMustKnow - time.Since(found))
					for number, sink := range vms.sinks {
						assert.Equal(t, len(sink.Quarantined()), 1, "vm-%d", number)
					}
				})
			})
		}
	}
}

// TestNewVMLearnsEntries has a VM that starts after the finding.
func TestNewVMLearnsEntries(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, vms *vms, _ []*countingConn) {
		entries := []quarantine.Entry{{Fingerprint: 7, Until: time.Now().Add(time.Minute), Times: 1}}
		vms.sinks[0].ToldQuarantined(entries)
		vms.parts[0].Announce(entries)
		time.Sleep(time.Second)
		vms.addMember(t, 12)
		time.Sleep(allMustKnow)
		assert.Equal(t, len(vms.sinks[12].Quarantined()), 1)
	})
}
