package exchange_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRegisterThatCameBackOlder loses some of the VMs through which all are found: within 12 s they are there again, each
// written once, with one look of each of them, and of no other VM.
func TestRegisterThatCameBackOlder(t *testing.T) {
	for name, test := range map[string]struct {
		vms int
		// lost is the part of the VMs in the register that it loses.
		lost float64
		// away is how long it is away then.
		away time.Duration
	}{
		"6 VMs":                      {vms: 6, lost: 0.4},
		"76 VMs":                     {vms: 76, lost: 0.4},
		"295 VMs":                    {vms: 295, lost: 1},
		"6 VMs, away for a moment":   {vms: 6, lost: 1, away: 700 * time.Millisecond},
		"76 VMs, none was forgotten": {vms: 76},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, test.vms, func(t *testing.T, vms *vms, _ []*countingConn) {
				time.Sleep(5 * time.Second) // all that belong there are in the register
				size := vms.register.size()
				lost := int(test.lost * float64(size))
				vms.register.forget(lost)
				entered, looked := vms.register.count(), vms.register.looks()
				vms.register.setAway(test.away > 0)
				time.AfterFunc(test.away, func() { vms.register.setAway(false) })
				var reentering sync.WaitGroup
				for _, part := range vms.parts {
					reentering.Go(func() { part.Reenter(t.Context()) })
				}
				most := 0
				for range 12 {
					before := vms.register.looks()
					time.Sleep(time.Second)
					most = max(most, vms.register.looks()-before)
				}
				reentering.Wait()
				assert.Equal(t, vms.register.size(), size)
				assert.Equal(t, vms.register.count()-entered, lost)
				if test.away == 0 {
					assert.Equal(t, vms.register.looks()-looked, size)
				}
				assert.Assert(t, most <= 5+size/5, "%d looks in a second", most)
			})
		})
	}
}

// TestLooksAreApart has VMs that look whether the register still has them: no more than two do so in one second.
func TestLooksAreApart(t *testing.T) {
	for range 10 {
		inFleet(t, 6, func(t *testing.T, vms *vms, _ []*countingConn) {
			time.Sleep(5 * time.Second)
			var reentering sync.WaitGroup
			for _, part := range vms.parts {
				reentering.Go(func() { part.Reenter(t.Context()) })
			}
			for range 12 {
				before := vms.register.looks()
				time.Sleep(time.Second)
				assert.Assert(t, vms.register.looks()-before <= 2)
			}
			reentering.Wait()
		})
	}
}

// forget drops so many VMs.
func (register *register) forget(count int) {
	register.mu.Lock()
	defer register.mu.Unlock()
	for vm := range register.members {
		if count == 0 {
			return
		}
		delete(register.members, vm)
		count--
	}
}

func (register *register) size() int {
	register.mu.Lock()
	defer register.mu.Unlock()
	return len(register.members)
}

// looks returns how often the register was listed.
func (register *register) looks() int {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.listed
}
