package exchange_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestVMsReregisterAfterRestore guards against bootstrap VMs that stay missing after the registry was restored from an
// older copy, and against a burst of calls to the store. All missing VMs must register once within 12 s. Only the VMs that
// were registered before may read the registry, once each.
func TestVMsReregisterAfterRestore(t *testing.T) {
	for name, test := range map[string]struct {
		vms int
		// lost is the fraction of the registered VMs that the registry loses.
		lost float64
		// outage is how long the registry is unavailable afterwards.
		outage time.Duration
	}{
		"6 VMs":                    {vms: 6, lost: 0.4},
		"76 VMs":                   {vms: 76, lost: 0.4},
		"295 VMs":                  {vms: 295, lost: 1},
		"6 VMs and a short outage": {vms: 6, lost: 1, outage: 700 * time.Millisecond},
		"76 VMs, none lost":        {vms: 76},
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, test.vms, func(t *testing.T, vms *vms, _ []*countingConn) {
				time.Sleep(5 * time.Second) // all bootstrap VMs are registered
				size := vms.registry.size()
				lost := int(test.lost * float64(size))
				vms.registry.remove(lost)
				registrationsBefore, listsBefore := vms.registry.registrationCount(), vms.registry.listCount()
				vms.registry.setUnavailable(test.outage > 0)
				time.AfterFunc(test.outage, func() { vms.registry.setUnavailable(false) })
				var reregistering sync.WaitGroup
				for _, instance := range vms.instances {
					reregistering.Go(func() { instance.Reregister(t.Context()) })
				}
				maximum := 0
				for range 12 {
					before := vms.registry.listCount()
					time.Sleep(time.Second)
					maximum = max(maximum, vms.registry.listCount()-before)
				}
				reregistering.Wait()
				assert.Equal(t, vms.registry.size(), size)
				assert.Equal(t, vms.registry.registrationCount()-registrationsBefore, lost)
				if test.outage == 0 {
					assert.Equal(t, vms.registry.listCount()-listsBefore, size)
				}
				assert.Assert(t, maximum <= 5+size/5, "the registry was read %d times within a second", maximum)
			})
		})
	}
}

// TestReregistrationIsSpread checks that no more than two VMs read the registry within one second when all VMs check
// whether it still lists them.
func TestReregistrationIsSpread(t *testing.T) {
	for range 10 {
		runInFleet(t, 6, func(t *testing.T, vms *vms, _ []*countingConn) {
			time.Sleep(5 * time.Second)
			var reregistering sync.WaitGroup
			for _, instance := range vms.instances {
				reregistering.Go(func() { instance.Reregister(t.Context()) })
			}
			for range 12 {
				before := vms.registry.listCount()
				time.Sleep(time.Second)
				assert.Assert(t, vms.registry.listCount()-before <= 2)
			}
			reregistering.Wait()
		})
	}
}

// remove removes count VMs, as a restore from an older copy does.
func (registry *registry) remove(count int) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for vm := range registry.members {
		if count == 0 {
			return
		}
		delete(registry.members, vm)
		count--
	}
}

func (registry *registry) size() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return len(registry.members)
}

// listCount returns how often the registry was listed.
func (registry *registry) listCount() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.listings
}
