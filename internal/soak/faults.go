package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// span is the time in which a fault was active, and the VM that it affected.
type span struct {
	from, to time.Time
	kind     Kind
	// vm is the name of the affected VM, or empty for a fault that is not of one VM.
	vm string
}

// faultLog records the spans of faults. It may be used concurrently.
type faultLog struct {
	mu    sync.Mutex
	spans []span
}

func (log *faultLog) add(added span) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.spans = append(log.spans, added)
}

// between returns the faults that were active at any time in a span.
func (log *faultLog) between(from, to time.Time) []span {
	log.mu.Lock()
	defer log.mu.Unlock()
	var found []span
	for _, span := range log.spans {
		if span.from.Before(to) && span.to.After(from) {
			found = append(found, span)
		}
	}
	return found
}

// Durations around faults.
const (
	// restartSlack is how long after the end of its process a VM is exempt from time bounds.
	restartTime = time.Second
	// staleEntryTime is how long the entry of a dead server stays in the store.
	entryTime = 1500 * time.Millisecond
	// extraDrainTime is how long a draining server keeps serving beyond boundDrain.
	serveOn = 3 * time.Second
)

// injectFaults runs a plan and returns when all its faults have ended.
func (environment *world) inject(ctx context.Context, plan []Event) {
	start := time.Now()
	var running sync.WaitGroup
	for _, event := range plan {
		if !wait.For(ctx, time.Until(start.Add(event.At))) {
			break
		}
		running.Go(func() { environment.play(ctx, event) })
	}
	running.Wait()
}

// injectFault injects one fault, waits for its end and records its span.
func (environment *world) play(ctx context.Context, event Event) {
	from := time.Now()
	vm := environment.vms[event.Target%len(environment.vms)]
	backend := environment.backends[event.Target%len(environment.backends)]
	affected := ""
	slack := time.Duration(0)
	switch event.Kind {
	case KindVMKill:
		affected, slack = vm.name, restartTime
		vm.process.signal(syscall.SIGKILL)
	case KindAllKill:
		slack = restartTime
		for _, vm := range environment.vms {
			vm.process.signal(syscall.SIGKILL)
		}
	case KindVMPause:
		affected = vm.name
		vm.process.signal(syscall.SIGSTOP)
		wait.For(ctx, event.For)
		vm.process.signal(syscall.SIGCONT)
	case KindVMStop:
		affected, slack = vm.name, boundGrace
		vm.process.signal(syscall.SIGTERM)
	case KindVMReload:
		affected = vm.name
		// Only the slack of the retry budget changes, which no check depends on.
		if err := environment.writeSite(vm, environment.ip(1, event.Target%len(environment.vms)), event.Target%50); err == nil {
			vm.process.signal(syscall.SIGHUP)
		}
	case KindFrontReset, KindFrontDelay, KindStoreCut:
		affected = vm.name
		environment.playVMProxy(ctx, event, vm)
	case KindStoreBusy, KindStoreSilent, KindStoreReset, KindStoreLost, KindStoreTrim, KindStoreStale:
		environment.playStore(ctx, event)
	case KindConfigure, KindRevoke, KindEvacuate:
		environment.playOperator(ctx, event)
	case KindStoreOlder:
		environment.playOlder(ctx, event)
	case KindServerKill, KindServerLeave, KindServerSays, KindBadEntry:
		environment.playServer(ctx, event, backend)
	case KindRequestCrash:
		environment.askHarmful(ctx, event)
	default:
		environment.playBackend(ctx, event, backend)
	}
	environment.log.add(span{from: from, to: time.Now().Add(slack), kind: event.Kind, vm: affected})
}

// runOperatorAction performs an action of the operator: a new configuration, a key revocation or an evacuation.
func (environment *world) playOperator(ctx context.Context, event Event) {
	switch event.Kind {
	case KindRevoke:
		environment.operator.revoke()
	case KindEvacuate:
		environment.operator.evacuate(secondCentre, true)
		wait.For(ctx, event.For)
		environment.operator.evacuate(secondCentre, false)
	default:
		environment.operator.addRoute()
	}
}

func (environment *world) playVMProxy(ctx context.Context, event Event, vm *vm) {
	proxy, mode := vm.front, modeReset
	switch event.Kind {
	case KindFrontDelay:
		mode = modeDelay
	case KindStoreCut:
		proxy, mode = vm.store, modeSilent
	}
	proxy.set(mode)
	wait.For(ctx, event.For)
	proxy.set(modePass)
}

func (environment *world) playStore(ctx context.Context, event Event) {
	if event.Kind == KindStoreStale {
		for _, vm := range environment.vms {
			vm.store.silence()
		}
		wait.For(ctx, event.For) // the effects of the silent connections count as part of this fault
		return
	}
	if event.Kind == KindStoreTrim {
		environment.store.Trim("keyed.op")
		environment.store.Trim("keyed.servers")
		return
	}
	environment.store.SetFault(map[Kind]metastore.Fault{
		KindStoreBusy: metastore.FaultBusy, KindStoreSilent: metastore.FaultNoResponse,
		KindStoreReset: metastore.FaultReset, KindStoreLost: metastore.FaultLostResponse,
	}[event.Kind])
	wait.For(ctx, event.For)
	environment.store.SetFault(metastore.FaultNone)
}

// changeServer replaces a server or makes its entry malformed.
func (environment *world) playServer(ctx context.Context, event Event, backend *backend) {
	if !backend.replacing.TryLock() {
		return // a replacement is in progress
	}
	defer backend.replacing.Unlock()
	if event.Kind == KindBadEntry {
		environment.spoil(ctx, event, backend)
		return
	}
	environment.replace(ctx, event, backend)
}

// replaceServer ends a server, abruptly or after a drain, and starts a new one at its address.
func (environment *world) replace(ctx context.Context, event Event, backend *backend) {
	identity := backend.identity()
	if event.Kind == KindServerSays {
		environment.sayLeaving(ctx, event, backend)
	}
	if event.Kind != KindServerKill {
		environment.operator.list(identity, true)
		wait.For(ctx, boundDrain+serveOn)
	}
	backend.stop()
	wait.For(ctx, entryTime)
	environment.operator.drop(identity)
	// The new server reuses the address, as servers on the platform may.
	if err := environment.startBackend(ctx, backend, backend.newName()); err != nil {
		environment.record.AddViolation(err.Error())
	}
}

// advertiseDraining makes a server advertise in its responses alone that it drains, while the store rejects all requests.
func (environment *world) sayLeaving(ctx context.Context, event Event, backend *backend) {
	from := time.Now()
	backend.sayLeaving()
	environment.store.SetFault(metastore.FaultBusy)
	wait.For(ctx, event.For)
	environment.store.SetFault(metastore.FaultNone)
	environment.log.add(span{from: from, to: time.Now(), kind: KindStoreBusy})
}

// corruptEntry replaces the entry of a server by a malformed one until the fault ends and the entry is written again.
func (environment *world) spoil(ctx context.Context, event Event, backend *backend) {
	identity := backend.identity()
	environment.operator.spoil(identity, event.Target)
	wait.For(ctx, event.For)
	environment.operator.list(identity, false)
}

// rollbackOutage is how long the store is unavailable before it is restored from an older copy, and rewriteDelay how long
// after that its writers write their records again.
const (
	olderAway  = 300 * time.Millisecond
	olderAgain = 1200 * time.Millisecond
)

// rollBackStore restores the store from a copy that is as old as the fault is long.
func (environment *world) playOlder(ctx context.Context, event Event) {
	copied := environment.store.Snapshot()
	wait.For(ctx, event.For)
	environment.store.SetFault(metastore.FaultBusy)
	wait.For(ctx, olderAway)
	environment.store.Restore(copied)
	environment.store.SetFault(metastore.FaultNone)
	wait.For(ctx, olderAgain)
	environment.operator.rewrite()
}

// Rate limits that a server advertises, in requests per second: minRateLimit + n*rateLimitStep, with n from zero to
// rateLimitSteps-1.
const (
	limitLeast = 0.3
	limitStep  = 0.9
	limitSteps = 6
)

// advertiseRateLimits makes a server advertise one rate limit for the first half of a fault and another for the second.
func (backend *backend) nameLimits(ctx context.Context, event Event) {
	for half := range 2 {
		limit := limitLeast + limitStep*float64((event.Target>>(4*half))%limitSteps)
		backend.setFaults(platformserver.Faults{RateLimited: true, RateLimit: limit})
		wait.For(ctx, event.For/2)
	}
	backend.setFaults(platformserver.Faults{})
}

// requestedBackoff is the backoff that a server requests in its refusals.
const restAsked = 4 * time.Second

// faultyFraction is the fraction of its requests that a faulty server handles wrongly.
const faultPart = 0.3

// disruptBackend makes a server, or the connections to it, misbehave.
func (environment *world) playBackend(ctx context.Context, event Event, backend *backend) {
	modes := map[Kind]mode{KindLinkReset: modeReset, KindLinkSilent: modeSilent, KindLinkOneWay: modeOneWay}
	if event.Kind == KindLinkStale {
		backend.link.silence()
		wait.For(ctx, event.For) // the effects of the silent connections count as part of this fault
		return
	}
	if mode, ok := modes[event.Kind]; ok {
		backend.link.set(mode)
		wait.For(ctx, event.For)
		backend.link.set(modePass)
		return
	}
	if event.Kind == KindServerLimit {
		backend.nameLimits(ctx, event)
		return
	}
	backend.setFaults(map[Kind]platformserver.Faults{
		KindServerErrors: {Errors: faultPart}, KindServerRefuse: {Refused: faultPart}, KindServerLost: {LostResponses: faultPart},
		KindServerCut: {Truncated: faultPart}, KindServerExtra: {ExtraResponses: faultPart}, KindServerHang: {Hang: true},
		KindServerSlow: {Slowdown: 4}, KindServerRest: {Refused: faultPart, Backoff: restAsked},
	}[event.Kind])
	wait.For(ctx, event.For)
	backend.setFaults(platformserver.Faults{})
}
