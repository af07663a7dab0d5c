package exchange_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRegisterThatCameBackOlder loses some VMs: within 12 s all are there again, each written once, with one look of
// each VM, of which no second sees more than a fifth.
func TestRegisterThatCameBackOlder(t *testing.T) {
	for name, test := range map[string]struct {
		vms, lost int
		// away is how long it is away then.
		away time.Duration
	}{
		"6 VMs":                      {vms: 6, lost: 2},
		"76 VMs":                     {vms: 76, lost: 30},
		"295 VMs":                    {vms: 295, lost: 295},
		"6 VMs, away for a moment":   {vms: 6, lost: 6, away: 700 * time.Millisecond},
		"76 VMs, none was forgotten": {vms: 76},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, test.vms, func(t *testing.T, vms *vms, _ []*countingConn) {
				vms.register.forget(test.lost)
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
				assert.Equal(t, vms.register.size(), test.vms)
				assert.Equal(t, vms.register.count()-entered, test.lost)
				if test.away == 0 {
					assert.Equal(t, vms.register.looks()-looked, test.vms)
				}
				assert.Assert(t, most <= 5+test.vms/5, "%d looks in a second", most)
			})
		})
	}
}

// forget drops the VMs with the highest numbers.
func (register *register) forget(count int) {
	register.mu.Lock()
	defer register.mu.Unlock()
	all := len(register.members)
	for number := all - count; number < all; number++ {
		delete(register.members, fmt.Sprintf("vm-%d", number))
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
