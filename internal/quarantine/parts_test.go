package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// Parts of prompts: the cause of crashes, the first one of all prompts, and one of few prompts.
const (
	harmfulPart = fingerprint.Fingerprint(101)
	firstPart   = fingerprint.Fingerprint(102)
	rarePart    = fingerprint.Fingerprint(103)
)

// losePrompts records the losses of so many servers, one after the other, each under another request with
// the given parts.
func (fixture *fixture) losePrompts(count int, parts ...fingerprint.Fingerprint) {
	for range count {
		fixture.next++
		fixture.losePrompt(fingerprint.Fingerprint(10_000+fixture.next), parts...)
		time.Sleep(step)
	}
}

// loseManyPrompts records the losses of eight servers at one moment, each under another request with the
// given parts.
func (fixture *fixture) loseManyPrompts(parts ...fingerprint.Fingerprint) {
	for range 8 {
		fixture.next++
		fixture.losePrompt(fingerprint.Fingerprint(10_000+fixture.next), parts...)
	}
	time.Sleep(step)
}

// loseRetried records the losses of so many servers under one request with the given parts.
func (fixture *fixture) loseRetried(count int, parts ...fingerprint.Fingerprint) {
	for range count {
		fixture.next++
		fixture.losePrompt(cause, parts...)
		time.Sleep(step)
	}
}

// losePrompt records the loss of the current server under a request with the given parts.
func (fixture *fixture) losePrompt(request fingerprint.Fingerprint, parts ...fingerprint.Fingerprint) {
	fixture.RecordLoss(quarantine.Loss{Fingerprint: request, Server: fmt.Sprintf("s%d", fixture.next), Parts: parts})
	fixture.RecordEnd(fmt.Sprintf("s%d", fixture.next))
}

// quarantined returns those fingerprints that are in quarantine.
func (fixture *fixture) quarantined(fingerprints ...fingerprint.Fingerprint) []fingerprint.Fingerprint {
	var quarantined []fingerprint.Fingerprint
	for _, known := range fingerprints {
		if fixture.Remaining(known) > 0 {
			quarantined = append(quarantined, known)
		}
	}
	return quarantined
}

// TestPartUnderWhichServersCrashIsQuarantined guards against missing a part that crashes servers, and
// against quarantining parts that are harmless.
func TestPartUnderWhichServersCrashIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		want   []fingerprint.Fingerprint
	}{
		"two losses":   {action: func(fixture *fixture) { fixture.losePrompts(2, harmfulPart) }},
		"three losses": {want: []fingerprint.Fingerprint{harmfulPart}, action: func(fixture *fixture) { fixture.losePrompts(3, harmfulPart) }},
		"one request with the part is retried": {want: []fingerprint.Fingerprint{cause}, action: func(fixture *fixture) {
			fixture.loseRetried(3, rarePart)
		}},
		"each request with the part is retried": {want: []fingerprint.Fingerprint{cause, harmfulPart}, action: func(fixture *fixture) {
			fixture.loseRetried(3, harmfulPart)
			fixture.losePrompts(1, harmfulPart)
		}},
		"a first part with which responses began before": {want: []fingerprint.Fingerprint{harmfulPart}, action: func(fixture *fixture) {
			fixture.RecordBegun([]fingerprint.Fingerprint{firstPart})
			fixture.losePrompts(7, firstPart, harmfulPart)
		}},
		"a first part with which responses began at another VM before": {want: []fingerprint.Fingerprint{harmfulPart}, action: func(fixture *fixture) {
			fixture.losePrompts(1, firstPart, harmfulPart)
			fixture.RecordRemoteBegun(firstPart, time.Minute)
			fixture.losePrompts(6, firstPart, harmfulPart)
		}},
		"responses begin between the losses": {action: func(fixture *fixture) {
			for range 20 {
				fixture.losePrompts(2, firstPart)
				fixture.RecordBegun([]fingerprint.Fingerprint{firstPart})
			}
		}},
		"responses of another VM begin between the losses": {action: func(fixture *fixture) {
			for range 20 {
				fixture.losePrompts(2, firstPart)
				fixture.RecordRemoteBegun(firstPart, 10*time.Millisecond)
			}
		}},
		"a response began before four losses": {action: func(fixture *fixture) {
			fixture.RecordBegun([]fingerprint.Fingerprint{rarePart})
			time.Sleep(step)
			fixture.losePrompts(4, rarePart)
		}},
		"a response began before five losses": {want: []fingerprint.Fingerprint{rarePart}, action: func(fixture *fixture) {
			fixture.RecordBegun([]fingerprint.Fingerprint{rarePart})
			time.Sleep(step)
			fixture.losePrompts(5, rarePart)
		}},
		"servers with responses that had events": {action: func(fixture *fixture) {
			for range 5 {
				fixture.next++
				fixture.RecordLoss(quarantine.Loss{
					Fingerprint: fingerprint.Fingerprint(10_000 + fixture.next), Server: fmt.Sprintf("s%d", fixture.next), HadEvent: true,
					Parts: []fingerprint.Fingerprint{firstPart},
				})
				fixture.RecordEnd(fmt.Sprintf("s%d", fixture.next))
				time.Sleep(step)
			}
		}},
		"waves": {action: func(fixture *fixture) {
			for range 4 {
				fixture.next++
				fixture.losePrompt(fingerprint.Fingerprint(10_000+fixture.next), rarePart)
				fixture.next++
				fixture.losePrompt(bystander + fingerprint.Fingerprint(fixture.next))
				time.Sleep(step)
			}
		}},
		"two parts that are always together, four losses": {action: func(fixture *fixture) { fixture.losePrompts(4, rarePart, harmfulPart) }},
		"two parts that are always together, five losses": {
			want: []fingerprint.Fingerprint{harmfulPart, rarePart}, action: func(fixture *fixture) { fixture.losePrompts(5, rarePart, harmfulPart) },
		},
		"many servers at one moment": {action: func(fixture *fixture) {
			fixture.loseManyPrompts(harmfulPart)
		}},
		"many servers at one moment and two later": {want: []fingerprint.Fingerprint{harmfulPart}, action: func(fixture *fixture) {
			fixture.loseManyPrompts(harmfulPart)
			fixture.losePrompts(2, harmfulPart)
		}},
		"a VM loses its connections while servers crash": {want: []fingerprint.Fingerprint{harmfulPart}, action: func(fixture *fixture) {
			fixture.RecordBegun([]fingerprint.Fingerprint{firstPart})
			for range 3 {
				time.Sleep(step)
				fixture.loseManyPrompts(firstPart)
				fixture.losePrompts(1, firstPart, harmfulPart)
			}
		}},
		"a part that was cleared is beside the cause": {want: []fingerprint.Fingerprint{harmfulPart}, action: func(fixture *fixture) {
			fixture.ApplyEntries([]quarantine.Entry{{Fingerprint: firstPart, Until: time.Now().Add(fixture.settings.Time), Times: 1}})
			time.Sleep(step)
			fixture.RecordBegun([]fingerprint.Fingerprint{firstPart})
			fixture.losePrompts(4, firstPart, harmfulPart)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
				test.action(fixture)
				assert.DeepEqual(t, fixture.quarantined(cause, harmfulPart, firstPart, rarePart), test.want)
				assert.Equal(t, len(fixture.Entries()), len(test.want), "requests: %v", fixture.Entries())
			})
		})
	}
}

// TestBegunResponseLiftsQuarantineOfPart guards against a wrong quarantine of a part that stays in force
// after a response began with it, and against one that an older response ends.
func TestBegunResponseLiftsQuarantineOfPart(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.losePrompts(3, harmfulPart)
		assert.Assert(t, fixture.Remaining(cause, harmfulPart) > 0)
		fixture.RecordRemoteBegun(harmfulPart, time.Minute)
		assert.Assert(t, fixture.Remaining(harmfulPart) > 0, "the response began before the losses")
		fixture.RecordRemoteBegun(harmfulPart, time.Millisecond)
		assert.Equal(t, fixture.Remaining(harmfulPart), time.Duration(0))
		assert.Assert(t, !fixture.OnProbation(harmfulPart))
		fixture.losePrompts(1, harmfulPart)
		assert.Equal(t, fixture.Remaining(harmfulPart), time.Duration(0), "one loss is not enough after a response")
		fixture.losePrompts(4, harmfulPart)
		assert.Assert(t, fixture.Remaining(harmfulPart) > 0)
	})
}

// TestSuspectIsContained guards against many requests in flight with a part under which servers crash
// before it is certain, and against holding back parts with which responses begin.
func TestSuspectIsContained(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.losePrompts(1, firstPart, harmfulPart)
		assert.Equal(t, len(fixture.Contained(firstPart, harmfulPart)), 0, "one lost server is too common")
		fixture.losePrompts(1, firstPart, harmfulPart)
		assert.DeepEqual(t, fixture.Contained(cause, firstPart, harmfulPart), []fingerprint.Fingerprint{firstPart, harmfulPart})
		fixture.RecordBegun([]fingerprint.Fingerprint{firstPart})
		contained := fixture.Contained(firstPart, harmfulPart)
		assert.DeepEqual(t, contained, []fingerprint.Fingerprint{harmfulPart})
		assert.Assert(t, fixture.Start(contained))
		assert.Assert(t, !fixture.Start(contained), "one is in flight")
		fixture.Finish(contained)
		assert.Assert(t, fixture.Start(contained))
		time.Sleep(2 * fixture.settings.ListTTL)
		assert.DeepEqual(t, fixture.Contained(harmfulPart), contained) // the list is refreshed
		fixture.losePrompts(1, harmfulPart)
		assert.Assert(t, fixture.Remaining(harmfulPart) > 0)
		assert.Equal(t, len(fixture.Contained(harmfulPart)), 0, "it is quarantined instead")
		time.Sleep(fixture.settings.Time)
		assert.DeepEqual(t, fixture.Contained(harmfulPart), contained) // on probation
	})
}

// TestRequestsDisplaceNoPartsFromTheList guards against a list so full of requests that were lost twice that
// parts are missing from it, and against requests that stay on it long after their callers gave up.
func TestRequestsDisplaceNoPartsFromTheList(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.losePrompts(2, harmfulPart)
		for request := range 2 * fixture.settings.MaxListed {
			for range 2 {
				fixture.next++
				fixture.losePrompt(fingerprint.Fingerprint(20_000 + request))
				time.Sleep(2 * fixture.settings.Moment)
			}
		}
		time.Sleep(step)
		listed := fixture.Suspects()
		assert.Equal(t, len(listed), fixture.settings.MaxListed)
		assert.DeepEqual(t, listed[0], quarantine.Suspect{Fingerprint: harmfulPart, Contained: true})
		time.Sleep(fixture.settings.ContainmentTime)
		assert.Equal(t, len(fixture.Suspects()), 0)
	})
}

// TestListOfSuspectsExpires guards against containing what no coordinator lists any more, and against
// a list that lacks a suspect of another coordinator's.
func TestListOfSuspectsExpires(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.publisher.evaluates = false
		listed := []quarantine.Suspect{{Fingerprint: harmfulPart, Contained: true}, {Fingerprint: rarePart}}
		fixture.ApplySuspects("vm-2", listed)
		fixture.ApplySuspects("vm-3", listed)
		fixture.ApplySuspects("vm-3", nil)
		assert.Equal(t, len(fixture.Contained(harmfulPart, rarePart)), 1)
		time.Sleep(fixture.settings.ListTTL)
		assert.Equal(t, len(fixture.Contained(harmfulPart, rarePart)), 0)
	})
}

// TestBegunResponsesAreReported guards against coordinators that never learn that responses begin with a
// part, and against reports of each response or of parts that nobody asks for.
func TestBegunResponsesAreReported(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.publisher.evaluates = false
		fixture.RecordBegun([]fingerprint.Fingerprint{firstPart, rarePart})
		assert.Equal(t, len(fixture.publisher.begun), 0)
		time.Sleep(time.Second)
		fixture.ApplySuspects("vm-2", []quarantine.Suspect{{Fingerprint: firstPart}})
		assert.DeepEqual(t, fixture.publisher.begun, []quarantine.Begun{{Part: firstPart, At: time.Now().Add(-time.Second)}})
		for range 100 {
			fixture.RecordBegun([]fingerprint.Fingerprint{firstPart, rarePart})
			time.Sleep(10 * time.Millisecond)
		}
		count := len(fixture.publisher.begun)
		assert.Assert(t, count >= 4 && count <= 6, "%d reports in a second", count)
		assert.Equal(t, len(fixture.RecentBegun()), 1)
		time.Sleep(fixture.settings.RepublishTime)
		assert.Equal(t, len(fixture.RecentBegun()), 0)
	})
}

// BenchmarkRecordBegun measures the responses of one VM, with five parts each and bounded memory, while
// other parts are listed.
func BenchmarkRecordBegun(b *testing.B) {
	tracker := newBenchmarkTracker()
	tracker.ApplySuspects("vm-2", []quarantine.Suspect{{Fingerprint: harmfulPart, Contained: true}})
	number := fingerprint.Fingerprint(1000)
	for b.Loop() {
		number += 3
		tracker.RecordBegun([]fingerprint.Fingerprint{firstPart, rarePart, number, number + 1, number + 2})
	}
}
