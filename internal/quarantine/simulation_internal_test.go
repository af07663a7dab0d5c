package quarantine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// tick is the time step of a simulation, and simulationTime its duration.
const (
	tick           = 10 * time.Millisecond
	simulationTime = 40 * time.Second
)

// Fingerprints of the request that crashes servers, of one that many callers send, and of the first
// of all others; of the part that crashes servers, of the first part of most prompts, and of the
// first of all other parts; and of the first request with the part that crashes servers.
const (
	harmfulRequest   = fingerprint.Fingerprint(1)
	popularRequest   = fingerprint.Fingerprint(2)
	firstOfOthers    = fingerprint.Fingerprint(1000)
	crashingPart     = fingerprint.Fingerprint(1 << 40)
	commonPart       = fingerprint.Fingerprint(2 << 40)
	firstOfParts     = fingerprint.Fingerprint(3 << 40)
	firstWithHarmful = fingerprint.Fingerprint(4 << 40)
)

// partsOf returns the shared parts of a harmless request's prompt: the common one in six of ten prompts,
// one that a sixtieth of all prompts have, and in one of fifty a part that no other has.
func partsOf(request fingerprint.Fingerprint) []fingerprint.Fingerprint {
	const rareParts, newPart = 60, 50
	parts := []fingerprint.Fingerprint{firstOfParts + request%rareParts}
	if request%10 < 6 {
		parts = append(parts, commonPart)
	}
	if request%newPart == 0 {
		parts = append(parts, firstOfParts+rareParts+request)
	}
	return parts
}

// mix is the load of a simulation.
type mix struct {
	servers, slots int
	// popular is the fraction of callers that send the popular request.
	popular float64
	// crashes is the rate per second of servers that crash independently, one at a time.
	crashes float64
	// waves is how often a third of the servers crash at the same moment.
	waves int
	// harmful adds three harmful requests per second.
	harmful bool
	// harmfulParts adds three requests per second that share a harmful part and are all different.
	harmfulParts bool
	// tries is the number of attempts of a caller whose request was lost.
	tries int
}

// inFlight is a request on a server.
type inFlight struct {
	request fingerprint.Fingerprint
	parts   []fingerprint.Fingerprint
	// harmful is set if the request crashes servers.
	harmful bool
	// begun is set once the response has begun.
	begun bool
	ends  time.Time
	tries int
}

// simulatedServer is a server of a simulation.
type simulatedServer struct {
	start      int
	restartsAt time.Time
	running    []inFlight
}

// simulation is one run of a mix.
type simulation struct {
	mix

	random  *rand.Rand
	now     time.Time
	tracker *Tracker
	servers []*simulatedServer
	next    fingerprint.Fingerprint
	// nextHarmful counts the requests with the harmful part.
	nextHarmful fingerprint.Fingerprint
	evaluateAt  time.Time

	// sent counts the harmless requests, and refused those of them that were in quarantine.
	sent, refused int
	// hit counts the harmless attempts that were on a lost server.
	hit int
	// harmfulCrashes has the times of the losses under the harmful request, and harmfulSends the
	// times of its attempts.
	harmfulCrashes, harmfulSends []time.Time
}

func newSimulation(mix mix, seed uint64) *simulation {
	simulation := &simulation{
		mix: mix, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), next: firstOfOthers,
	}
	simulation.tracker = New(DefaultSettings(), Standalone{}, Standalone{}, slog.New(slog.DiscardHandler), func() time.Time { return simulation.now })
	for range mix.servers {
		simulation.servers = append(simulation.servers, &simulatedServer{})
	}
	return simulation
}

// run runs the simulation to its end.
func (simulation *simulation) run() {
	start := simulation.now
	for simulation.now.Sub(start) < simulationTime {
		simulation.arrive()
		simulation.endRuns()
		simulation.crashSome(simulation.now.Sub(start))
		simulation.evaluate()
		simulation.now = simulation.now.Add(tick)
	}
}

// occurs reports whether an event with the given rate per second happens in this tick.
func (simulation *simulation) occurs(rate float64) bool {
	return simulation.random.Float64() < rate*tick.Seconds()
}

// runTime is the duration of a harmless request, and crashAfter the time from sending the harmful
// request to the crash.
const (
	runTime    = 1600 * time.Millisecond
	crashAfter = 100 * time.Millisecond
	// load is the fraction of the slots in use.
	load = 0.6
)

func (simulation *simulation) arrive() {
	rate := load * float64(simulation.mix.servers*simulation.slots) / runTime.Seconds()
	for range 1 + int(rate*tick.Seconds()) {
		if simulation.random.Float64() > rate*tick.Seconds()/(1+float64(int(rate*tick.Seconds()))) {
			continue
		}
		request := simulation.next
		simulation.next++
		if simulation.random.Float64() < simulation.popular {
			request = popularRequest
		}
		simulation.sent++
		simulation.send(inFlight{request: request, parts: partsOf(request), ends: simulation.now.Add(runTime), tries: simulation.tries})
	}
	if simulation.harmful && simulation.occurs(3) {
		simulation.send(inFlight{request: harmfulRequest, harmful: true, ends: simulation.now.Add(crashAfter), tries: 2})
	}
	if simulation.harmfulParts && simulation.occurs(3) {
		simulation.nextHarmful++
		simulation.send(inFlight{
			request: firstWithHarmful + simulation.nextHarmful, parts: []fingerprint.Fingerprint{commonPart, crashingPart}, harmful: true,
			ends: simulation.now.Add(crashAfter), tries: 2,
		})
	}
}

// send sends a request to the first server with a free slot, starting from the first server half of
// the time and from a random one otherwise.
func (simulation *simulation) send(sent inFlight) {
	if simulation.tracker.Remaining(append(sent.parts, sent.request)...) > 0 {
		if !sent.harmful {
			simulation.refused++
		}
		return
	}
	first := simulation.random.IntN(len(simulation.servers))
	if simulation.random.Float64() < 0.5 {
		first = 0
	}
	for at := range simulation.servers {
		server := simulation.servers[(first+at)%len(simulation.servers)]
		if server.restartsAt.After(simulation.now) || len(server.running) >= simulation.slots {
			continue
		}
		if sent.harmful {
			simulation.harmfulSends = append(simulation.harmfulSends, simulation.now)
		}
		server.running = append(server.running, sent)
		return
	}
}

func (simulation *simulation) endRuns() {
	for number, server := range simulation.servers {
		var remaining []inFlight
		crashed := false
		for _, run := range server.running {
			if !run.harmful && !run.begun && run.ends.Sub(simulation.now) < runTime*9/10 {
				run.begun = true // after a tenth of its run time
				simulation.tracker.RecordBegun(run.parts)
			}
			switch {
			case run.ends.After(simulation.now):
				remaining = append(remaining, run)
			case run.harmful:
				crashed = true
				remaining = append(remaining, run)
			default:
				simulation.tracker.RecordCompletion(run.request, simulation.name(number))
			}
		}
		server.running = remaining
		if crashed {
			simulation.harmfulCrashes = append(simulation.harmfulCrashes, simulation.now)
			simulation.crash(number)
		}
	}
}

func (simulation *simulation) name(number int) string {
	return fmt.Sprintf("%d-%d", number, simulation.servers[number].start)
}

// crash crashes a server, and repeats the requests there immediately.
func (simulation *simulation) crash(number int) {
	server := simulation.servers[number]
	lost := server.running
	server.running = nil
	server.restartsAt = simulation.now.Add(time.Duration((1 + 3*simulation.random.Float64()) * float64(time.Second)))
	for _, run := range lost {
		simulation.tracker.RecordLoss(Loss{Fingerprint: run.request, Server: simulation.name(number), HadEvent: run.begun, Parts: run.parts})
		if !run.harmful {
			simulation.hit++
		}
	}
	simulation.tracker.RecordEnd(simulation.name(number))
	server.start++
	simulation.evaluateAt = simulation.now.Add(simulation.tracker.settings.EvaluationDelay)
	for _, run := range lost {
		run.tries--
		duration := runTime
		if run.harmful {
			duration = crashAfter
		}
		run.begun = false
		run.ends = simulation.now.Add(duration)
		if run.tries > 0 {
			simulation.send(run)
		}
	}
}

func (simulation *simulation) crashSome(since time.Duration) {
	if simulation.occurs(simulation.crashes) {
		simulation.crash(simulation.random.IntN(len(simulation.servers)))
	}
	const first, interval = 2 * time.Second, 4 * time.Second // eight waves in half a minute
	if simulation.waves == 0 || since < first || (since-first)%interval != 0 || int((since-first)/interval) >= simulation.waves {
		return
	}
	for _, number := range simulation.random.Perm(len(simulation.servers))[:len(simulation.servers)/3] {
		simulation.crash(number)
	}
}

func (simulation *simulation) evaluate() {
	if !simulation.evaluateAt.IsZero() && !simulation.now.Before(simulation.evaluateAt) {
		simulation.evaluateAt = time.Time{}
		simulation.tracker.evaluate()
	}
}

// sentAfter counts the attempts of harmful requests after their third crash, or their fifth if they
// only share a part, and the time for all VMs to learn of it.
func (simulation *simulation) sentAfter() int {
	const known = 3 * time.Second
	limit := 3
	if simulation.harmfulParts {
		limit = 5
	}
	if len(simulation.harmfulCrashes) < limit {
		return 0
	}
	count := 0
	for _, sent := range simulation.harmfulSends {
		if sent.After(simulation.harmfulCrashes[limit-1].Add(known)) {
			count++
		}
	}
	return count
}

// TestEvaluationUnderCrashes guards against quarantining harmless requests and parts, and against
// missing or delaying harmful ones. It simulates crashes under one request, independent crashes, and waves
// that hit a third of the servers at once, while up to six in ten callers send the same request, most
// prompts share parts, and all callers repeat lost requests at once.
func TestEvaluationUnderCrashes(t *testing.T) {
	const seeds = 5
	for name, mix := range map[string]mix{
		"no crashes":                         {servers: 18, slots: 16, tries: 4},
		"independent crashes":                {servers: 18, slots: 16, tries: 4, crashes: 1},
		"waves":                              {servers: 18, slots: 16, tries: 4, waves: 8},
		"waves, popular request":             {servers: 18, slots: 16, tries: 8, waves: 8, popular: 0.6},
		"waves on few slots":                 {servers: 9, slots: 4, tries: 8, waves: 8, popular: 0.6},
		"waves on many servers":              {servers: 60, slots: 16, tries: 4, waves: 8, popular: 0.6},
		"harmful":                            {servers: 18, slots: 16, tries: 4, harmful: true},
		"harmful, popular request":           {servers: 18, slots: 16, tries: 8, harmful: true, popular: 0.6},
		"harmful amid independent crashes":   {servers: 18, slots: 16, tries: 4, harmful: true, crashes: 1},
		"harmful amid waves":                 {servers: 18, slots: 16, tries: 4, harmful: true, waves: 8, popular: 0.6},
		"harmful on few slots amid waves":    {servers: 9, slots: 4, tries: 8, harmful: true, waves: 8, popular: 0.6},
		"harmful part":                       {servers: 18, slots: 16, tries: 4, harmfulParts: true},
		"harmful part and independent ones":  {servers: 18, slots: 16, tries: 4, harmfulParts: true, crashes: 1},
		"harmful part amid waves":            {servers: 18, slots: 16, tries: 4, harmfulParts: true, waves: 8, popular: 0.6},
		"harmful part on few slots in waves": {servers: 9, slots: 4, tries: 8, harmfulParts: true, waves: 8, popular: 0.6},
		"harmful part on many servers":       {servers: 60, slots: 16, tries: 4, harmfulParts: true, waves: 8, popular: 0.6},
		"harmful part and harmful request":   {servers: 18, slots: 16, tries: 4, harmfulParts: true, harmful: true},
		"harmful on many servers with waves": {servers: 60, slots: 16, tries: 4, harmful: true, waves: 8, popular: 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			sent, hit, refused, lost, most := 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				simulation := newSimulation(mix, seed)
				simulation.run()
				sent, hit, refused, lost = sent+simulation.sent, hit+simulation.hit, refused+simulation.refused, lost+len(simulation.harmfulCrashes)
				most = max(most, simulation.sentAfter())
			}
			t.Logf("harmless: %d sent, %d times on a lost server, %d refused; harmful: %.1f servers lost under it, sent %d times at most afterwards",
				sent, hit, refused, float64(lost)/seeds, most)
			assert.Equal(t, refused, 0)
			assert.Assert(t, most <= 3, "sent %d times", most)
		})
	}
}

// TestLossesAreBounded guards against memory that grows with the parts of the prompts on lost servers, and against
// forgetting the latest losses for it.
func TestLossesAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New(DefaultSettings(), Standalone{}, Standalone{}, slog.New(slog.DiscardHandler), func() time.Time { return now })
	const requestsOnServer, partsOfPrompt = 16, 5
	for number := range 20_000 {
		request := fingerprint.Fingerprint(number * (partsOfPrompt + 1))
		var parts []fingerprint.Fingerprint
		for part := range partsOfPrompt {
			parts = append(parts, request+fingerprint.Fingerprint(part)+1)
		}
		tracker.RecordLoss(Loss{Fingerprint: request, Server: fmt.Sprintf("s%d", number/requestsOnServer), Parts: parts})
		now = now.Add(time.Millisecond)
	}
	kept := 0
	for _, crash := range tracker.crashes {
		kept += len(crash.requests)
	}
	assert.Equal(t, kept, tracker.losses)
	const ofOneServer = requestsOnServer * (partsOfPrompt + 1)
	assert.Assert(t, kept <= tracker.settings.MaxLosses+ofOneServer && kept > tracker.settings.MaxLosses-2*ofOneServer, "%d kept", kept)
	assert.Equal(t, tracker.crashes[len(tracker.crashes)-1].server, "s1249")
}
