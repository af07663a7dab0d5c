package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// Bounds on a request under which servers crash.
const (
	// crashesAllowed is how many servers may crash before the request counts as the cause.
	crashesAllowed = 3
	// knownTime is after how long all VMs must know of it, and sendsAllowed how often it may be
	// sent after that.
	knownTime    = 3 * time.Second
	sendsAllowed = 3
)

// Servers crashed one after the other, each a quarter of a second after the last, and half of the
// short prompts were refused while they were away. On each of them was a request with the same
// path and body of the same organisation: "attempt failed lost=true" names one fingerprint for
// nine servers in two seconds, from five VMs, always before its first event. Its callers
// asked again at other VMs under new IDs, and what a VM knows of a request
// ended with each try, so it was new each time and got one more server, or two where a stream is resumed:
// "was sent to servers 15 times more; 30 ended in all". The servers were ejected, and
// never what they had been asked.
func TestRequestThatCrashesServersIsSentNoMore(t *testing.T) {
	for name, test := range map[string]struct {
		caller caller
		// between happens between the two times that its callers come.
		between func(fleet *fleet)
	}{
		"stream that may be resumed": {caller: stream("chat")},
		"stream that runs once":      {caller: stream("bill")},
		"call that may be repeated":  {caller: plain(http.MethodPost, "look")},
		"call that runs once":        {caller: plain(http.MethodPost, "pay")},
		"its time is over": {caller: stream("chat"), between: func(*fleet) {
			time.Sleep(gateway.DefaultSettings().Quarantine.Time)
		}},
		"all VMs start again": {caller: stream("chat"), between: func(fleet *fleet) {
			fleet.stopAll()
			fleet.startAll()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 5, 9, func(fleet *fleet) {
				harmful := test.caller
				harmful.body = crashing
				fleet.repeat(harmful, 300*time.Millisecond, 4*time.Second)
				time.Sleep(5 * time.Second)
				if test.between != nil {
					test.between(fleet)
				}
				fleet.repeat(harmful, 300*time.Millisecond, 4*time.Second)
				crashes := fleet.crashes()
				assert.Assert(fleet.t, len(crashes) >= crashesAllowed, "%d servers crashed", len(crashes))
				sends := fleet.sendsAfter(crashing, crashes[crashesAllowed-1].Add(knownTime))
				assert.Assert(fleet.t, sends <= sendsAllowed, "sent %d times more, %d servers crashed", sends, len(crashes))
			})
		})
	}
}

// TestOthersAreServedWhileServersCrash has requests of other bodies on the servers that crash, and
// callers who ask again at once: they are not taken for the cause, however often they were there.
func TestOthersAreServedWhileServersCrash(t *testing.T) {
	const reason = `"error":"crashes_servers"`
	inFleet(t, 5, 9, func(fleet *fleet) {
		harmful := stream("chat")
		harmful.body = crashing
		harmless := []caller{stream("bill"), stream("chat"), plain(http.MethodGet, "look")}
		var callers sync.WaitGroup
		var atFault []answer
		others := make([][]answer, len(harmless))
		callers.Go(func() { atFault = fleet.repeat(harmful, 300*time.Millisecond, 4*time.Second) })
		for number, caller := range harmless {
			callers.Go(func() { others[number] = fleet.repeat(caller, 60*time.Millisecond, 4*time.Second) })
		}
		callers.Wait()
		last := atFault[len(atFault)-1]
		assert.Equal(fleet.t, last.status, http.StatusServiceUnavailable)
		assert.Assert(fleet.t, strings.Contains(last.body, reason), last.body)
		assert.Assert(fleet.t, strings.Contains(last.body, `"not_run":true`), last.body)
		assert.Assert(fleet.t, last.header.Get("Retry-After") > "10", last.header.Get("Retry-After"))
		assert.Assert(fleet.t, last.took < 20*time.Millisecond, "%s", last.took)
		for _, answers := range others {
			for _, got := range answers {
				assert.Assert(fleet.t, !strings.Contains(got.body, reason), got.body)
			}
		}
		time.Sleep(entryTime)
		for _, caller := range harmless {
			for _, got := range fleet.repeat(caller, 100*time.Millisecond, time.Second) {
				assert.Equal(fleet.t, got.status, http.StatusOK, got.body)
			}
		}
	})
}
