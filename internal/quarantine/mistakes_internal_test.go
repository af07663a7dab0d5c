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

// tick is the step of time of a play, and playTime how long one lasts.
const (
	tick     = 10 * time.Millisecond
	playTime = 40 * time.Second
)

// Requests with a part of their own: one that crashes servers, and one that many callers share.
const (
	harmfulRequest = fingerprint.Fingerprint(1)
	popularRequest = fingerprint.Fingerprint(2)
	firstOfOthers  = fingerprint.Fingerprint(1000)
)

// mix is what is played.
type mix struct {
	servers, slots int
	// popular is the part of the callers who ask for the same.
	popular float64
	// crashes is how many servers crash in a second by themselves, one at a time.
	crashes float64
	// waves is how often a third of the servers crash at one moment.
	waves int
	// harmful has callers who ask for what crashes servers, three a second.
	harmful bool
	// tries is how often a caller asks whose request was lost.
	tries int
}

// underWay is a request on a server.
type underWay struct {
	request fingerprint.Fingerprint
	ends    time.Time
	tries   int
}

// playServer is a server of a play.
type playServer struct {
	start   int
	away    time.Time
	running []underWay
}

// play is one play of a mix.
type play struct {
	mix

	random  *rand.Rand
	now     time.Time
	book    *Book
	servers []*playServer
	next    fingerprint.Fingerprint
	judgeAt time.Time

	// asked counts harmless requests, and refused those of them that were kept from servers.
	asked, refused int
	// struck counts those that were on a lost server.
	struck int
	// under has when servers were lost under the harmful one, and sends when it was sent.
	under, sends []time.Time
}

func newPlay(mix mix, seed uint64) *play {
	play := &play{
		mix: mix, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), next: firstOfOthers,
	}
	play.book = New(DefaultSettings(), Alone{}, Alone{}, slog.New(slog.DiscardHandler), func() time.Time { return play.now })
	for range mix.servers {
		play.servers = append(play.servers, &playServer{})
	}
	return play
}

// run plays it to its end.
func (play *play) run() {
	start := play.now
	for play.now.Sub(start) < playTime {
		play.arrive()
		play.endRuns()
		play.crashSome(play.now.Sub(start))
		play.judge()
		play.now = play.now.Add(tick)
	}
}

// perTick reports whether something happens now that does so often a second.
func (play *play) perTick(rate float64) bool {
	return play.random.Float64() < rate*tick.Seconds()
}

// runTime is how long a harmless request runs, and crashAfter how long the harmful one does.
const (
	runTime    = 1600 * time.Millisecond
	crashAfter = 100 * time.Millisecond
	// load is the part of the slots in use.
	load = 0.6
)

func (play *play) arrive() {
	rate := load * float64(play.mix.servers*play.slots) / runTime.Seconds()
	for range 1 + int(rate*tick.Seconds()) {
		if play.random.Float64() > rate*tick.Seconds()/(1+float64(int(rate*tick.Seconds()))) {
			continue
		}
		request := play.next
		play.next++
		if play.random.Float64() < play.popular {
			request = popularRequest
		}
		play.asked++
		play.send(underWay{request: request, ends: play.now.Add(runTime), tries: play.tries})
	}
	if play.harmful && play.perTick(3) {
		play.send(underWay{request: harmfulRequest, ends: play.now.Add(crashAfter), tries: 2})
	}
}

// send packs a request onto the first server with a free slot, half of the time, or else onto any.
func (play *play) send(sent underWay) {
	if play.book.Kept(sent.request) > 0 {
		if sent.request != harmfulRequest {
			play.refused++
		}
		return
	}
	first := play.random.IntN(len(play.servers))
	if play.random.Float64() < 0.5 {
		first = 0
	}
	for at := range play.servers {
		server := play.servers[(first+at)%len(play.servers)]
		if server.away.After(play.now) || len(server.running) >= play.slots {
			continue
		}
		if sent.request == harmfulRequest {
			play.sends = append(play.sends, play.now)
		}
		server.running = append(server.running, sent)
		return
	}
}

func (play *play) endRuns() {
	for number, server := range play.servers {
		var left []underWay
		crashed := false
		for _, run := range server.running {
			switch {
			case run.ends.After(play.now):
				left = append(left, run)
			case run.request == harmfulRequest:
				crashed = true
				left = append(left, run)
			default:
				play.book.Served(run.request, play.name(number))
			}
		}
		server.running = left
		if crashed {
			play.under = append(play.under, play.now)
			play.crash(number)
		}
	}
}

func (play *play) name(number int) string {
	return fmt.Sprintf("%d-%d", number, play.servers[number].start)
}

// crash loses a server, and lets those who were there ask again at once.
func (play *play) crash(number int) {
	server := play.servers[number]
	lost := server.running
	server.running = nil
	server.away = play.now.Add(time.Duration((1 + 3*play.random.Float64()) * float64(time.Second)))
	for _, run := range lost {
		// A harmless one has its first event after a tenth of its time.
		ran := run.request != harmfulRequest && run.ends.Sub(play.now) < runTime*9/10
		play.book.Lost(Loss{Fingerprint: run.request, Server: play.name(number), Ran: ran})
		if run.request != harmfulRequest {
			play.struck++
		}
	}
	server.start++
	play.judgeAt = play.now.Add(play.book.settings.Settle)
	for _, run := range lost {
		run.tries--
		duration := runTime
		if run.request == harmfulRequest {
			duration = crashAfter
		}
		run.ends = play.now.Add(duration)
		if run.tries > 0 {
			play.send(run)
		}
	}
}

func (play *play) crashSome(since time.Duration) {
	if play.perTick(play.crashes) {
		play.crash(play.random.IntN(len(play.servers)))
	}
	const first, apart = 2 * time.Second, 4 * time.Second // eight in half a minute
	if play.waves == 0 || since < first || (since-first)%apart != 0 || int((since-first)/apart) >= play.waves {
		return
	}
	for _, number := range play.random.Perm(len(play.servers))[:len(play.servers)/3] {
		play.crash(number)
	}
}

func (play *play) judge() {
	if !play.judgeAt.IsZero() && !play.now.Before(play.judgeAt) {
		play.judgeAt = time.Time{}
		play.book.judge()
	}
}

// sentAfter counts sends of the harmful request after the third server under it was lost and all VMs had
// to know of it.
func (play *play) sentAfter() int {
	const limit, known = 3, 3 * time.Second
	if len(play.under) < limit {
		return 0
	}
	count := 0
	for _, sent := range play.sends {
		if sent.After(play.under[limit-1].Add(known)) {
			count++
		}
	}
	return count
}

// TestMistakes plays crashes of both kinds: those under one request, and those that servers have for reasons of
// their own, one at a time or a third of them at once, while six in ten callers ask for the same and
// all ask again at once. The first must be found in time, also amid the others; nobody
// whose request is harmless may be refused.
func TestMistakes(t *testing.T) {
	const seeds = 5
	for name, mix := range map[string]mix{
		"nothing crashes":                    {servers: 18, slots: 16, tries: 4},
		"single ones":                        {servers: 18, slots: 16, tries: 4, crashes: 1},
		"waves":                              {servers: 18, slots: 16, tries: 4, waves: 8},
		"waves, a popular request":           {servers: 18, slots: 16, tries: 8, waves: 8, popular: 0.6},
		"waves on few slots":                 {servers: 9, slots: 4, tries: 8, waves: 8, popular: 0.6},
		"waves on many servers":              {servers: 60, slots: 16, tries: 4, waves: 8, popular: 0.6},
		"harmful":                            {servers: 18, slots: 16, tries: 4, harmful: true},
		"harmful, a popular request":         {servers: 18, slots: 16, tries: 8, harmful: true, popular: 0.6},
		"harmful amid single ones":           {servers: 18, slots: 16, tries: 4, harmful: true, crashes: 1},
		"harmful amid waves":                 {servers: 18, slots: 16, tries: 4, harmful: true, waves: 8, popular: 0.6},
		"harmful on few slots amid waves":    {servers: 9, slots: 4, tries: 8, harmful: true, waves: 8, popular: 0.6},
		"harmful on many servers with waves": {servers: 60, slots: 16, tries: 4, harmful: true, waves: 8, popular: 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			asked, struck, refused, lost, most := 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				play := newPlay(mix, seed)
				play.run()
				asked, struck, refused, lost = asked+play.asked, struck+play.struck, refused+play.refused, lost+len(play.under)
				most = max(most, play.sentAfter())
			}
			t.Logf("harmless: %d asked, %d times on a lost server, %d refused; harmful: %.1f servers lost under it, sent %d times at most afterwards",
				asked, struck, refused, float64(lost)/seeds, most)
			assert.Equal(t, refused, 0)
			assert.Assert(t, most <= 3, "sent %d times", most)
		})
	}
}
