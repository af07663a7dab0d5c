package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// Bounds of the platform for VMs that reach no server.
const (
	// contactTime is the time from the start of a cut from which callers of the VM must be served.
	contactTime = 3 * time.Second
	// cutTime is how long the cuts of tests last.
	cutTime = 12 * time.Second
)

// firstTries counts the requests that callers sent for the first time.
type firstTries struct {
	sent   int
	served int
	// quarantined counts those that were refused since servers crash under them.
	quarantined int
}

// queryDuringCut sends streams and plain requests to all VMs in turn while some of them are cut off, and returns the first tries
// sent between two times after the start of the cut, at the VMs that are cut off and at the others.
func (fleet *fleet) queryDuringCut(mode cutMode, cutVMs int, from, to time.Duration) (atCut, atOthers firstTries) {
	const interval = 50 * time.Millisecond
	requests := []callerRequest{streamRequest("chat"), plainRequest(http.MethodGet, "look"), streamRequest("chat"), plainRequest(http.MethodPost, "pay")}
	var mu sync.Mutex
	var callers sync.WaitGroup
	var cutAt time.Time
	for number := range int((2*time.Second + cutTime) / interval) {
		if number == int(2*time.Second/interval) {
			cutAt = time.Now()
			for _, vm := range fleet.vms[:cutVMs] {
				vm.network.begin(mode, serverPrefix)
			}
		}
		vm := number % len(fleet.vms)
		attempt := requests[number/len(fleet.vms)%len(requests)]
		attempt.vm = fleet.vms[vm].address()
		counted := !cutAt.IsZero() && time.Since(cutAt) >= from && time.Since(cutAt) < to
		callers.Go(func() {
			got := fleet.query(attempt)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			tries := &atOthers
			if vm < cutVMs {
				tries = &atCut
			}
			tries.sent++
			if got.status == http.StatusOK && got.complete {
				tries.served++
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	for _, vm := range fleet.vms[:cutVMs] {
		vm.network.end()
	}
	return atCut, atOthers
}

// TestCallersOfVMsWithoutLinksToServersAreServed guards against VMs that serve nobody while they reach no server and others do.
func TestCallersOfVMsWithoutLinksToServersAreServed(t *testing.T) {
	for _, mode := range []cutMode{cutResets, cutSilences, cutRefuses, cutAcceptsAndResets, cutAcceptsInSilence} {
		t.Run(string(mode), func(t *testing.T) {
			withFleet(t, 4, 3, func(fleet *fleet) {
				atCut, atOthers := fleet.queryDuringCut(mode, 2, contactTime, cutTime)
				assert.Assert(t, atOthers.served == atOthers.sent, "others: %+v", atOthers)
				failed := atCut.sent - atCut.served
				assert.Assert(t, failed <= atCut.sent/50, "VMs that are cut off: %+v, others: %+v", atCut, atOthers)
			})
		})
	}
}

// TestCutThatHangsIsSeenWithinASecond guards against requests that are lost in the first seconds of a cut in which nothing is refused: from a
// second after its start on, callers must be served like those of cuts that refuse connections.
func TestCutThatHangsIsSeenWithinASecond(t *testing.T) {
	for _, mode := range []cutMode{cutSilences, cutAcceptsInSilence} {
		t.Run(string(mode), func(t *testing.T) {
			withFleet(t, 4, 3, func(fleet *fleet) {
				atCut, atOthers := fleet.queryDuringCut(mode, 2, time.Second, contactTime)
				assert.Assert(t, atOthers.served == atOthers.sent, "others: %+v", atOthers)
				failed := atCut.sent - atCut.served
				assert.Assert(t, failed <= atCut.sent/50, "VMs that are cut off: %+v, others: %+v", atCut, atOthers)
			})
		})
	}
}

// TestProbesThatAreAnsweredAskNoOtherVM guards against connections through other VMs on quiet days, on which nothing is heard for seconds
// while a server reads a long prompt.
func TestProbesThatAreAnsweredAskNoOtherVM(t *testing.T) {
	withFleet(t, 2, 2, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.script = delayed(1500*time.Millisecond, responses(http.StatusOK, "fine"))
		}
		for range 5 {
			got := fleet.query(plainRequest(http.MethodPost, "pay"))
			assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
		}
		assert.Assert(t, fleet.metric(`mastwinch_probes_total{result="answered"}`) > 0)
		for _, result := range tunnel.Results() {
			assert.Equal(t, fleet.metric(`mastwinch_tunnels_total{result="`+string(result)+`"}`), 0.0)
		}
	})
}

// TestLinksThatAreCutAreNotCompared guards against connections through other VMs for each probe during a cut: once the links count as cut,
// only their return is to be found out.
func TestLinksThatAreCutAreNotCompared(t *testing.T) {
	withFleet(t, 3, 3, func(fleet *fleet) {
		fleet.vms[0].network.begin(cutAcceptsInSilence, serverPrefix)
		fleet.queryFirstVM(plainRequest(http.MethodGet, "look"), 300)
		compared := fleet.metric(`mastwinch_probes_total{result="answered_elsewhere"}`)
		assert.Assert(t, compared >= 1 && compared <= 4, "%g probes were compared", compared)
		assert.Assert(t, fleet.metric(`mastwinch_probes_total{result="unanswered"}`) >= 3)
	})
}
