package quarantine

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Suspect is a request or a part of prompts under which servers were lost, as coordinators list it to
// all VMs. It is immutable.
type Suspect struct {
	Fingerprint fingerprint.Fingerprint
	// Contained is set if only one request with it may be in flight at a time.
	Contained bool
}

// suspectList is the list of suspects of one coordinator.
type suspectList struct {
	// contained tells of each listed suspect whether it is contained.
	contained  map[fingerprint.Fingerprint]bool
	receivedAt time.Time
}

// ownList is the name under which a coordinator keeps the list that it makes.
const ownList = ""

// ApplySuspects replaces the list of suspects that a coordinator sent before, and reports begun
// responses with the parts that are on it.
func (tracker *Tracker) ApplySuspects(vm string, suspects []Suspect) {
	tracker.mu.Lock()
	tracker.applySuspects(vm, suspects)
	begun := tracker.takeBegun()
	tracker.mu.Unlock()
	tracker.reportBegun(begun)
}

func (tracker *Tracker) applySuspects(vm string, suspects []Suspect) {
	now := tracker.now()
	for listedBy, list := range tracker.lists {
		if now.Sub(list.receivedAt) >= tracker.settings.ListTTL {
			delete(tracker.lists, listedBy)
		}
	}
	delete(tracker.lists, vm)
	if len(suspects) == 0 {
		return
	}
	list := suspectList{contained: make(map[fingerprint.Fingerprint]bool, len(suspects)), receivedAt: now}
	for _, suspect := range suspects {
		list.contained[suspect.Fingerprint] = suspect.Contained
	}
	tracker.lists[vm] = list
	for _, suspect := range suspects {
		tracker.queueBegun(suspect.Fingerprint)
	}
}

// Suspects returns the suspects that this VM lists to others as coordinator.
func (tracker *Tracker) Suspects() []Suspect {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.listed
}

// refreshSuspects finds the suspects to list if this VM is a coordinator, and announces the list if it
// has changed.
func (tracker *Tracker) refreshSuspects() {
	evaluates := tracker.publisher.Evaluates()
	tracker.mu.Lock()
	before := tracker.listed
	tracker.listed = nil
	if evaluates {
		tracker.listed = tracker.findSuspects(tracker.now())
	}
	listed := tracker.listed
	tracker.applySuspects(ownList, listed)
	begun := tracker.takeBegun()
	tracker.mu.Unlock()
	tracker.reportBegun(begun)
	if !slices.Equal(before, listed) {
		tracker.logContained(before, listed)
		tracker.publisher.AnnounceSuspects(listed)
	}
}

// findSuspects returns the suspects to list at a time: contained parts, those that other VMs are asked
// about, and contained requests, of each the ones with the latest losses first. Requests come last, since
// each is retried by few callers.
func (tracker *Tracker) findSuspects(now time.Time) []Suspect {
	evidence := evidence{crashes: tracker.crashes, now: now, settings: tracker.settings}
	var parts, asked, requests []Suspect
	for _, suspect := range slices.Backward(tracker.suspects.Values()) {
		listed := Suspect{Fingerprint: suspect.fingerprint}
		switch {
		case len(suspect.crashes) == 0:
		case evidence.isContained(suspect):
			listed.Contained = true
			if suspect.isPart {
				parts = append(parts, listed)
			} else {
				requests = append(requests, listed)
			}
		case evidence.isAsked(suspect):
			asked = append(asked, listed)
		}
	}
	listed := slices.Concat(parts, asked, requests)
	return listed[:min(len(listed), tracker.settings.MaxListed)]
}

// logContained logs which suspects are contained now and were not before.
func (tracker *Tracker) logContained(before, listed []Suspect) {
	for _, suspect := range listed {
		if suspect.Contained && !slices.Contains(before, suspect) {
			tracker.logger.Info("suspect contained", "fingerprint", suspect.Fingerprint)
		}
	}
}

// Contained returns those of a request's fingerprints of which only one request may be in flight at a
// time.
func (tracker *Tracker) Contained(fingerprints ...fingerprint.Fingerprint) []fingerprint.Fingerprint {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fingerprints), func(known fingerprint.Fingerprint) bool { return !tracker.isContained(known) })
}

// isContained reports whether a coordinator lists a request or part as contained, and this VM knows of
// no response that began since, or whether it is on probation.
func (tracker *Tracker) isContained(known fingerprint.Fingerprint) bool {
	now := tracker.now()
	begunAt, _ := tracker.begun.Peek(known)
	for _, list := range tracker.lists {
		if list.contained[known] && now.Sub(list.receivedAt) < tracker.settings.ListTTL && !begunAt.After(list.receivedAt) {
			return true
		}
	}
	return tracker.onProbation(known)
}

// Start counts a request as in flight with contained suspects. It reports false, and counts nothing, if
// another request of this VM is in flight with one of them.
func (tracker *Tracker) Start(contained []fingerprint.Fingerprint) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if slices.ContainsFunc(contained, func(known fingerprint.Fingerprint) bool { return tracker.inFlight[known] > 0 }) {
		return false
	}
	for _, known := range contained {
		tracker.inFlight[known]++
	}
	return true
}

// Finish ends what Start began.
func (tracker *Tracker) Finish(contained []fingerprint.Fingerprint) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, known := range contained {
		delete(tracker.inFlight, known)
	}
}
