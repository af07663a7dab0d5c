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
	restartSlack = time.Second
	// staleEntryTime is how long the entry of a dead server stays in the store.
	staleEntryTime = 1500 * time.Millisecond
	// extraDrainTime is how long a draining server keeps serving beyond boundDrain.
	extraDrainTime = 3 * time.Second
)

// injectFaults runs a plan and returns when all its faults have ended.
func (environment *environment) injectFaults(ctx context.Context, plan []Event) {
	start := time.Now()
	var running sync.WaitGroup
	for _, event := range plan {
		if !wait.For(ctx, time.Until(start.Add(event.At))) {
			break
		}
		running.Go(func() { environment.injectFault(ctx, event) })
	}
	running.Wait()
}

// injectFault injects one fault, waits for its end and records its span.
func (environment *environment) injectFault(ctx context.Context, event Event) {
	from := time.Now()
	vm := environment.vms[event.Target%len(environment.vms)]
	backend := environment.backends[event.Target%len(environment.backends)]
	affected := ""
	slack := time.Duration(0)
	switch event.Kind {
	case KindVMKill:
		affected, slack = vm.name, restartSlack
		vm.process.signal(syscall.SIGKILL)
	case KindAllKill:
		slack = restartSlack
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
	case KindFrontReset, KindFrontDelay, KindStoreCut, KindVMCutReset, KindVMCutSilent, KindVMUpdate:
		affected = vm.name
		environment.disruptVMConnections(ctx, event, vm)
	case KindStoreBusy, KindStoreSilent, KindStoreReset, KindStoreLost, KindStoreTrim, KindStoreStale, KindStoreOlder:
		environment.disruptStore(ctx, event)
	case KindConfigure, KindRevoke, KindEvacuate:
		environment.runOperatorAction(ctx, event)
	case KindVMCutAnswers, KindLateCopies, KindLostAnswers:
		slack = restartSlack
		environment.disruptAnswers(ctx, event)
	case KindServerKill, KindServerLeave, KindServerSays, KindBadEntry:
		environment.changeServer(ctx, event, backend)
	case KindRequestCrash, KindPartCrash:
		environment.sendCrashingRequests(ctx, event)
	case KindCrowd:
		environment.crowd(ctx, event)
	default:
		environment.disruptBackend(ctx, event, backend)
	}
	environment.log.add(span{from: from, to: time.Now().Add(slack), kind: event.Kind, vm: affected})
}

// runOperatorAction performs an action of the operator: a new configuration, a key revocation or an evacuation.
func (environment *environment) runOperatorAction(ctx context.Context, event Event) {
	switch event.Kind {
	case KindRevoke:
		environment.operator.revoke()
	case KindEvacuate:
		environment.operator.evacuate(secondDataCentre, true)
		wait.For(ctx, event.For)
		environment.operator.evacuate(secondDataCentre, false)
	default:
		environment.operator.addRoute()
	}
}

func (environment *environment) disruptVMConnections(ctx context.Context, event Event, vm *vm) {
	proxy, mode := vm.front, modeReset
	switch event.Kind {
	case KindVMCutReset, KindVMCutSilent:
		environment.cutFromServers(ctx, event, environment.ip(1, event.Target%len(environment.vms)))
		return
	case KindVMUpdate:
		environment.update(ctx, event)
		return
	case KindFrontDelay:
		mode = modeDelay
	case KindStoreCut:
		proxy, mode = vm.store, modeSilent
	}
	proxy.setMode(mode)
	wait.For(ctx, event.For)
	proxy.setMode(modePass)
}

// cutFromServers disturbs the connections from the address of a VM to all servers.
func (environment *environment) cutFromServers(ctx context.Context, event Event, source string) {
	mode := modeReset
	if event.Kind == KindVMCutSilent {
		mode = modeSilent
	}
	for _, backend := range environment.backends {
		backend.link.setCut(source, mode)
	}
	wait.For(ctx, event.For)
	for _, backend := range environment.backends {
		backend.link.setCut(source, modePass)
	}
}

func (environment *environment) disruptStore(ctx context.Context, event Event) {
	if event.Kind == KindStoreStale {
		for _, vm := range environment.vms {
			vm.store.silenceOpen()
		}
		wait.For(ctx, event.For) // the effects of the silent connections count as part of this fault
		return
	}
	if event.Kind == KindStoreOlder {
		environment.rollBackStore(ctx, event)
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
func (environment *environment) changeServer(ctx context.Context, event Event, backend *backend) {
	if !backend.replacing.TryLock() {
		return // a replacement is in progress
	}
	defer backend.replacing.Unlock()
	if event.Kind == KindBadEntry {
		environment.corruptEntry(ctx, event, backend)
		return
	}
	environment.replaceServer(ctx, event, backend)
}

// replaceServer ends a server, abruptly or after a drain, and starts a new one at its address.
func (environment *environment) replaceServer(ctx context.Context, event Event, backend *backend) {
	identity := backend.identity()
	if event.Kind == KindServerSays {
		environment.advertiseDraining(ctx, event, backend)
	}
	if event.Kind != KindServerKill {
		environment.operator.putServerEntry(identity, true)
		wait.For(ctx, boundDrain+extraDrainTime)
	}
	backend.stop()
	wait.For(ctx, staleEntryTime)
	environment.operator.removeServerEntry(identity)
	// The new server reuses the address, as servers on the platform may.
	if err := environment.startBackend(ctx, backend, backend.newName()); err != nil {
		environment.record.AddViolation(err.Error())
	}
}

// advertiseDraining makes a server advertise in its responses alone that it drains, while the store rejects all requests.
func (environment *environment) advertiseDraining(ctx context.Context, event Event, backend *backend) {
	from := time.Now()
	backend.advertiseDraining()
	environment.store.SetFault(metastore.FaultBusy)
	wait.For(ctx, event.For)
	environment.store.SetFault(metastore.FaultNone)
	environment.log.add(span{from: from, to: time.Now(), kind: KindStoreBusy})
}

// corruptEntry replaces the entry of a server by a malformed one until the fault ends and the entry is written again.
func (environment *environment) corruptEntry(ctx context.Context, event Event, backend *backend) {
	identity := backend.identity()
	environment.operator.corruptEntry(identity, event.Target)
	wait.For(ctx, event.For)
	environment.operator.putServerEntry(identity, false)
}

// rollbackOutage is how long the store is unavailable before it is restored from an older copy, and rewriteDelay how long
// after that its writers write their records again.
const (
	rollbackOutage = 300 * time.Millisecond
	rewriteDelay   = 1200 * time.Millisecond
)

// rollBackStore restores the store from a copy that is as old as the fault is long.
func (environment *environment) rollBackStore(ctx context.Context, event Event) {
	copied := environment.store.Snapshot()
	wait.For(ctx, event.For)
	environment.store.SetFault(metastore.FaultBusy)
	wait.For(ctx, rollbackOutage)
	environment.store.Restore(copied)
	environment.store.SetFault(metastore.FaultNone)
	wait.For(ctx, rewriteDelay)
	environment.operator.rewriteAll()
}

// Rate limits that a server advertises, in requests per second: minRateLimit + n*rateLimitStep, with n from zero to
// rateLimitSteps-1.
const (
	minRateLimit   = 0.3
	rateLimitStep  = 0.9
	rateLimitSteps = 6
)

// advertiseRateLimits makes a server advertise one rate limit for the first half of a fault and another for the second.
func (backend *backend) advertiseRateLimits(ctx context.Context, event Event) {
	for half := range 2 {
		limit := minRateLimit + rateLimitStep*float64((event.Target>>(4*half))%rateLimitSteps)
		backend.setFaults(platformserver.Faults{RateLimited: true, RateLimit: limit})
		wait.For(ctx, event.For/2)
	}
	backend.setFaults(platformserver.Faults{})
}

// requestedBackoff is the backoff that a server requests in its refusals.
const requestedBackoff = 4 * time.Second

// faultyFraction is the fraction of its requests that a faulty server handles wrongly.
const faultyFraction = 0.3

// disruptBackend makes a server, or the connections to it, misbehave.
func (environment *environment) disruptBackend(ctx context.Context, event Event, backend *backend) {
	modes := map[Kind]mode{KindLinkReset: modeReset, KindLinkSilent: modeSilent, KindLinkOneWay: modeOneWay}
	if event.Kind == KindLinkStale {
		backend.link.silenceOpen()
		wait.For(ctx, event.For) // the effects of the silent connections count as part of this fault
		return
	}
	if mode, ok := modes[event.Kind]; ok {
		backend.link.setMode(mode)
		wait.For(ctx, event.For)
		backend.link.setMode(modePass)
		return
	}
	if event.Kind == KindServerLimit {
		backend.advertiseRateLimits(ctx, event)
		return
	}
	backend.setFaults(map[Kind]platformserver.Faults{
		KindServerErrors: {Errors: faultyFraction}, KindServerRefuse: {Refused: faultyFraction}, KindServerLost: {LostResponses: faultyFraction},
		KindServerCut: {Truncated: faultyFraction}, KindServerExtra: {ExtraResponses: faultyFraction}, KindServerHang: {Hang: true},
		KindServerSlow: {Slowdown: 4}, KindServerRest: {Refused: faultyFraction, Backoff: requestedBackoff},
	}[event.Kind])
	wait.For(ctx, event.For)
	backend.setFaults(platformserver.Faults{})
}
