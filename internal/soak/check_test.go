package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// runStart is when the constructed runs begin.
func runStart() time.Time {
	return time.Unix(1000, 0)
}

func at(duration time.Duration) time.Time {
	return runStart().Add(duration)
}

// served returns a successful outcome that violates nothing, and its run at the server.
func served(id, route string) (Outcome, platformserver.Run) {
	outcome := Outcome{
		ID: id, Route: route, VM: "vm-0", Key: permanentKey, Sent: at(time.Second), Ended: at(2 * time.Second),
		Status: http.StatusOK, Seal: "i-1", Complete: true, Body: "body", WantBody: "body",
	}
	run := platformserver.Run{
		ID: id, Instance: "i-1", Organisation: organisation, Target: target(outcome), At: at(1100 * time.Millisecond),
	}
	return outcome, run
}

// TestCheck breaks each invariant on purpose, beside cases that only come close. A check that reports nothing, or reports
// permitted behaviour, would make the soak worthless. Cases differ from a successful run by their change.
func TestCheck(t *testing.T) {
	type fixture struct {
		outcome      *Outcome
		observations *observations
	}
	tests := map[string]struct {
		route  string
		change func(test fixture)
		want   []Invariant
	}{
		"no violation": {route: routeStream, change: func(fixture) {}},
		"at-most-once request run twice": {route: routeUnsafe, change: func(test fixture) {
			test.observations.runs["r"] = append(test.observations.runs["r"], test.observations.runs["r"][0])
		}, want: []Invariant{InvariantAtMostOnce}},
		"repeatable request run twice": {route: routeSafe, change: func(test fixture) {
			test.observations.runs["r"] = append(test.observations.runs["r"], test.observations.runs["r"][0])
		}},
		"refused request run": {route: routeUnsafe, change: func(test fixture) {
			test.outcome.Status = http.StatusServiceUnavailable
		}, want: []Invariant{InvariantRefusedNotRun}},
		"missing event in a successful response": {route: routeStream, change: func(test fixture) {
			test.outcome.Body = "bod"
		}, want: []Invariant{InvariantCompleteResponse}},
		"bytes of another response": {route: routeStream, change: func(test fixture) {
			test.outcome.Body, test.outcome.Complete = "other", false
		}, want: []Invariant{InvariantCompleteResponse}},
		"missing server seal": {route: routeStream, change: func(test fixture) {
			test.outcome.Seal = ""
		}, want: []Invariant{InvariantCompleteResponse}},
		"truncated response that the caller detects": {route: routeStream, change: func(test fixture) {
			test.outcome.Body, test.outcome.Complete = "bo", false
		}},
		"API key forwarded to a server": {route: routeStream, change: func(test fixture) {
			test.observations.runs["r"][0].KeySeen = true
		}, want: []Invariant{InvariantUnalteredRequest}},
		"wrong organisation forwarded": {route: routeStream, change: func(test fixture) {
			test.observations.runs["r"][0].Organisation = "other"
		}, want: []Invariant{InvariantUnalteredRequest}},
		"organisation of another key forwarded": {route: routeStream, change: func(test fixture) {
			test.outcome.Key = crowdingKey
		}, want: []Invariant{InvariantUnalteredRequest}},
		"refused for a share without a time to return": {route: routeSafe, change: func(test fixture) {
			test.outcome.Status, test.outcome.Body = http.StatusServiceUnavailable, `{"reason":"organisation_over_share"}`
			test.observations.runs = nil
		}, want: []Invariant{InvariantRetryAfterShare}},
		"refused for a share": {route: routeSafe, change: func(test fixture) {
			test.outcome.Status, test.outcome.Body = http.StatusServiceUnavailable, `{"reason":"organisation_over_share"}`
			test.outcome.RetryAfter = time.Second
			test.observations.runs = nil
		}},
		"harmless request refused as one that crashes servers": {route: routeSafe, change: func(test fixture) {
			test.outcome.Status, test.outcome.Body = http.StatusServiceUnavailable, `{"error":"crashes_servers"}`
			test.observations.runs = nil
		}, want: []Invariant{InvariantHarmlessServed}},
		"path changed": {route: routeStream, change: func(test fixture) {
			test.observations.runs["r"][0].Target = "/chat/x/y"
		}, want: []Invariant{InvariantUnalteredRequest}},
		"run of a request that no caller sent": {route: routeStream, change: func(test fixture) {
			test.observations.runs["x"] = test.observations.runs["r"]
		}, want: []Invariant{InvariantUnalteredRequest}},
		"revoked key accepted": {route: routeStream, change: func(test fixture) {
			test.outcome.Key = "key-1"
			test.observations.operator.keys[1].revoked = at(-5 * time.Second)
		}, want: []Invariant{InvariantRevokedKey}},
		"key accepted within the revocation bound": {route: routeStream, change: func(test fixture) {
			test.outcome.Key = "key-1"
			test.observations.operator.keys[1].revoked = at(-3 * time.Second)
		}},
		"response after the timeout": {route: routeStream, change: func(test fixture) {
			test.outcome.Ended = at(9 * time.Second)
		}, want: []Invariant{InvariantTimely}},
		"response after the timeout of a paused VM": {route: routeStream, change: func(test fixture) {
			test.outcome.Ended = at(9 * time.Second)
			test.observations.log.add(span{from: at(3 * time.Second), to: at(5 * time.Second), kind: KindVMPause, vm: "vm-0"})
		}},
		"response after the timeout while another VM is paused": {route: routeStream, change: func(test fixture) {
			test.outcome.Ended = at(9 * time.Second)
			test.observations.log.add(span{from: at(3 * time.Second), to: at(5 * time.Second), kind: KindVMPause, vm: "vm-1"})
		}, want: []Invariant{InvariantTimely}},
		"valid request rejected": {route: routeSafe, change: func(test fixture) {
			test.outcome.Status = http.StatusUnauthorized
		}, want: []Invariant{InvariantValidAccepted}},
		"connection lost in a planned stop": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete = "reset", false
			test.observations.log.add(span{from: at(0), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-0"})
		}, want: []Invariant{InvariantNoneLost}},
		"cut before the last sixth of the grace period": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete, test.outcome.Ended = "reset", false, at(4500*time.Millisecond)
			test.observations.log.add(span{from: at(-1800 * time.Millisecond), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-0"})
		}, want: []Invariant{InvariantNoneLost}},
		"cut in the last sixth of the grace period while the server is at work": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete, test.outcome.Ended = "reset", false, at(5*time.Second)
			test.observations.log.add(span{from: at(-1800 * time.Millisecond), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-0"})
		}},
		"cut then after the server was done": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete, test.outcome.Ended = "reset", false, at(5*time.Second)
			test.observations.runs["r"][0].Ended = at(4900 * time.Millisecond)
			test.observations.log.add(span{from: at(-1800 * time.Millisecond), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-0"})
		}, want: []Invariant{InvariantNoneLost}},
		"cut then by another VM's stop": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete, test.outcome.Ended = "reset", false, at(5*time.Second)
			test.observations.log.add(span{from: at(-1800 * time.Millisecond), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-1"})
		}, want: []Invariant{InvariantNoneLost}},
		"cut then, sent after the notice": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete, test.outcome.Ended = "reset", false, at(5*time.Second)
			test.observations.log.add(span{from: at(-2100 * time.Millisecond), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-0"})
		}, want: []Invariant{InvariantNoneLost}},
		"sent while the VM process is down": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Status, test.outcome.Complete, test.outcome.Body = "reset", 0, false, ""
			test.observations.runs = nil
		}},
		"connection lost without a response": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Status, test.outcome.Complete, test.outcome.Body = "reset", 0, false, ""
		}, want: []Invariant{InvariantNoneLost}},
		"connection lost after the timeout": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete, test.outcome.Ended = "reset", false, at(7*time.Second)
		}},
		"connection lost when the VM is killed": {route: routeStream, change: func(test fixture) {
			test.outcome.Err, test.outcome.Complete = "reset", false
			test.observations.log.add(span{from: at(0), to: at(9 * time.Second), kind: KindVMKill, vm: "vm-0"})
		}},
		"arrival at a draining server": {route: routeStream, change: func(test fixture) {
			test.observations.operator.drainingSince["i-1"] = at(-4 * time.Second)
			test.observations.addArrival(at(time.Second))
		}, want: []Invariant{InvariantDrainingEntry}},
		"arrival at a draining server without a run": {route: routeStream, change: func(test fixture) {
			test.observations.operator.drainingSince["i-1"] = at(-4 * time.Second)
			test.observations.addArrival(at(time.Second))
			test.observations.runs = nil
		}, want: []Invariant{InvariantDrainingEntry}},
		"arrival before the server drains": {route: routeStream, change: func(test fixture) {
			test.observations.operator.drainingSince["i-1"] = at(-4 * time.Second)
			test.observations.addArrival(at(-5 * time.Second))
		}},
		"arrival at a draining server while the store is unavailable": {route: routeStream, change: func(test fixture) {
			test.observations.operator.drainingSince["i-1"] = at(-4 * time.Second)
			test.observations.addArrival(at(time.Second))
			test.observations.log.add(span{from: at(-5 * time.Second), to: at(-4 * time.Second), kind: KindStoreBusy})
		}},
		"return to an older configuration": {route: "v7", change: func(test fixture) {
			later := *test.outcome
			later.ID, later.Sent, later.Ended, later.Status = "later", at(3*time.Second), at(4*time.Second), http.StatusNotFound
			test.observations.outcomes = append(test.observations.outcomes, later)
		}, want: []Invariant{InvariantMonotonicConfiguration}},
		"sent to a server that advertised draining": {route: routeStream, change: func(test fixture) {
			test.observations.addLaterRequest(test.outcome, 3100*time.Millisecond, platformserver.Arrival{Draining: true})
		}, want: []Invariant{InvariantDrainingResponse}},
		"sent within the bound after a server advertised draining": {route: routeStream, change: func(test fixture) {
			test.observations.addLaterRequest(test.outcome, 2500*time.Millisecond, platformserver.Arrival{Draining: true})
		}},
		"sent to a server that advertised draining after a pause of the VM": {route: routeStream, change: func(test fixture) {
			test.observations.addLaterRequest(test.outcome, 3100*time.Millisecond, platformserver.Arrival{Draining: true})
			test.observations.log.add(span{from: at(3 * time.Second), to: at(4 * time.Second), kind: KindVMPause, vm: "vm-0"})
		}},
		"arrival at a server with a malformed entry": {route: routeStream, change: func(test fixture) {
			test.observations.operator.corruptions["i-1"] = []corruption{{from: at(-3 * time.Second), to: at(3 * time.Second)}}
			test.observations.arrivals = []platformserver.Arrival{{ID: "r", Instance: "i-1", At: at(time.Second)}}
		}, want: []Invariant{InvariantMalformedEntry}},
		"arrival after the entry is valid again": {route: routeStream, change: func(test fixture) {
			test.observations.operator.corruptions["i-1"] = []corruption{{from: at(-5 * time.Second), to: at(0)}}
			test.observations.arrivals = []platformserver.Arrival{{ID: "r", Instance: "i-1", At: at(time.Second)}}
		}},
		"arrival in an evacuated data centre": {route: routeStream, change: func(test fixture) {
			test.observations.arriveDuringEvacuation(evacuation{dataCentre: secondDataCentre, from: at(-3 * time.Second), to: at(3 * time.Second)})
		}, want: []Invariant{InvariantEvacuation}},
		"arrival within the bound of an evacuation": {route: routeStream, change: func(test fixture) {
			test.observations.arriveDuringEvacuation(evacuation{dataCentre: secondDataCentre, from: at(-time.Second), to: at(3 * time.Second)})
		}},
		"arrival after the end of an evacuation": {route: routeStream, change: func(test fixture) {
			test.observations.arriveDuringEvacuation(evacuation{dataCentre: secondDataCentre, from: at(-5 * time.Second), to: at(0)})
		}},
		"arrival while another data centre is evacuated": {route: routeStream, change: func(test fixture) {
			test.observations.arriveDuringEvacuation(evacuation{dataCentre: firstDataCentre, from: at(-3 * time.Second), to: at(3 * time.Second)})
		}},
		"arrival in an evacuated data centre while the store is unavailable": {route: routeStream, change: func(test fixture) {
			test.observations.arriveDuringEvacuation(evacuation{dataCentre: secondDataCentre, from: at(-3 * time.Second), to: at(3 * time.Second)})
			test.observations.log.add(span{from: at(-4 * time.Second), to: at(-2 * time.Second), kind: KindStoreBusy})
		}},
		"two arrivals during a backoff": {route: routeStream, change: func(test fixture) {
			test.observations.addLaterRequest(test.outcome, time.Second, platformserver.Arrival{Backoff: 2 * time.Second})
			test.observations.addLaterRequest(test.outcome, time.Second, platformserver.Arrival{})
		}},
		"three arrivals during a backoff": {route: routeStream, change: func(test fixture) {
			for range maxBackoffSends + 1 {
				test.observations.addLaterRequest(test.outcome, time.Second, platformserver.Arrival{Backoff: 2 * time.Second})
			}
		}, want: []Invariant{InvariantBackoff}},
		"three arrivals during a backoff with a link fault": {route: routeStream, change: func(test fixture) {
			for range maxBackoffSends + 1 {
				test.observations.addLaterRequest(test.outcome, time.Second, platformserver.Arrival{Backoff: 2 * time.Second})
			}
			test.observations.log.add(span{from: at(time.Second), to: at(2 * time.Second), kind: KindLinkOneWay})
		}},
		"as many arrivals as a rate limit allows": {route: routeStream, change: func(test fixture) {
			test.observations.addRateLimitedRequests(test.outcome, rateLimitSlack-1, 0)
		}},
		"more arrivals than a rate limit allows": {route: routeStream, change: func(test fixture) {
			test.observations.addRateLimitedRequests(test.outcome, rateLimitSlack, 0)
		}, want: []Invariant{InvariantRateLimit}},
		"more arrivals than a rate limit that was higher before": {route: routeStream, change: func(test fixture) {
			test.observations.addRateLimitedRequests(test.outcome, rateLimitSlack, 1)
		}},
		"more arrivals than a rate limit allows after a pause of the VM": {route: routeStream, change: func(test fixture) {
			test.observations.addRateLimitedRequests(test.outcome, rateLimitSlack, 0)
			test.observations.log.add(span{from: at(3 * time.Second), to: at(4 * time.Second), kind: KindVMPause, vm: "vm-0"})
		}},
		"a request that crashes servers runs three times too late": {route: routeStream, change: func(test fixture) {
			test.observations.addCrashes(crashingIDPrefix, maxCrashes, maxLateRuns)
		}},
		"a request that crashes servers runs four times too late": {route: routeStream, change: func(test fixture) {
			test.observations.addCrashes(crashingIDPrefix, maxCrashes, maxLateRuns+1)
		}, want: []Invariant{InvariantCrashQuarantine}},
		"prompts with a part that crashes servers run three times too late": {route: routeStream, change: func(test fixture) {
			test.observations.addCrashes(crashingPartIDPrefix, maxPartCrashes, maxLateRuns)
		}},
		"prompts with a part that crashes servers run four times too late": {route: routeStream, change: func(test fixture) {
			test.observations.addCrashes(crashingPartIDPrefix, maxPartCrashes, maxLateRuns+1)
		}, want: []Invariant{InvariantCrashQuarantine}},
		"callers of a VM that is cut off are served like others": {route: routeStream, change: func(test fixture) {
			test.observations.addCut(0)
		}},
		"some callers of a VM that is cut off are not served": {route: routeStream, change: func(test fixture) {
			test.observations.addCut(1)
		}, want: []Invariant{InvariantCutServed}},
		"callers of a VM that is cut off are not served, during another fault": {route: routeStream, change: func(test fixture) {
			test.observations.addCut(minCutRequests)
			test.observations.log.add(span{from: at(0), to: at(time.Minute), kind: KindServerErrors})
		}},
		"too few successes after the faults": {route: routeStream, change: func(test fixture) {
			test.observations.faultFreeFrom = at(0)
			for range minRecoveredRequests {
				failed := *test.outcome
				failed.ID, failed.Status, failed.Complete, failed.Body = "later", http.StatusBadGateway, true, ""
				test.observations.outcomes = append(test.observations.outcomes, failed)
			}
		}, want: []Invariant{InvariantRecovery}},
		"long prompts refused for capacity after the faults, others served": {route: routeLong, change: func(test fixture) {
			test.observations.refuseAfterFaults(routeLong)
		}},
		"all long prompts refused after the faults": {route: routeStream, change: func(test fixture) {
			test.observations.refuseAfterFaults(routeLong)
		}, want: []Invariant{InvariantRecovery}},
		"short requests refused for capacity after the faults": {route: routeLong, change: func(test fixture) {
			test.observations.refuseAfterFaults(routeStream)
		}, want: []Invariant{InvariantRecovery}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			outcome, run := served("r", test.route)
			observations := &observations{
				outcomes: []Outcome{outcome}, runs: map[string][]platformserver.Run{"r": {run}}, log: &faultLog{},
				operator: newOperator(metastore.New()), faultFreeFrom: at(time.Hour),
				incarnation: func(string, time.Time) int { return 1 },
				down:        func(string, time.Time, time.Time) bool { return name == "sent while the VM process is down" },
			}
			test.change(fixture{outcome: &observations.outcomes[0], observations: observations})
			var broken []Invariant
			for _, violation := range observations.check() {
				broken = append(broken, violation.Invariant)
			}
			assert.DeepEqual(t, broken, test.want)
		})
	}
}

// addCrashes adds runs that crashed servers, one after the other, and as many as given too late after them.
func (observations *observations) addCrashes(idPrefix string, crashes, late int) {
	for number := range crashes + late {
		crashedAt := at(time.Duration(number) * 100 * time.Millisecond)
		if number >= crashes {
			crashedAt = crashedAt.Add(boundContact)
		}
		id := fmt.Sprintf("%s%d", idPrefix, number)
		outcome, run := served(id, routeStream)
		run.At = crashedAt
		observations.crashing = append(observations.crashing, outcome)
		observations.runs[id] = []platformserver.Run{run}
	}
}

// addCut adds a VM that is cut off from all servers, requests at it and at another VM, and how many of its own are refused.
func (observations *observations) addCut(refused int) {
	observations.log.add(span{from: at(0), to: at(10 * time.Second), kind: KindVMCutReset, vm: "vm-0"})
	for number := range 2 * minCutRequests {
		id := fmt.Sprintf("cut-%d", number)
		outcome, run := served(id, routeStream)
		outcome.Sent, outcome.Ended = at(boundContact+time.Second), at(boundContact+2*time.Second)
		run.At = outcome.Sent
		outcome.VM = []string{"vm-0", "vm-1"}[number%2]
		if outcome.VM == "vm-0" && number/2 < refused {
			outcome.Status, outcome.Body, outcome.RetryAfter = http.StatusServiceUnavailable, "", time.Second
		} else {
			observations.runs[id] = []platformserver.Run{run}
		}
		observations.outcomes = append(observations.outcomes, outcome)
	}
}

// refuseAfterFaults adds requests on a route that were refused for want of servers after all faults had ended.
func (observations *observations) refuseAfterFaults(route string) {
	observations.faultFreeFrom = at(0)
	for range minRecoveredRequests {
		refused := observations.outcomes[0]
		refused.ID, refused.Route, refused.Status, refused.RetryAfter = "later", route, http.StatusServiceUnavailable, time.Second
		refused.Body, refused.Seal = `{"reason":"servers_busy"}`, ""
		observations.outcomes = append(observations.outcomes, refused)
	}
}

// arriveDuringEvacuation replaces all arrivals by one at a server of the second data centre, with that evacuation.
func (observations *observations) arriveDuringEvacuation(period evacuation) {
	observations.operator.dataCentres["i-1"] = secondDataCentre
	observations.operator.evacuations = []evacuation{period}
	observations.arrivals = []platformserver.Arrival{{ID: "r", Instance: "i-1", At: at(time.Second)}}
}

// TestPlanIsTheSameForASeed guards the replay of a failed run by its seed. Events must also stay out of the quiet times.
func TestPlanIsTheSameForASeed(t *testing.T) {
	length := DefaultSettings().Length
	first, again, other := NewPlan(7, length), NewPlan(7, length), NewPlan(8, length)
	assert.DeepEqual(t, first, again)
	assert.Assert(t, len(first) > 0)
	assert.Assert(t, first[0] != other[0])
	for _, event := range first {
		assert.Assert(t, event.At >= quietStart && event.At < length-quietEnd+followUpDelay, "%s", event)
	}
}

// addLaterRequest adds a copy of an outcome that was sent later by the given time, and its arrival. If there are no
// arrivals yet, it first adds the given one, as that of the original outcome.
func (observations *observations) addLaterRequest(outcome *Outcome, later time.Duration, first platformserver.Arrival) {
	first.ID, first.Instance, first.At = outcome.ID, outcome.Seal, at(1100*time.Millisecond)
	again := *outcome
	again.ID = fmt.Sprintf("again-%d", len(observations.outcomes))
	again.Sent, again.Ended = outcome.Sent.Add(later), outcome.Ended.Add(later)
	second := platformserver.Arrival{ID: again.ID, Instance: outcome.Seal, At: first.At.Add(later)}
	observations.outcomes = append(observations.outcomes, again)
	if len(observations.arrivals) == 0 {
		observations.arrivals = append(observations.arrivals, first)
	}
	observations.arrivals = append(observations.arrivals, second)
}

// addRateLimitedRequests adds an arrival that makes a server's rate limit known to the VM, one 3 s after the VM relayed it,
// with the limit before, and count more a second later, when the limit is zero.
func (observations *observations) addRateLimitedRequests(outcome *Outcome, count int, before float64) {
	observations.arrivals = append(observations.arrivals, platformserver.Arrival{
		ID: outcome.ID, Instance: outcome.Seal, At: at(1100 * time.Millisecond), RateLimited: true,
	})
	sends := []platformserver.Arrival{{At: at(5 * time.Second), RateLimited: true, RateLimit: before}}
	for range count {
		sends = append(sends, platformserver.Arrival{At: at(6 * time.Second), RateLimited: true})
	}
	for number, send := range sends {
		again := *outcome
		again.ID = fmt.Sprintf("limited-%d", number)
		send.ID, send.Instance = again.ID, outcome.Seal
		observations.outcomes = append(observations.outcomes, again)
		observations.arrivals = append(observations.arrivals, send)
	}
}

// addArrival adds the arrival of the request at its server.
func (observations *observations) addArrival(moment time.Time) {
	observations.arrivals = append(observations.arrivals, platformserver.Arrival{ID: "r", Instance: "i-1", At: moment})
}
