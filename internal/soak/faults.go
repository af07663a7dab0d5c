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

// span is when a fault was at work, and where.
type span struct {
	from, to time.Time
	kind     Kind
	// vm is the name of the VM that it struck, or empty.
	vm string
}

// faultLog has which faults were at work when.
type faultLog struct {
	mu    sync.Mutex
	spans []span
}

func (log *faultLog) add(added span) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.spans = append(log.spans, added)
}

// between returns the faults at work at any time in a span.
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

// Times of faults.
const (
	// restartTime is how long after its end a VM is not held to bounds.
	restartTime = time.Second
	// entryTime is how long the entry of a dead server stays listed.
	entryTime = 1500 * time.Millisecond
	// serveOn is how long a leaving server serves beyond the bound.
	serveOn = 3 * time.Second
)

// inject plays a plan until all faults are over.
func (world *world) inject(ctx context.Context, plan []Event) {
	start := time.Now()
	var playing sync.WaitGroup
	for _, event := range plan {
		if !wait.For(ctx, time.Until(start.Add(event.At))) {
			break
		}
		playing.Go(func() { world.play(ctx, event) })
	}
	playing.Wait()
}

// play plays one fault.
func (world *world) play(ctx context.Context, event Event) {
	from := time.Now()
	vm := world.vms[event.Target%len(world.vms)]
	backend := world.backends[event.Target%len(world.backends)]
	struck := ""
	after := time.Duration(0)
	switch event.Kind {
	case KindVMKill:
		struck, after = vm.name, restartTime
		vm.process.signal(syscall.SIGKILL)
	case KindAllKill:
		after = restartTime
		for _, vm := range world.vms {
			vm.process.signal(syscall.SIGKILL)
		}
	case KindVMPause:
		struck = vm.name
		vm.process.signal(syscall.SIGSTOP)
		wait.For(ctx, event.For)
		vm.process.signal(syscall.SIGCONT)
	case KindVMStop:
		struck, after = vm.name, boundGrace
		vm.process.signal(syscall.SIGTERM)
	case KindVMReload:
		struck = vm.name
		// The file is only as new as its slack, which no check reads.
		if err := world.writeSite(vm, world.ip(1, event.Target%len(world.vms)), event.Target%50); err == nil {
			vm.process.signal(syscall.SIGHUP)
		}
	case KindFrontReset, KindFrontDelay, KindStoreCut:
		struck = vm.name
		world.playVMProxy(ctx, event, vm)
	case KindStoreBusy, KindStoreSilent, KindStoreReset, KindStoreLost, KindStoreTrim, KindStoreStale:
		world.playStore(ctx, event)
	case KindConfigure, KindRevoke, KindEvacuate:
		world.playOperator(ctx, event)
	case KindStoreOlder:
		world.playOlder(ctx, event)
	case KindServerKill, KindServerLeave, KindServerSays, KindBadEntry:
		world.playServer(ctx, event, backend)
	case KindRequestCrash:
		world.askHarmful(ctx, event)
	default:
		world.playBackend(ctx, event, backend)
	}
	world.log.add(span{from: from, to: time.Now().Add(after), kind: event.Kind, vm: struck})
}

// playOperator plays what the operator does.
func (world *world) playOperator(ctx context.Context, event Event) {
	switch event.Kind {
	case KindRevoke:
		world.operator.revoke()
	case KindEvacuate:
		world.operator.evacuate(secondCentre, true)
		wait.For(ctx, event.For)
		world.operator.evacuate(secondCentre, false)
	default:
		world.operator.addRoute()
	}
}

func (world *world) playVMProxy(ctx context.Context, event Event, vm *vm) {
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

func (world *world) playStore(ctx context.Context, event Event) {
	if event.Kind == KindStoreStale {
		for _, vm := range world.vms {
			vm.store.silence()
		}
		wait.For(ctx, event.For) // for which what they held up may show
		return
	}
	if event.Kind == KindStoreTrim {
		world.store.Trim("keyed.op")
		world.store.Trim("keyed.servers")
		return
	}
	world.store.SetFault(map[Kind]metastore.Fault{
		KindStoreBusy: metastore.FaultBusy, KindStoreSilent: metastore.FaultNoResponse,
		KindStoreReset: metastore.FaultReset, KindStoreLost: metastore.FaultLostResponse,
	}[event.Kind])
	wait.For(ctx, event.For)
	world.store.SetFault(metastore.FaultNone)
}

// playServer replaces a server, or has its entry spoilt.
func (world *world) playServer(ctx context.Context, event Event, backend *backend) {
	if !backend.replacing.TryLock() {
		return // it is being replaced already
	}
	defer backend.replacing.Unlock()
	if event.Kind == KindBadEntry {
		world.spoil(ctx, event, backend)
		return
	}
	world.replace(ctx, event, backend)
}

// replace ends a server, at once or as planned, and puts a new one at its address.
func (world *world) replace(ctx context.Context, event Event, backend *backend) {
	identity := backend.identity()
	if event.Kind == KindServerSays {
		world.sayLeaving(ctx, event, backend)
	}
	if event.Kind != KindServerKill {
		world.operator.list(identity, true)
		wait.For(ctx, boundDrain+serveOn)
	}
	backend.stop()
	wait.For(ctx, entryTime)
	world.operator.drop(identity)
	// Until the run ends the address is reused, as a server's may be.
	if err := world.startBackend(ctx, backend, backend.newName()); err != nil {
		world.record.AddViolation(err.Error())
	}
}

// sayLeaving lets a server say that it leaves in its answers alone, while the store takes nothing.
func (world *world) sayLeaving(ctx context.Context, event Event, backend *backend) {
	from := time.Now()
	backend.sayLeaving()
	world.store.SetFault(metastore.FaultBusy)
	wait.For(ctx, event.For)
	world.store.SetFault(metastore.FaultNone)
	world.log.add(span{from: from, to: time.Now(), kind: KindStoreBusy})
}

// spoil lets another writer replace the entry of a server, until the server writes it again.
func (world *world) spoil(ctx context.Context, event Event, backend *backend) {
	identity := backend.identity()
	world.operator.spoil(identity, event.Target)
	wait.For(ctx, event.For)
	world.operator.list(identity, false)
}

// olderAway is how long the store is away before it comes back from a copy, and olderAgain after how long the others
// have written again.
const (
	olderAway  = 300 * time.Millisecond
	olderAgain = 1200 * time.Millisecond
)

// playOlder lets the store come back from a copy as old as the fault is long.
func (world *world) playOlder(ctx context.Context, event Event) {
	older := world.store.Snapshot()
	wait.For(ctx, event.For)
	world.store.SetFault(metastore.FaultBusy)
	wait.For(ctx, olderAway)
	world.store.Restore(older)
	world.store.SetFault(metastore.FaultNone)
	wait.For(ctx, olderAgain)
	world.operator.rewrite()
}

// Limits that a server names: from limitLeast on in limitSteps steps, in requests a second.
const (
	limitLeast = 0.3
	limitStep  = 0.9
	limitSteps = 6
)

// nameLimits lets a server name one limit for half of a fault and another one for the rest.
func (backend *backend) nameLimits(ctx context.Context, event Event) {
	for half := range 2 {
		limit := limitLeast + limitStep*float64((event.Target>>(4*half))%limitSteps)
		backend.setFaults(platformserver.Faults{RateLimited: true, RateLimit: limit})
		wait.For(ctx, event.For/2)
	}
	backend.setFaults(platformserver.Faults{})
}

// restAsked is the rest that a server asks for.
const restAsked = 4 * time.Second

// faultPart is the part of its requests that a faulty server spoils.
const faultPart = 0.3

// playBackend makes a server, or the way to it, misbehave.
func (world *world) playBackend(ctx context.Context, event Event, backend *backend) {
	modes := map[Kind]mode{KindLinkReset: modeReset, KindLinkSilent: modeSilent, KindLinkOneWay: modeOneWay}
	if event.Kind == KindLinkStale {
		backend.link.silence()
		wait.For(ctx, event.For) // for which what they held up may show
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
