package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a fault or of planned work.
type Kind string

// Kinds of faults and of planned work.
const (
	KindVMKill       Kind = "vm_kill"        // SIGKILL, then a restart
	KindVMPause      Kind = "vm_pause"       // SIGSTOP, then SIGCONT
	KindVMStop       Kind = "vm_stop"        // SIGTERM, then a restart
	KindVMReload     Kind = "vm_reload"      // changed settings file and SIGHUP
	KindAllKill      Kind = "all_kill"       // SIGKILL to all VMs at once
	KindFrontReset   Kind = "front_reset"    // callers' connections to a VM are reset
	KindFrontDelay   Kind = "front_delay"    // callers' connections to a VM are delayed
	KindStoreCut     Kind = "store_cut"      // connections of a VM to the store carry no data
	KindStoreBusy    Kind = "store_busy"     // the store responds with status 503
	KindStoreSilent  Kind = "store_silent"   // the store does not respond
	KindStoreReset   Kind = "store_reset"    // the store resets connections
	KindStoreLost    Kind = "store_lost"     // the store executes requests, then resets the connections
	KindStoreTrim    Kind = "store_trim"     // the store trims its change history
	KindStoreStale   Kind = "store_stale"    // open connections to the store never carry data again; new ones work
	KindLinkStale    Kind = "link_stale"     // open connections to a server never carry data again; new ones work
	KindLinkReset    Kind = "link_reset"     // connections to a server are reset
	KindLinkSilent   Kind = "link_silent"    // connections to a server carry no data in either direction
	KindLinkOneWay   Kind = "link_one_way"   // connections to a server carry requests but no responses
	KindServerErrors Kind = "server_errors"  // responds with status 500
	KindServerRefuse Kind = "server_refuse"  // refuses requests
	KindServerLost   Kind = "server_lost"    // runs requests and loses the responses
	KindServerCut    Kind = "server_cut"     // truncates responses
	KindServerExtra  Kind = "server_extra"   // sends a second response
	KindServerHang   Kind = "server_hang"    // does not respond
	KindServerSlow   Kind = "server_slow"    // takes four times as long
	KindServerKill   Kind = "server_kill"    // ends abruptly; a new server starts at its address
	KindServerLeave  Kind = "server_leave"   // drains through its entry in the store and ends; a new server starts
	KindConfigure    Kind = "configure"      // new version of the configuration
	KindRevoke       Kind = "revoke"         // an API key is revoked
	KindRequestCrash Kind = "request_crash"  // callers send a request that crashes each server that runs it
	KindPartCrash    Kind = "part_crash"     // callers send different prompts with a part that crashes each server that runs them
	KindVMCutReset   Kind = "vm_cut_reset"   // connections of a VM to all servers are accepted and reset
	KindVMCutSilent  Kind = "vm_cut_silent"  // connections of a VM to all servers are accepted and carry no data
	KindVMCutAnswers Kind = "vm_cut_answers" // connections of a VM to all servers are reset, answers state no length, and the other VMs are killed in turn
	KindVMUpdate     Kind = "vm_update"      // the first VM is cut off, answers state no length, and VMs of an older build are restarted with the newer one in turn
	KindLateCopies   Kind = "late_copies"    // servers refuse requests with several statuses and send each refusal once more, late
	KindLostAnswers  Kind = "lost_answers"   // callers poll, servers lose answers, send bytes that are none and forget connections, and then all VMs are killed
	KindServerRest   Kind = "server_rest"    // refuses requests and requests backoff each time
	KindServerSays   Kind = "server_says"    // drains and advertises it in responses only, as the store is unavailable
	KindStoreOlder   Kind = "store_older"    // store rollback: restored from an older copy; writers write their records again
	KindBadEntry     Kind = "bad_entry"      // another writer replaces the entry of a server by a malformed one
	KindEvacuate     Kind = "evacuate"       // the operator evacuates a data centre: its servers must get no requests
	KindCrowd        Kind = "crowd"          // another organisation sends many more requests than the engines serve
	KindServerLimit  Kind = "server_limit"   // advertises a rate limit for all VMs together, then another one
)

// Kinds returns the kinds that random plans draw from, in order. Kinds that were added later are in extraKind instead, so
// that the plans of seeds that failed once stay the same.
func Kinds() []Kind {
	return []Kind{
		KindVMKill, KindVMPause, KindVMStop, KindVMReload, KindAllKill, KindFrontReset, KindFrontDelay,
		KindStoreCut, KindStoreBusy, KindStoreSilent, KindStoreReset, KindStoreLost, KindStoreTrim, KindStoreStale,
		KindLinkReset, KindLinkSilent, KindLinkOneWay, KindLinkStale,
		KindServerErrors, KindServerRefuse, KindServerLost, KindServerCut, KindServerExtra, KindServerHang,
		KindServerSlow, KindServerKill, KindServerLeave, KindConfigure, KindRevoke,
	}
}

// planned reports whether a kind is planned work, during which no request may be lost.
func (kind Kind) planned() bool {
	return slices.Contains([]Kind{KindVMStop, KindVMReload, KindServerLeave, KindServerSays, KindBadEntry, KindConfigure, KindRevoke, KindEvacuate}, kind)
}

// suitsUpdate reports whether a kind may strike during an update of the VMs. Faults don't, since what an older build does with them
// is not under test, and nor do further stops, which could leave the VM that is cut off with VMs of the older build alone, and
// revoked keys, with which few requests would be left to judge by.
func (kind Kind) suitsUpdate() bool {
	return kind.planned() && kind != KindVMStop && kind != KindRevoke
}

// affectsStore reports whether a kind affects the store or the connections to it.
func (kind Kind) affectsStore() bool {
	return strings.HasPrefix(string(kind), "store_")
}

// suspendsBounds reports whether a kind affects a VM or the store, so that time bounds
// do not apply while it is active.
func (kind Kind) suspendsBounds() bool {
	if kind.affectsStore() || kind == KindAllKill {
		return true
	}
	return strings.HasPrefix(string(kind), "vm_") || strings.HasPrefix(string(kind), "front_")
}

// Event is one fault, or one piece of planned work, of a plan.
type Event struct {
	// At is when it begins, relative to the start of the load, and For how long it lasts.
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target selects the VM or server, modulo their count.
	Target int
}

// String implements fmt.Stringer.
func (event Event) String() string {
	return fmt.Sprintf("%s at %s for %s on %d", event.Kind, event.At, event.For, event.Target)
}

// Parameters of a plan.
const (
	// quietStart is the time without faults at the start, after which VMs must meet
	// their bounds.
	quietStart = 1500 * time.Millisecond
	// quietEnd is the time at the end in which no fault begins: the longest fault, the
	// ejection time of a failed server, and two seconds without faults.
	quietEnd = 9 * time.Second
	// longestFault bounds the duration of faults. For those of the store longestStoreFault does,
	// which is longer than a VM may accept a key without confirmation from the store.
	longestFault      = 3 * time.Second
	longestStoreFault = 6500 * time.Millisecond
	shortestFault     = 200 * time.Millisecond
	// rateLimitDuration is how long a server advertises rate limits: more than two rateLimitWindows.
	rateLimitDuration = 9 * time.Second
	// cutDuration is how long a VM is cut off from all servers: several times boundContact.
	cutDuration = 9 * time.Second
	// frequentFaultsPerSecond is the approximate rate at which faults begin, and
	// rareFaultsPerSecond that in runs of seeds divisible by three. In these a server drains and
	// neither VMs nor the store have faults, so that bounds which apply only then are checked.
	frequentFaultsPerSecond = 1.3
	rareFaultsPerSecond     = 0.35
	// extraSeedInterval is the distance between seeds with the same extra kind, and firstExtraSeed the first seed that
	// has one other than KindRequestCrash.
	extraSeedInterval = 5
	firstExtraSeed    = 100
	// firstRateLimitSeed is the first seed in whose runs servers advertise rate limits.
	firstRateLimitSeed = 200
	// firstEvacuationSeed is the first seed in whose runs data centres are evacuated, and evacuationSeedInterval the
	// distance between such seeds.
	firstEvacuationSeed    = 300
	evacuationSeedInterval = 10
	// firstCrowdSeed is the first seed in whose runs another organisation crowds, and crowdSeedInterval the distance
	// between such seeds.
	firstCrowdSeed    = 400
	crowdSeedInterval = 10
	// firstPartCrashSeed is the first seed in whose runs prompts share a part that crashes servers, and partCrashSeedInterval
	// the distance between such seeds.
	firstPartCrashSeed    = 500
	partCrashSeedInterval = 10
	// firstCutSeed is the first seed in whose runs VMs are cut off from all servers, and cutSeedInterval the distance between
	// such seeds.
	firstCutSeed    = 600
	cutSeedInterval = 10
	// firstCutAnswersSeed is the first seed in whose runs answers are cut on their way through VMs, or servers send refusals
	// again. cutAnswersSeedInterval is the distance between seeds with the same one of these.
	firstCutAnswersSeed    = 700
	cutAnswersSeedInterval = 20
	// firstUpdateSeed is the first seed in whose runs VMs of an older build are updated, and updateSeedInterval the distance between such
	// seeds.
	firstUpdateSeed    = 800
	updateSeedInterval = 20
	// firstLostAnswersSeed is the first seed in whose runs the answers of polls are lost, and lostAnswersSeedInterval the distance between
	// such seeds.
	firstLostAnswersSeed    = 6000
	lostAnswersSeedInterval = 5
	// extraEvents is the number of events of an extra kind in a run, except of the kinds that NewPlan names, of which there is one.
	extraEvents = 3
	// followUpFraction is the fraction of store faults that get the longest duration and
	// a key revocation followUpDelay after their start: a VM that cannot confirm the key
	// must not accept it.
	followUpFraction = 0.5
	followUpDelay    = 300 * time.Millisecond
)

// NewPlan returns the events of a run of that length, ordered by time, or nil when it is
// too short for any. The same seed and length give the same plan.
func NewPlan(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // not security-sensitive
	window := length - quietStart - quietEnd
	if window <= 0 {
		return nil
	}
	draw := func(kind Kind, longest time.Duration) Event {
		return Event{
			At:     (quietStart + time.Duration(random.Int64N(int64(window)))).Round(time.Millisecond),
			For:    (shortestFault + time.Duration(random.Int64N(int64(longest-shortestFault)))).Round(time.Millisecond),
			Kind:   kind,
			Target: random.IntN(1 << 16),
		}
	}
	perSecond := frequentFaultsPerSecond
	kinds := Kinds()
	var events []Event
	if seed%3 == 0 {
		perSecond = rareFaultsPerSecond
		kinds = slices.DeleteFunc(kinds, Kind.suspendsBounds)
		events = append(events, draw(KindServerLeave, longestFault))
	}
	if extraKind(seed) == KindVMUpdate {
		kinds = slices.DeleteFunc(kinds, func(kind Kind) bool { return !kind.suitsUpdate() })
	}
	for range 1 + int(window.Seconds()*perSecond) {
		kind := kinds[random.IntN(len(kinds))]
		if !kind.affectsStore() {
			events = append(events, draw(kind, longestFault))
			continue
		}
		event := draw(kind, longestStoreFault)
		if random.Float64() < followUpFraction {
			event.For = longestStoreFault
			events = append(events, Event{At: event.At + followUpDelay, Kind: KindRevoke})
		}
		events = append(events, event)
	}
	random = rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // not security-sensitive
	switch kind := extraKind(seed); kind {
	case "":
	case KindRequestCrash, KindPartCrash, KindCrowd:
		event := draw(kind, longestFault)
		event.For = longestFault
		events = append(events, event)
	case KindVMCutAnswers, KindLateCopies, KindLostAnswers:
		event := draw(kind, longestFault)
		event.For = cutDuration
		events = append(events, event)
	case KindVMUpdate:
		event := draw(kind, longestFault)
		event.For, event.Target = updateCutDuration, 0 // a VM of the newer build
		events = append(events, event)
	case KindVMCutReset:
		event := draw(kind, longestFault)
		event.For = cutDuration
		if event.Target%2 == 1 {
			event.Kind = KindVMCutSilent
		}
		events = append(events, event)
	default:
		for range extraEvents {
			event := draw(kind, longestFault)
			event.For = extraDuration(kind, event.For)
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// extraDuration returns the duration of a fault of an extra kind, given the randomly drawn one.
func extraDuration(kind Kind, drawn time.Duration) time.Duration {
	switch kind {
	case KindStoreOlder:
		return drawn
	case KindServerLimit:
		return rateLimitDuration
	default:
		return longestStoreFault // violations show only long after the start
	}
}

// extraKind returns the kind that the run of a seed has in addition to the drawn ones, or an empty string.
func extraKind(seed uint64) Kind {
	number := seed % extraSeedInterval
	if seed >= firstLostAnswersSeed && seed%lostAnswersSeedInterval == 3 {
		return KindLostAnswers
	}
	if seed >= firstUpdateSeed && seed%updateSeedInterval == 6 {
		return KindVMUpdate
	}
	if seed >= firstCutAnswersSeed {
		switch seed % cutAnswersSeedInterval {
		case 16:
			return KindVMCutAnswers
		case 18:
			return KindLateCopies
		}
	}
	return earlierExtraKind(seed, number)
}

// earlierExtraKind returns the extra kind of a seed among those that came before KindVMCutAnswers. number is the seed modulo
// extraSeedInterval.
func earlierExtraKind(seed, number uint64) Kind {
	switch {
	case seed >= firstCutSeed && seed%cutSeedInterval == 4:
		return KindVMCutReset
	case seed >= firstPartCrashSeed && seed%partCrashSeedInterval == 1:
		return KindPartCrash
	case number == 1:
		return KindRequestCrash
	case seed < firstExtraSeed:
		return ""
	case seed >= firstEvacuationSeed && seed%evacuationSeedInterval == 2:
		return KindEvacuate
	case seed >= firstCrowdSeed && seed%crowdSeedInterval == 3:
		return KindCrowd
	case seed >= firstRateLimitSeed && number == 0:
		return KindServerLimit
	default:
		return []Kind{KindBadEntry, KindRequestCrash, KindServerRest, KindServerSays, KindStoreOlder}[number]
	}
}
