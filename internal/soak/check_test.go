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

// start is when the made-up runs begin.
func start() time.Time {
	return time.Unix(1000, 0)
}

func at(duration time.Duration) time.Time {
	return start().Add(duration)
}

// served returns an outcome that breaks nothing, and its run.
func served(id, route string) (Outcome, platformserver.Run) {
	outcome := Outcome{
		ID: id, Route: route, VM: "vm-0", Key: permanentKey, Sent: at(time.Second), Ended: at(2 * time.Second),
		Status: http.StatusOK, Seal: "i-1", Whole: true, Body: "body", Want: "body",
	}
	run := platformserver.Run{
		ID: id, Instance: "i-1", Organisation: organisation, Target: target(outcome), At: at(1100 * time.Millisecond),
	}
	return outcome, run
}

// TestCheck breaks each promise on purpose.
func TestCheck(t *testing.T) {
	type made struct {
		outcome  *Outcome
		evidence *evidence
	}
	tests := map[string]struct {
		route  string
		change func(made made)
		want   []Promise
	}{
		"nothing is broken": {route: routeStream, change: func(made) {}},
		"run twice": {route: routeUnsafe, change: func(made made) {
			made.evidence.runs["r"] = append(made.evidence.runs["r"], made.evidence.runs["r"][0])
		}, want: []Promise{PromiseOnce}},
		"run twice where it may": {route: routeSafe, change: func(made made) {
			made.evidence.runs["r"] = append(made.evidence.runs["r"], made.evidence.runs["r"][0])
		}},
		"refused, and run": {route: routeUnsafe, change: func(made made) {
			made.outcome.Status = http.StatusServiceUnavailable
		}, want: []Promise{PromiseNotRun}},
		"an event is missing": {route: routeStream, change: func(made made) {
			made.outcome.Body = "bod"
		}, want: []Promise{PromiseWhole}},
		"another's bytes": {route: routeStream, change: func(made made) {
			made.outcome.Body, made.outcome.Whole = "other", false
		}, want: []Promise{PromiseWhole}},
		"no mark": {route: routeStream, change: func(made made) {
			made.outcome.Seal = ""
		}, want: []Promise{PromiseWhole}},
		"cut short and seen to be": {route: routeStream, change: func(made made) {
			made.outcome.Body, made.outcome.Whole = "bo", false
		}},
		"a key is handed on": {route: routeStream, change: func(made made) {
			made.evidence.runs["r"][0].KeySeen = true
		}, want: []Promise{PromiseUnaltered}},
		"another organisation": {route: routeStream, change: func(made made) {
			made.evidence.runs["r"][0].Organisation = "other"
		}, want: []Promise{PromiseUnaltered}},
		"another path": {route: routeStream, change: func(made made) {
			made.evidence.runs["r"][0].Target = "/chat/x/y"
		}, want: []Promise{PromiseUnaltered}},
		"nobody sent it": {route: routeStream, change: func(made made) {
			made.evidence.runs["x"] = made.evidence.runs["r"]
		}, want: []Promise{PromiseUnaltered}},
		"a key that was taken away": {route: routeStream, change: func(made made) {
			made.outcome.Key = "key-1"
			made.evidence.operator.keys[1].revoked = at(-5 * time.Second)
		}, want: []Promise{PromiseRevoked}},
		"a key that was taken away just now": {route: routeStream, change: func(made made) {
			made.outcome.Key = "key-1"
			made.evidence.operator.keys[1].revoked = at(-3 * time.Second)
		}},
		"too late": {route: routeStream, change: func(made made) {
			made.outcome.Ended = at(9 * time.Second)
		}, want: []Promise{PromiseTime}},
		"too late while its VM stood still": {route: routeStream, change: func(made made) {
			made.outcome.Ended = at(9 * time.Second)
			made.evidence.log.add(span{from: at(3 * time.Second), to: at(5 * time.Second), kind: KindVMPause, vm: "vm-0"})
		}},
		"too late while another VM stood still": {route: routeStream, change: func(made made) {
			made.outcome.Ended = at(9 * time.Second)
			made.evidence.log.add(span{from: at(3 * time.Second), to: at(5 * time.Second), kind: KindVMPause, vm: "vm-1"})
		}, want: []Promise{PromiseTime}},
		"a proper request is denied": {route: routeSafe, change: func(made made) {
			made.outcome.Status = http.StatusUnauthorized
		}, want: []Promise{PromiseDenied}},
		"cut in a planned stop": {route: routeStream, change: func(made made) {
			made.outcome.Err, made.outcome.Whole = "reset", false
			made.evidence.log.add(span{from: at(0), to: at(9 * time.Second), kind: KindVMStop, vm: "vm-0"})
		}, want: []Promise{PromiseLost}},
		"sent while its process was away": {route: routeStream, change: func(made made) {
			made.outcome.Err, made.outcome.Status, made.outcome.Whole, made.outcome.Body = "reset", 0, false, ""
			made.evidence.runs = nil
		}},
		"cut without an answer": {route: routeStream, change: func(made made) {
			made.outcome.Err, made.outcome.Status, made.outcome.Whole, made.outcome.Body = "reset", 0, false, ""
		}, want: []Promise{PromiseLost}},
		"cut when its time was over": {route: routeStream, change: func(made made) {
			made.outcome.Err, made.outcome.Whole, made.outcome.Ended = "reset", false, at(7*time.Second)
		}},
		"cut by a kill": {route: routeStream, change: func(made made) {
			made.outcome.Err, made.outcome.Whole = "reset", false
			made.evidence.log.add(span{from: at(0), to: at(9 * time.Second), kind: KindVMKill, vm: "vm-0"})
		}},
		"a server that left": {route: routeStream, change: func(made made) {
			made.evidence.operator.left["i-1"] = at(-4 * time.Second)
			made.evidence.reaches(at(time.Second))
		}, want: []Promise{PromiseLeaving}},
		"a server that left, and ran nothing of it": {route: routeStream, change: func(made made) {
			made.evidence.operator.left["i-1"] = at(-4 * time.Second)
			made.evidence.reaches(at(time.Second))
			made.evidence.runs = nil
		}, want: []Promise{PromiseLeaving}},
		"a server that left while it waited there": {route: routeStream, change: func(made made) {
			made.evidence.operator.left["i-1"] = at(-4 * time.Second)
			made.evidence.reaches(at(-5 * time.Second))
		}},
		"a server that left while the store was away": {route: routeStream, change: func(made made) {
			made.evidence.operator.left["i-1"] = at(-4 * time.Second)
			made.evidence.reaches(at(time.Second))
			made.evidence.log.add(span{from: at(-5 * time.Second), to: at(-4 * time.Second), kind: KindStoreBusy})
		}},
		"back to an older configuration": {route: "v7", change: func(made made) {
			later := *made.outcome
			later.ID, later.Sent, later.Ended, later.Status = "later", at(3*time.Second), at(4*time.Second), http.StatusNotFound
			made.evidence.outcomes = append(made.evidence.outcomes, later)
		}, want: []Promise{PromiseForward}},
		"sent to a server that had said that it leaves": {route: routeStream, change: func(made made) {
			made.evidence.sendAgain(made.outcome, 3100*time.Millisecond, platformserver.Arrival{Draining: true})
		}, want: []Promise{PromiseSaid}},
		"a moment after it had said so": {route: routeStream, change: func(made made) {
			made.evidence.sendAgain(made.outcome, 2500*time.Millisecond, platformserver.Arrival{Draining: true})
		}},
		"after the VM stood still": {route: routeStream, change: func(made made) {
			made.evidence.sendAgain(made.outcome, 3100*time.Millisecond, platformserver.Arrival{Draining: true})
			made.evidence.log.add(span{from: at(3 * time.Second), to: at(4 * time.Second), kind: KindVMPause, vm: "vm-0"})
		}},
		"sent to a server whose entry is bad": {route: routeStream, change: func(made made) {
			made.evidence.operator.spoilt["i-1"] = []spoilt{{from: at(-3 * time.Second), to: at(3 * time.Second)}}
			made.evidence.arrivals = []platformserver.Arrival{{ID: "r", Instance: "i-1", At: at(time.Second)}}
		}, want: []Promise{PromiseBad}},
		"sent after it was good again": {route: routeStream, change: func(made made) {
			made.evidence.operator.spoilt["i-1"] = []spoilt{{from: at(-5 * time.Second), to: at(0)}}
			made.evidence.arrivals = []platformserver.Arrival{{ID: "r", Instance: "i-1", At: at(time.Second)}}
		}},
		"sent to an evacuated data centre": {route: routeStream, change: func(made made) {
			made.evidence.sendWhile(evacuated{dataCentre: secondCentre, from: at(-3 * time.Second), to: at(3 * time.Second)})
		}, want: []Promise{PromiseEvacuated}},
		"sent to one before that had to be known": {route: routeStream, change: func(made made) {
			made.evidence.sendWhile(evacuated{dataCentre: secondCentre, from: at(-time.Second), to: at(3 * time.Second)})
		}},
		"sent to one that is taken back": {route: routeStream, change: func(made made) {
			made.evidence.sendWhile(evacuated{dataCentre: secondCentre, from: at(-5 * time.Second), to: at(0)})
		}},
		"sent while another one is evacuated": {route: routeStream, change: func(made made) {
			made.evidence.sendWhile(evacuated{dataCentre: firstCentre, from: at(-3 * time.Second), to: at(3 * time.Second)})
		}},
		"sent to an evacuated one while the store is away": {route: routeStream, change: func(made made) {
			made.evidence.sendWhile(evacuated{dataCentre: secondCentre, from: at(-3 * time.Second), to: at(3 * time.Second)})
			made.evidence.log.add(span{from: at(-4 * time.Second), to: at(-2 * time.Second), kind: KindStoreBusy})
		}},
		"two sent in a rest": {route: routeStream, change: func(made made) {
			made.evidence.sendAgain(made.outcome, time.Second, platformserver.Arrival{Backoff: 2 * time.Second})
			made.evidence.sendAgain(made.outcome, time.Second, platformserver.Arrival{})
		}},
		"three sent in a rest": {route: routeStream, change: func(made made) {
			for range restSends + 1 {
				made.evidence.sendAgain(made.outcome, time.Second, platformserver.Arrival{Backoff: 2 * time.Second})
			}
		}, want: []Promise{PromiseRest}},
		"three sent while the way there was cut": {route: routeStream, change: func(made made) {
			for range restSends + 1 {
				made.evidence.sendAgain(made.outcome, time.Second, platformserver.Arrival{Backoff: 2 * time.Second})
			}
			made.evidence.log.add(span{from: at(time.Second), to: at(2 * time.Second), kind: KindLinkOneWay})
		}},
		"as many as a limit allows": {route: routeStream, change: func(made made) {
			made.evidence.sendLimited(made.outcome, limitSlack-1, 0)
		}},
		"more than a limit allows": {route: routeStream, change: func(made made) {
			made.evidence.sendLimited(made.outcome, limitSlack, 0)
		}, want: []Promise{PromiseLimit}},
		"more, and another limit before": {route: routeStream, change: func(made made) {
			made.evidence.sendLimited(made.outcome, limitSlack, 1)
		}},
		"more, after the VM stood still": {route: routeStream, change: func(made made) {
			made.evidence.sendLimited(made.outcome, limitSlack, 0)
			made.evidence.log.add(span{from: at(3 * time.Second), to: at(4 * time.Second), kind: KindVMPause, vm: "vm-0"})
		}},
		"not served again": {route: routeStream, change: func(made made) {
			made.evidence.calm = at(0)
			for range fewest {
				failed := *made.outcome
				failed.ID, failed.Status, failed.Whole, failed.Body = "later", http.StatusBadGateway, true, ""
				made.evidence.outcomes = append(made.evidence.outcomes, failed)
			}
		}, want: []Promise{PromiseRecovered}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			outcome, run := served("r", test.route)
			evidence := &evidence{
				outcomes: []Outcome{outcome}, runs: map[string][]platformserver.Run{"r": {run}}, log: &faultLog{},
				operator: newOperator(metastore.New()), calm: at(time.Hour),
				life: func(string, time.Time) int { return 1 },
				down: func(string, time.Time, time.Time) bool { return name == "sent while its process was away" },
			}
			test.change(made{outcome: &evidence.outcomes[0], evidence: evidence})
			var broken []Promise
			for _, violation := range evidence.check() {
				broken = append(broken, violation.Promise)
			}
			assert.DeepEqual(t, broken, test.want)
		})
	}
}

// sendWhile has a request reach a server of the second data centre during an evacuation.
func (evidence *evidence) sendWhile(evacuation evacuated) {
	evidence.operator.centres["i-1"] = secondCentre
	evidence.operator.evacuated = []evacuated{evacuation}
	evidence.arrivals = []platformserver.Arrival{{ID: "r", Instance: "i-1", At: at(time.Second)}}
}

func TestPlanIsTheSameForASeed(t *testing.T) {
	length := DefaultSettings().Length
	first, again, other := NewPlan(7, length), NewPlan(7, length), NewPlan(8, length)
	assert.DeepEqual(t, first, again)
	assert.Assert(t, len(first) > 0)
	assert.Assert(t, first[0] != other[0])
	for _, event := range first {
		assert.Assert(t, event.At >= quietStart && event.At < length-quietEnd+followAfter, "%s", event)
	}
}

// sendAgain adds an outcome like another one, but for its being sent so much later, with what reached the server then
// and, unless that is there, the first time.
func (evidence *evidence) sendAgain(outcome *Outcome, later time.Duration, first platformserver.Arrival) {
	first.ID, first.Instance, first.At = outcome.ID, outcome.Seal, at(1100*time.Millisecond)
	again := *outcome
	again.ID = fmt.Sprintf("again-%d", len(evidence.outcomes))
	again.Sent, again.Ended = outcome.Sent.Add(later), outcome.Ended.Add(later)
	second := platformserver.Arrival{ID: again.ID, Instance: outcome.Seal, At: first.At.Add(later)}
	evidence.outcomes = append(evidence.outcomes, again)
	if len(evidence.arrivals) == 0 {
		evidence.arrivals = append(evidence.arrivals, first)
	}
	evidence.arrivals = append(evidence.arrivals, second)
}

// sendLimited adds a request at a server 3 s after that told the VM of a limit, which may be another one before that, and so
// many more a second later, when it takes none.
func (evidence *evidence) sendLimited(outcome *Outcome, count int, before float64) {
	evidence.arrivals = append(evidence.arrivals, platformserver.Arrival{
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
		evidence.outcomes = append(evidence.outcomes, again)
		evidence.arrivals = append(evidence.arrivals, send)
	}
}

// reaches notes when the request reached its server.
func (evidence *evidence) reaches(moment time.Time) {
	evidence.arrivals = append(evidence.arrivals, platformserver.Arrival{ID: "r", Instance: "i-1", At: moment})
}
