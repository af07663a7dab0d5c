package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// TestSuspectsReachAllVMs guards against VMs that do not contain what a coordinator lists, or that contain it
// after the list has become empty, also when the announcement is lost.
func TestSuspectsReachAllVMs(t *testing.T) {
	listed := []quarantine.Suspect{{Fingerprint: 7, Contained: true}, {Fingerprint: 8}}
	for name, announced := range map[string]bool{"announced": true, "the announcement is lost": false} {
		delay := time.Second
		if announced {
			delay = 10 * time.Millisecond
		}
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 12, func(t *testing.T, vms *vms, _ []*countingConn) {
				coordinator := numberOf(t, vms.agreedCoordinators(t)[0])
				name := vms.agreedCoordinators(t)[0]
				for _, suspects := range [][]quarantine.Suspect{listed, nil} {
					vms.sinks[coordinator].setListed(suspects)
					if announced {
						vms.instances[coordinator].AnnounceSuspects(suspects)
					}
					time.Sleep(delay)
					for _, sink := range slices.Delete(slices.Clone(vms.sinks), coordinator, coordinator+1) {
						assert.DeepEqual(t, sink.suspectsOf(name), suspects)
					}
				}
			})
		})
	}
}

// TestBegunResponsesReachCoordinators guards against coordinators that hold losses against a part with which
// responses begin, also when the first report of one is lost.
func TestBegunResponsesReachCoordinators(t *testing.T) {
	for name, reported := range map[string]bool{"reported": true, "the report is lost": false} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 12, func(t *testing.T, vms *vms, _ []*countingConn) {
				coordinators := vms.agreedCoordinators(t)
				sender := slices.IndexFunc(vms.sinks, func(sink *sink) bool {
					return !slices.ContainsFunc(coordinators, func(vm string) bool { return vms.sinks[numberOf(t, vm)] == sink })
				})
				begun := []quarantine.Begun{{Part: 7, At: time.Now().Add(-time.Second)}}
				vms.sinks[sender].setBegun(begun)
				delay := time.Second
				if reported {
					vms.instances[sender].ReportBegun(begun)
					delay = 10 * time.Millisecond
				}
				time.Sleep(delay)
				for _, vm := range coordinators {
					got := vms.sinks[numberOf(t, vm)].begunOfOthers()
					assert.Assert(t, len(got) > 0)
					assert.Equal(t, got[0].Part, begun[0].Part)
					assert.Assert(t, got[0].At.Sub(begun[0].At).Abs() < 20*time.Millisecond, "%s", got[0].At.Sub(begun[0].At))
				}
			})
		})
	}
}

// TestReportsWithPartsFitDatagrams guards against losses whose many parts make datagrams longer than a path
// carries, and against parts that get lost.
func TestReportsWithPartsFitDatagrams(t *testing.T) {
	const longest = 1500 // bytes, the usual MTU
	runInFleet(t, 6, func(t *testing.T, vms *vms, conns []*countingConn) {
		var reports []pool.Report
		for number := range 40 {
			report := pool.Report{Server: "i-b132484052", Phase: pool.PhasePrefill, Health: pool.HealthConnectionLost, Fingerprint: fingerprint.Fingerprint(number + 1)}
			for part := range number {
				report.Parts = append(report.Parts, fingerprint.Fingerprint(1000*number+part))
			}
			reports = append(reports, report)
		}
		coordinator := numberOf(t, vms.agreedCoordinators(t)[0])
		sender := (coordinator + 1) % len(vms.sinks)
		before := len(vms.sinks[coordinator].reportsFrom(fmt.Sprintf("vm-%d", sender)))
		for _, report := range reports {
			vms.instances[sender].Publish(report)
		}
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, vms.sinks[coordinator].reportsFrom(fmt.Sprintf("vm-%d", sender))[before:], reports)
		assert.Assert(t, conns[sender].longest.Load() <= longest, "%d bytes", conns[sender].longest.Load())
	})
}
