package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// crashingPart is the part of a prompt that crashes each server that begins to answer the prompt.
const crashingPart = "bad0bad0"

// Limits on sending requests that share a part which crashes servers.
const (
	// partCrashesAllowed is the number of servers that may crash before the part must be identified as the cause.
	partCrashesAllowed = 5
	// partSendsAllowed is the number of requests with the part that may reach servers later than quarantineTime after that.
	partSendsAllowed = 3
	// soundFraction is the least fraction of the usual rate of first tries that sound requests with the same first part must
	// have from soundTime after the last of these crashes on.
	soundFraction = 0.5
	soundTime     = 6 * time.Second
)

// promptWith returns a request whose prompt has the given parts and one of its own.
func promptWith(number int, parts ...string) callerRequest {
	var header strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&header, "%s:400,", part)
	}
	fmt.Fprintf(&header, "%08x:250", number)
	prompt := streamRequest("chat").with("Prefix-Hash", header.String())
	prompt.body = fmt.Sprintf("prompt %d of %v", number, parts)
	return prompt
}

// hasPart reports whether the prompt of a request that a server received has a part.
func (received receivedRequest) hasPart(part string) bool {
	return strings.Contains(received.Header.Get("Prefix-Hash"), part)
}

// partSendsAfter counts the requests with a part that reached servers after a time.
func (fleet *fleet) partSendsAfter(part string, after time.Time) int {
	count := 0
	for _, received := range fleet.requests() {
		if received.hasPart(part) && received.At.After(after) {
			count++
		}
	}
	return count
}

// TestSharedPartThatCrashesServersIsQuarantined guards against prompts that share a part under which servers crash. No two of
// them are alike, so each was new to the quarantine, and server after server crashed. Sound requests of the same caller, with the
// same first part, were lost with the servers.
func TestSharedPartThatCrashesServersIsQuarantined(t *testing.T) {
	for name, attack := range map[string]partAttack{
		"one and a half a second":                  {interval: 700 * time.Millisecond},
		"ten a second":                             {interval: 100 * time.Millisecond},
		"forty a second":                           {interval: 25 * time.Millisecond},
		"a burst that reaches all servers at once": {interval: 100 * time.Millisecond, burst: 48},
		"most callers use one VM":                  {interval: 50 * time.Millisecond, preferFirst: true},
		"VMs restart one after the other": {interval: 100 * time.Millisecond, during: func(fleet *fleet) {
			for _, vm := range fleet.vms {
				time.Sleep(400 * time.Millisecond)
				fleet.stop(vm)
				fleet.start(vm)
			}
		}},
		"all VMs restart": {interval: 100 * time.Millisecond, during: func(fleet *fleet) {
			time.Sleep(2 * time.Second)
			fleet.stopAll()
			fleet.startAll()
		}},
		"half of the VMs reach servers through the others": {interval: 100 * time.Millisecond, during: func(fleet *fleet) { fleet.cutFromServers(2) }},
		"most callers use a VM that reaches servers through others": {
			interval: 50 * time.Millisecond, preferFirst: true, during: func(fleet *fleet) { fleet.cutFromServers(1) },
		},
		"all come to a VM that reaches servers through others": {
			interval: 100 * time.Millisecond, crashingAtFirst: true, during: func(fleet *fleet) { fleet.cutFromServers(1) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 4, 12, func(fleet *fleet) { attack.run(fleet) })
		})
	}
}

// cutFromServers cuts the first VMs off from all servers for cutTime.
func (fleet *fleet) cutFromServers(count int) {
	for _, vm := range fleet.vms[:count] {
		vm.network.begin(cutResets, serverPrefix)
	}
	time.Sleep(cutTime)
	for _, vm := range fleet.vms[:count] {
		vm.network.end()
	}
}

// partAttack is a series of prompts that share a part which crashes servers.
type partAttack struct {
	interval time.Duration
	// burst is the number of prompts that are sent at once at the start.
	burst int
	// preferFirst sends nine of ten prompts, sound ones too, to the first VM.
	preferFirst bool
	// crashingAtFirst sends the prompts that crash servers, and their retries, to the first VM only.
	crashingAtFirst bool
	// during runs while the prompts are sent, from their start on; nil does nothing.
	during func(fleet *fleet)
}

// run sends the prompts, and sound ones beside them, and checks how many reach servers and how many sound ones are served.
func (attack partAttack) run(fleet *fleet) {
	const duration = 20 * time.Second
	usual := attack.sendPrompts(fleet, 4*time.Second, soundInterval, soundPrompt)
	var late firstTries
	var callers sync.WaitGroup
	crashingPrompt := func(number int) callerRequest {
		prompt := promptWith(number, firstPart, crashingPart)
		if attack.crashingAtFirst {
			prompt.vm = fleet.vms[0].address()
		}
		return prompt
	}
	if attack.during != nil {
		callers.Go(func() { attack.during(fleet) })
	}
	callers.Go(func() {
		if attack.crashingAtFirst {
			time.Sleep(time.Second) // until the VM is cut off
		}
		attack.sendPrompts(fleet, duration, attack.interval, crashingPrompt)
	})
	callers.Go(func() {
		attack.sendPrompts(fleet, time.Duration(attack.burst), 1, func(number int) callerRequest { return crashingPrompt(10_000 + number) })
	})
	callers.Go(func() {
		attack.sendPrompts(fleet, duration/2, soundInterval, soundPrompt)
		late = attack.sendPrompts(fleet, duration/2, soundInterval, soundPrompt)
	})
	callers.Wait()
	crashes := fleet.crashes()
	assert.Assert(fleet.t, len(crashes) >= 3, "%d servers crashed", len(crashes))
	last := crashes[min(len(crashes), partCrashesAllowed)-1]
	assert.Assert(fleet.t, last.Before(time.Now().Add(-duration/2-soundTime)), "the crashes came late")
	sends := fleet.partSendsAfter(crashingPart, last.Add(quarantineTime))
	fleet.t.Logf("%d servers crashed, %d requests sent too late, %d of %d first tries served", len(crashes), sends, late.served, late.sent)
	assert.Assert(fleet.t, sends <= partSendsAllowed, "%d requests with the part reached servers, %d servers crashed", sends, len(crashes))
	assert.Assert(fleet.t, float64(late.served)/float64(late.sent) >= soundFraction*float64(usual.served)/float64(usual.sent),
		"%d of %d first tries served, %d of %d before", late.served, late.sent, usual.served, usual.sent)
}

// TestPopularPartWithForgedLabelIsNotQuarantined guards against callers who label prompts that crash servers with a part of
// sound prompts, and so keep these from servers.
func TestPopularPartWithForgedLabelIsNotQuarantined(t *testing.T) {
	withFleet(t, 4, 12, func(fleet *fleet) {
		const forged = "00000003" // of each tenth sound prompt
		attack := partAttack{}
		attack.sendPrompts(fleet, 2*time.Second, soundInterval, soundPrompt)
		var sound firstTries
		var callers sync.WaitGroup
		callers.Go(func() {
			attack.sendPrompts(fleet, 10*time.Second, 500*time.Millisecond, func(int) callerRequest {
				request := promptWith(1, firstPart, forged)
				request.body = crashingBody
				return request
			})
		})
		callers.Go(func() {
			sound = attack.sendPrompts(fleet, 10*time.Second, soundInterval, func(number int) callerRequest {
				return promptWith(number, firstPart, forged)
			})
		})
		callers.Wait()
		assert.Assert(fleet.t, len(fleet.crashes()) >= 3)
		assert.Equal(fleet.t, sound.quarantined, 0, "%+v", sound)
		assert.Assert(fleet.t, float64(sound.served) >= soundFraction*float64(sound.sent), "%+v", sound)
	})
}

// firstPart is the first part of sound prompts and of those that crash servers, and soundInterval the time between sound ones.
const (
	firstPart     = "5c1e07a2"
	soundInterval = 80 * time.Millisecond
)

// soundPrompt returns one of the prompts that no server crashes on.
func soundPrompt(number int) callerRequest {
	return promptWith(number, firstPart, fmt.Sprintf("%08x", number%10))
}

// sendPrompts sends different prompts to the VMs in turn, one per interval for a duration, and returns what became of the first
// tries. A prompt whose first try fails is retried once, at the next VM.
func (attack partAttack) sendPrompts(fleet *fleet, duration, interval time.Duration, prompt func(number int) callerRequest) firstTries {
	var mu sync.Mutex
	var tries firstTries
	var callers sync.WaitGroup
	for number := range int(duration / interval) {
		callers.Go(func() {
			request := prompt(number)
			fixed := request.vm != ""
			if !fixed {
				request.vm = attack.vm(fleet, number).address()
			}
			got := fleet.query(request)
			mu.Lock()
			tries.sent++
			if strings.HasPrefix(got.body, "id: 1\n") {
				tries.served++
			}
			if strings.Contains(got.body, string(gateway.ReasonCrashesServers)) {
				tries.quarantined++
			}
			mu.Unlock()
			if got.status != http.StatusOK || !got.complete {
				if !fixed {
					request.vm = fleet.vms[(number+1)%len(fleet.vms)].address()
				}
				fleet.query(request)
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return tries
}

// vm returns the VM that gets the prompt of a number first. None goes to one that the balancer has taken out.
func (attack partAttack) vm(fleet *fleet, number int) *fleetVM {
	if attack.preferFirst && number%10 > 0 {
		return fleet.vms[0]
	}
	for fleet.vms[number%len(fleet.vms)].isTakenOut() {
		number++
	}
	return fleet.vms[number%len(fleet.vms)]
}
