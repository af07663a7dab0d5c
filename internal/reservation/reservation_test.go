package reservation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/upstream"
	"github.com/mastwinch/mastwinch/platform"
)

// behaviour is how an engine takes orders.
type behaviour string

const (
	obeys    behaviour = "obeys"
	full     behaviour = "full"
	silent   behaviour = "silent"
	latent   behaviour = "carries reservations out late, without an answer"
	unlisted behaviour = "does not listen"
)

// testTicket is the ticket of all tests.
const testTicket = "t1"

const lateness = 6 * time.Second

// engine is an engine that keeps memory for tickets.
type engine struct {
	mu        sync.Mutex
	behaviour behaviour
	// until has when each ticket lapses.
	until  map[string]time.Time
	orders int
}

func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		HoldMS int64  `json:"hold_ms"`
	}
	_ = json.NewDecoder(request.Body).Decode(&order)
	engine.mu.Lock()
	engine.orders++
	behaviour := engine.behaviour
	engine.mu.Unlock()
	hold := time.Duration(order.HoldMS) * time.Millisecond
	switch {
	case behaviour == silent:
		<-request.Context().Done()
		return
	case behaviour == full && order.Op == "reserve":
		writer.WriteHeader(http.StatusConflict)
		return
	case behaviour == latent && order.Op == "reserve":
		time.AfterFunc(lateness, func() { engine.set(order.ID, hold) })
		<-request.Context().Done()
		return
	case order.Op == "release":
		engine.set(order.ID, 0)
	default:
		engine.set(order.ID, hold)
	}
	_, _ = writer.Write([]byte(`{"free": 1}`))
}

func (engine *engine) set(ticket string, hold time.Duration) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.until[ticket] = time.Now().Add(hold)
}

// holds reports whether the test's ticket has memory now.
func (engine *engine) holds() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return time.Now().Before(engine.until[testTicket])
}

func (engine *engine) behave(behaviour behaviour) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.behaviour = behaviour
}

// newBook returns a book over engines that behave so.
func newBook(t *testing.T, behaviours ...behaviour) (*reservation.Book, []*engine, []reservation.Want, func()) {
	t.Helper()
	network := memnet.New()
	life, end := context.WithCancel(t.Context())
	var engines []*engine
	var wants []reservation.Want
	var servers []*http.Server
	for i, behaviour := range behaviours {
		engine := &engine{behaviour: behaviour, until: make(map[string]time.Time)}
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		engines = append(engines, engine)
		wants = append(wants, reservation.Want{Instance: fmt.Sprintf("i-%d", i), Address: address, Tokens: 1000})
		if behaviour == unlisted {
			continue
		}
		listener, err := network.Listen(life, address)
		assert.NilError(t, err)
		server := &http.Server{Handler: engine}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	client := upstream.New(upstream.DefaultSettings(), network, deaf{}, time.Now)
	book := reservation.New(life, reservation.DefaultSettings(), platform.Orders{}, client, slog.New(slog.DiscardHandler), time.Now)
	return book, engines, wants, func() {
		end()
		time.Sleep(time.Minute) // kept connections lapse, late orders are over
		client.Sweep()
		for _, server := range servers {
			_ = server.Close()
		}
		synctest.Wait()
	}
}

func TestGatherAllOrNone(t *testing.T) {
	tests := map[string]struct {
		behaviours []behaviour
		wantErr    string
	}{
		"all have memory":     {behaviours: []behaviour{obeys, obeys, obeys}},
		"one is full":         {behaviours: []behaviour{obeys, full, obeys}, wantErr: "i-1: not_free"},
		"one says nothing":    {behaviours: []behaviour{obeys, obeys, silent}, wantErr: "i-2"},
		"one does not listen": {behaviours: []behaviour{unlisted, obeys}, wantErr: "i-0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				book, engines, wants, end := newBook(t, test.behaviours...)
				defer end()
				held, err := book.Gather(t.Context(), testTicket, wants)
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
					assert.Assert(t, engine.holds(), "engine %d renews", i)
				}
				held.Release()
				time.Sleep(100 * time.Millisecond)
				for i, engine := range engines {
					assert.Assert(t, !engine.holds(), "engine %d", i)
				}
			})
		})
	}
}

// TestLateOrdersLeakNothing has an engine that leaves reservations unanswered
// and carries them out seconds later, when the memory is not wanted any more.
func TestLateOrdersLeakNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book, engines, wants, end := newBook(t, obeys, obeys)
		defer end()
		held, err := book.Gather(t.Context(), testTicket, wants)
		assert.NilError(t, err)
		engines[1].behave(latent)
		time.Sleep(2 * time.Second)
		held.Release()
		engines[1].behave(obeys)
		unused := time.Duration(0)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if engines[1].holds() {
				unused += 100 * time.Millisecond
			}
			assert.Assert(t, unused < 4*time.Second, "memory that nobody uses is given back")
		}
		assert.Assert(t, !engines[1].holds())
	})
}

// TestDeadVMLeaksNothing ends the VM's life without a release.
func TestDeadVMLeaksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book, engines, wants, end := newBook(t, obeys, obeys)
		_, err := book.Gather(t.Context(), testTicket, wants)
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
	settings := reservation.Settings{Hold: 3 * time.Second, Renew: time.Second}
	for most, want := range map[time.Duration]reservation.Settings{
		0:                {Hold: 3 * time.Second, Renew: time.Second},
		20 * time.Second: {Hold: 3 * time.Second, Renew: time.Second},
		time.Second:      {Hold: time.Second, Renew: time.Second / 3},
	} {
		assert.DeepEqual(t, settings.WithHoldAtMost(most), want)
	}
}

// deaf takes nothing from what engines say of themselves.
type deaf struct{}

var _ upstream.Listener = deaf{}

func (deaf) Heard(string, time.Time, int, http.Header) {}
