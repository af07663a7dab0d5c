package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of faults and of planned work.
const (
	KindVMKill       Kind = "vm_kill"       // SIGKILL, and a new start
	KindVMPause      Kind = "vm_pause"      // SIGSTOP, and SIGCONT
	KindVMStop       Kind = "vm_stop"       // SIGTERM, and a new start
	KindVMReload     Kind = "vm_reload"     // a changed settings file and SIGHUP
	KindAllKill      Kind = "all_kill"      // SIGKILL to all VMs at once
	KindFrontReset   Kind = "front_reset"   // callers' connections to a VM are reset
	KindFrontDelay   Kind = "front_delay"   // and delayed
	KindStoreCut     Kind = "store_cut"     // a VM hears nothing from the store
	KindStoreBusy    Kind = "store_busy"    // the store answers 503
	KindStoreSilent  Kind = "store_silent"  // or nothing
	KindStoreReset   Kind = "store_reset"   // or resets
	KindStoreLost    Kind = "store_lost"    // or does what it is asked, and resets
	KindStoreTrim    Kind = "store_trim"    // it forgets its history
	KindStoreStale   Kind = "store_stale"   // open connections to it go silent for good
	KindLinkStale    Kind = "link_stale"    // the same of those to a server
	KindLinkReset    Kind = "link_reset"    // connections to a server are reset
	KindLinkSilent   Kind = "link_silent"   // and say nothing either way
	KindLinkOneWay   Kind = "link_one_way"  // and lose the answers
	KindServerErrors Kind = "server_errors" // answers 500
	KindServerRefuse Kind = "server_refuse" // refuses
	KindServerLost   Kind = "server_lost"   // runs requests and loses the answers
	KindServerCut    Kind = "server_cut"    // breaks answers off
	KindServerExtra  Kind = "server_extra"  // sends a second answer
	KindServerHang   Kind = "server_hang"   // says nothing
	KindServerSlow   Kind = "server_slow"   // takes four times as long
	KindServerKill   Kind = "server_kill"   // dies; a new one comes at its address
	KindServerLeave  Kind = "server_leave"  // says that it leaves, and does; a new one comes
	KindConfigure    Kind = "configure"     // a new version of the configuration
	KindRevoke       Kind = "revoke"        // a key is taken away
	KindRequestCrash Kind = "request_crash" // callers ask for what crashes each server that runs it
	KindServerRest   Kind = "server_rest"   // refuses, and asks for rest each time
	KindServerSays   Kind = "server_says"   // says in its answers that it leaves, the store being away
	KindStoreOlder   Kind = "store_older"   // it comes back from a copy; the others write again
	KindBadEntry     Kind = "bad_entry"     // another writer spoils the entry of a server
	KindEvacuate     Kind = "evacuate"      // the operator keeps requests from the servers of a data centre
	KindServerLimit  Kind = "server_limit"  // names how many requests a second it takes from all VMs, and another number later
)

// Kinds returns all kinds in order, but for those that have runs of their own (see extra): a drawn plan stays what it
// was for the seeds that failed once.
func Kinds() []Kind {
	return []Kind{
		KindVMKill, KindVMPause, KindVMStop, KindVMReload, KindAllKill, KindFrontReset, KindFrontDelay,
		KindStoreCut, KindStoreBusy, KindStoreSilent, KindStoreReset, KindStoreLost, KindStoreTrim, KindStoreStale,
		KindLinkReset, KindLinkSilent, KindLinkOneWay, KindLinkStale,
		KindServerErrors, KindServerRefuse, KindServerLost, KindServerCut, KindServerExtra, KindServerHang,
		KindServerSlow, KindServerKill, KindServerLeave, KindConfigure, KindRevoke,
	}
}

// planned reports whether a kind is planned work, which may cost no request.
func (kind Kind) planned() bool {
	return slices.Contains([]Kind{KindVMStop, KindVMReload, KindServerLeave, KindServerSays, KindBadEntry, KindConfigure, KindRevoke, KindEvacuate}, kind)
}

// ofStore reports whether a kind strikes the store, or the way to it.
func (kind Kind) ofStore() bool {
	return strings.HasPrefix(string(kind), "store_")
}

// disturbs reports whether a kind strikes a VM or the store, so that bounds of time
// do not count.
func (kind Kind) disturbs() bool {
	if kind.ofStore() || kind == KindAllKill {
		return true
	}
	return strings.HasPrefix(string(kind), "vm_") || strings.HasPrefix(string(kind), "front_")
}

// Event is one fault of a plan.
type Event struct {
	// At is when it begins, from the start of the load, and For how long it lasts.
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target picks the VM or server, modulo how many there are.
	Target int
}

// String implements fmt.Stringer.
func (event Event) String() string {
	return fmt.Sprintf("%s at %s for %s on %d", event.Kind, event.At, event.For, event.Target)
}

// Times of a plan.
const (
	// quietStart is the time without faults at the start: that after which a VM is
	// held to its bounds.
	quietStart = 1500 * time.Millisecond
	// quietEnd is the time at the end in which no fault begins: the longest one, the
	// time for which a server that failed is left out, and two calm seconds.
	quietEnd = 9 * time.Second
	// longestFault bounds how long a fault lasts, but for those of the store, which
	// last longer than a key may be served unproved.
	longestFault      = 3 * time.Second
	longestStoreFault = 6500 * time.Millisecond
	shortestFault     = 200 * time.Millisecond
	// limitTime is how long a server names limits: some windows in which they count.
	limitTime = 9 * time.Second
	// oftenPerSecond is how many faults begin in a second, about, and
	// seldomPerSecond in every third run, in which a server leaves, and VMs and the
	// store are well: bounds that count only then are checked there.
	oftenPerSecond  = 1.3
	seldomPerSecond = 0.35
	// extraSeeds is of how many runs one has each of the extra kinds, and extraFrom the first seed that has others than
	// KindRequestCrash.
	extraSeeds = 5
	extraFrom  = 100
	// limitFrom is the first seed in whose runs servers name limits.
	limitFrom = 200
	// evacuateFrom is the first seed in whose runs data centres are evacuated, and evacuateSeeds of how many one has that.
	evacuateFrom  = 300
	evacuateSeeds = 10
	// extraEvents is how often each of them but KindRequestCrash comes in its runs.
	extraEvents = 3
	// followPart is the part of the faults of the store that last as long as they may
	// and during which a key is taken away: who cannot know must not serve it.
	followPart  = 0.5
	followAfter = 300 * time.Millisecond
)

// NewPlan returns the faults of a run of that length. The same seed gives the same
// plan.
func NewPlan(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // no secret
	space := length - quietStart - quietEnd
	if space <= 0 {
		return nil
	}
	draw := func(kind Kind, longest time.Duration) Event {
		return Event{
			At:     (quietStart + time.Duration(random.Int64N(int64(space)))).Round(time.Millisecond),
			For:    (shortestFault + time.Duration(random.Int64N(int64(longest-shortestFault)))).Round(time.Millisecond),
			Kind:   kind,
			Target: random.IntN(1 << 16),
		}
	}
	perSecond := oftenPerSecond
	kinds := Kinds()
	var events []Event
	if seed%3 == 0 {
		perSecond = seldomPerSecond
		kinds = slices.DeleteFunc(kinds, Kind.disturbs)
		events = append(events, draw(KindServerLeave, longestFault))
	}
	for range 1 + int(space.Seconds()*perSecond) {
		kind := kinds[random.IntN(len(kinds))]
		if !kind.ofStore() {
			events = append(events, draw(kind, longestFault))
			continue
		}
		event := draw(kind, longestStoreFault)
		if random.Float64() < followPart {
			event.For = longestStoreFault
			events = append(events, Event{At: event.At + followAfter, Kind: KindRevoke})
		}
		events = append(events, event)
	}
	random = rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // no secret
	switch kind := extra(seed); kind {
	case "":
	case KindRequestCrash:
		crash := draw(kind, longestFault)
		crash.For = longestFault
		events = append(events, crash)
	default:
		for range extraEvents {
			event := draw(kind, longestFault)
			event.For = extraTime(kind, event.For)
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// extraTime is how long a fault of an extra kind lasts that was drawn to last so long.
func extraTime(kind Kind, drawn time.Duration) time.Duration {
	switch kind {
	case KindStoreOlder:
		return drawn
	case KindServerLimit:
		return limitTime
	default:
		return longestStoreFault // what comes long after it began is what shows
	}
}

// extra returns the kind that the run of a seed has beside those that are drawn, or nothing.
func extra(seed uint64) Kind {
	number := seed % extraSeeds
	switch {
	case number == 1:
		return KindRequestCrash
	case seed < extraFrom:
		return ""
	case seed >= evacuateFrom && seed%evacuateSeeds == 2:
		return KindEvacuate
	case seed >= limitFrom && number == 0:
		return KindServerLimit
	default:
		return []Kind{KindBadEntry, KindRequestCrash, KindServerRest, KindServerSays, KindStoreOlder}[number]
	}
}
