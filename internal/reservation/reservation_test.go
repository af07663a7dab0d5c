package reservation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/upstream"
	"github.com/mastwinch/mastwinch/platform"
)

// behaviour is how a fake engine handles commands.
type behaviour string

const (
	normal       behaviour = "normal"
	full         behaviour = "full"
	unresponsive behaviour = "unresponsive"
	late         behaviour = "executes reserve commands late, without a reply"
	unreachable  behaviour = "unreachable"
	afterLate    behaviour = "replies after a late response to an earlier request"
	endless      behaviour = "replies without end"
	oddStatus    behaviour = "replies with a status that no response has"
	endlessSlow  behaviour = "replies without end, a byte at a time"
)

// testTicket is the ticket of all tests.
const testTicket = "t1"

const executionDelay = 6 * time.Second

// engine is a fake engine that holds memory by ticket.
type engine struct {
	mu        sync.Mutex
	behaviour behaviour
	// until has the expiry time of each reservation.
	until    map[string]time.Time
	commands int
}

func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var command struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		HoldMS int64  `json:"hold_ms"`
	}
	_ = json.NewDecoder(request.Body).Decode(&command)
	engine.mu.Lock()
	engine.commands++
	behaviour := engine.behaviour
	engine.mu.Unlock()
	ttl := time.Duration(command.HoldMS) * time.Millisecond
	switch {
	case behaviour == unresponsive:
		<-request.Context().Done()
		return
	case behaviour == full && command.Op == "reserve":
		writer.WriteHeader(http.StatusConflict)
		return
	case behaviour == late && command.Op == "reserve":
		time.AfterFunc(executionDelay, func() { engine.set(command.ID, ttl) })
		<-request.Context().Done()
		return
	case command.Op == "release":
		engine.set(command.ID, 0)
	default:
		engine.set(command.ID, ttl)
	}
	switch behaviour {
	case afterLate:
		respondAfterLate(writer)
		return
	case endless:
		respondWithoutEnd(writer, strings.Repeat(" ", 1<<10), time.Millisecond)
		return
	case oddStatus:
		respondWithOddStatus(writer)
		return
	case endlessSlow:
		respondWithoutEnd(writer, " ", 50*time.Millisecond)
		return
	default:
	}
	_, _ = writer.Write([]byte(`{"free": 1}`))
}

// respondWithoutEnd sends a reply that goes on until its connection is closed.
func respondWithoutEnd(writer http.ResponseWriter, part string, interval time.Duration) {
	_, err := io.WriteString(writer, `{"free": 1`)
	for err == nil {
		_, err = io.WriteString(writer, part)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(interval)
	}
}

// respondWithOddStatus sends a reply that is sound but for its status.
func respondWithOddStatus(writer http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString("HTTP/1.1 000 x\r\nContent-Length: 11\r\n\r\n{\"free\": 1}")
	_ = buffered.Flush()
	_ = conn.Close()
}

// respondAfterLate sends a refusal of an earlier request and then the reply to a command.
func respondAfterLate(writer http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString("HTTP/1.1 503 x\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"free\": 1}")
	_ = buffered.Flush()
	_ = conn.Close()
}

// TestLateResponseToARequestIsNoReply guards against the late response to an earlier request on the connection being taken for
// the reply to a command: memory that was reserved counted as refused.
func TestLateResponseToARequestIsNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manager, engines, claims, end := newManager(t, afterLate)
		defer end()
		reserved, err := manager.Reserve(t.Context(), testTicket, claims)
		assert.NilError(t, err)
		assert.Assert(t, engines[0].holds())
		reserved.Release()
		time.Sleep(time.Second)
		assert.Assert(t, !engines[0].holds())
	})
}

func (engine *engine) set(ticket string, ttl time.Duration) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.until[ticket] = time.Now().Add(ttl)
}

// holds reports whether the test's reservation has memory now.
func (engine *engine) holds() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return time.Now().Before(engine.until[testTicket])
}

func (engine *engine) setBehaviour(behaviour behaviour) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.behaviour = behaviour
}

// newManager returns a manager, fake engines with the given behaviours, a claim for each engine,
// and a function that stops everything.
func newManager(t *testing.T, behaviours ...behaviour) (*reservation.Manager, []*engine, []reservation.Claim, func()) {
	t.Helper()
	network := memnet.New()
	lifetime, end := context.WithCancel(t.Context())
	var engines []*engine
	var claims []reservation.Claim
	var servers []*http.Server
	for i, behaviour := range behaviours {
		engine := &engine{behaviour: behaviour, until: make(map[string]time.Time)}
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		engines = append(engines, engine)
		claims = append(claims, reservation.Claim{Instance: fmt.Sprintf("i-%d", i), Address: address, Tokens: 1000})
		if behaviour == unreachable {
			continue
		}
		listener, err := network.Listen(lifetime, address)
		assert.NilError(t, err)
		server := &http.Server{Handler: engine}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	links := reachability.NewMonitor(reachability.DefaultSettings(), slog.New(slog.DiscardHandler), time.Now)
	client := upstream.New(upstream.DefaultSettings(), network, noopListener{}, links, nil, time.Now)
	manager := reservation.New(lifetime, reservation.DefaultSettings(), platform.EngineCodec{}, client, slog.New(slog.DiscardHandler), time.Now)
	return manager, engines, claims, func() {
		end()
		time.Sleep(time.Minute) // idle connections expire and late commands are executed
		client.Sweep()
		for _, server := range servers {
			_ = server.Close()
		}
		synctest.Wait()
	}
}

func TestReserveAllOrNone(t *testing.T) {
	tests := map[string]struct {
		behaviours []behaviour
		wantErr    string
	}{
		"all have free memory":            {behaviours: []behaviour{normal, normal, normal}},
		"one is full":                     {behaviours: []behaviour{normal, full, normal}, wantErr: "i-1: not_free"},
		"one does not reply":              {behaviours: []behaviour{normal, normal, unresponsive}, wantErr: "i-2"},
		"one replies without end, fast":   {behaviours: []behaviour{normal, endless}, wantErr: "i-1"},
		"one replies without end, slowly": {behaviours: []behaviour{normal, endlessSlow}, wantErr: "i-1"},
		"one has an odd status":           {behaviours: []behaviour{normal, oddStatus}, wantErr: "i-1"},
		"one is unreachable":              {behaviours: []behaviour{unreachable, normal}, wantErr: "i-0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				manager, engines, claims, end := newManager(t, test.behaviours...)
				defer end()
				reserved, err := manager.Reserve(t.Context(), testTicket, claims)
				if test.wantErr != "" {
					assert.ErrorContains(t, err, test.wantErr)
					time.Sleep(time.Second)
					for i, engine := range engines {
						assert.Assert(t, !engine.holds(), "engine %d", i)
					}
					return
				}
				assert.NilError(t, err)
				time.Sleep(20 * time.Second)
				for i, engine := range engines {
					assert.Assert(t, engine.holds(), "engine %d renewed its reservation", i)
				}
				reserved.Release()
				time.Sleep(100 * time.Millisecond)
				for i, engine := range engines {
					assert.Assert(t, !engine.holds(), "engine %d", i)
				}
			})
		})
	}
}

// TestLateCommandsLeakNoMemory guards against memory that stays reserved after a release: an engine
// does not reply to reserve commands and executes them seconds later, when the memory is no longer
// needed.
func TestLateCommandsLeakNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manager, engines, claims, end := newManager(t, normal, normal)
		defer end()
		reserved, err := manager.Reserve(t.Context(), testTicket, claims)
		assert.NilError(t, err)
		engines[1].setBehaviour(late)
		time.Sleep(2 * time.Second)
		reserved.Release()
		engines[1].setBehaviour(normal)
		unused := time.Duration(0)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if engines[1].holds() {
				unused += 100 * time.Millisecond
			}
			assert.Assert(t, unused < 4*time.Second, "unused memory must be released within 4 s")
		}
		assert.Assert(t, !engines[1].holds())
	})
}

// TestStoppedVMLeaksNoMemory stops a VM without a release, and checks that its reservations expire.
func TestStoppedVMLeaksNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manager, engines, claims, end := newManager(t, normal, normal)
		_, err := manager.Reserve(t.Context(), testTicket, claims)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		assert.Assert(t, engines[0].holds())
		go end()
		time.Sleep(4 * time.Second)
		assert.Assert(t, !engines[0].holds())
		time.Sleep(2 * time.Minute)
	})
}

func TestWithHoldAtMost(t *testing.T) {
	settings := reservation.Settings{TTL: 3 * time.Second, RenewInterval: time.Second}
	for maxTTL, want := range map[time.Duration]reservation.Settings{
		0:                {TTL: 3 * time.Second, RenewInterval: time.Second},
		20 * time.Second: {TTL: 3 * time.Second, RenewInterval: time.Second},
		time.Second:      {TTL: time.Second, RenewInterval: time.Second / 3},
	} {
		assert.DeepEqual(t, settings.WithMaxTTL(maxTTL), want)
	}
}

// noopListener ignores what engines report in their responses.
type noopListener struct{}

var _ upstream.Listener = noopListener{}

func (noopListener) HandleResponse(string, string, time.Time, int, http.Header) {}
