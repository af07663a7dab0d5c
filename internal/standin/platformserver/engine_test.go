package platformserver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// world is a few engines in virtual time.
type world struct {
	engines []*platformserver.Engine
	record  *platformserver.Record
}

func inWorld(t *testing.T, count int, test func(t *testing.T, world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		world := &world{record: &platformserver.Record{}}
		fleet := platformserver.NewFleet()
		for number := range count {
			identity := platformserver.Identity{
				Instance: fmt.Sprintf("i-%d", number), Service: "engines", Address: address(number),
			}
			world.engines = append(world.engines,
				platformserver.NewEngine(ctx, identity, platformserver.UsersModel(), fleet, world.record, 1))
		}
		defer func() {
			stop()
			synctest.Wait()
		}()
		test(t, world)
	})
}

func address(number int) string {
	return fmt.Sprintf("10.0.0.%d:80", number)
}

// asked is a request to an engine, and the answer once it is done.
type asked struct {
	*httptest.ResponseRecorder

	first time.Duration
	done  chan struct{}
}

// firstWrite notes when the first event comes.
type firstWrite struct {
	*httptest.ResponseRecorder

	asked *asked
	start time.Time
}

func (writer *firstWrite) Write(data []byte) (int, error) {
	if writer.asked.first == 0 {
		writer.asked.first = time.Since(writer.start)
	}
	return writer.ResponseRecorder.Write(data) //nolint:wrapcheck // passes it on
}

// ask sends a request for so many tokens to the first engine.
func (world *world) ask(prompt, out int, header map[string]string) *asked {
	request := httptest.NewRequest(http.MethodPost, "/chat/x", strings.NewReader("prompt"))
	request.Header.Set("Request-Id", "r-1")
	request.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", prompt, out))
	request.Header.Set("Deadline-Ms", "10000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	asked := &asked{ResponseRecorder: httptest.NewRecorder(), done: make(chan struct{})}
	writer := &firstWrite{ResponseRecorder: asked.ResponseRecorder, asked: asked, start: time.Now()}
	go func() {
		defer close(asked.done)
		defer func() { _ = recover() }() // a cut answer
		world.engines[0].ServeHTTP(writer, request)
	}()
	return asked
}

// TestFirstEvent holds the engine against the published formulas.
func TestFirstEvent(t *testing.T) {
	tests := map[string]struct {
		prompt  int
		helpers int
		// want is the reading and the first pass of writing.
		min, max time.Duration
	}{
		"a short prompt alone":        {prompt: 5000, min: 70 * time.Millisecond, max: 76 * time.Millisecond},
		"a long prompt alone":         {prompt: 133_000, min: 1900 * time.Millisecond, max: 2030 * time.Millisecond},
		"a long prompt in four parts": {prompt: 133_000, helpers: 3, min: 520 * time.Millisecond, max: 590 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 4, func(t *testing.T, world *world) {
				var names []string
				for helper := range test.helpers {
					names = append(names, address(helper+1))
				}
				asked := world.ask(test.prompt, 86, map[string]string{"Helper-Nodes": strings.Join(names, ",")})
				<-asked.done
				assert.Equal(t, asked.Body.String(), platformserver.Event("r-1", 1)+platformserver.Event("r-1", 2))
				assert.Assert(t, asked.first >= test.min && asked.first <= test.max, "%s", asked.first)
			})
		})
	}
}

func TestAnswers(t *testing.T) {
	names := func(count int) string {
		var list []string
		for range count {
			list = append(list, address(1))
		}
		return strings.Join(list, ",")
	}
	tests := map[string]struct {
		prompt     int
		header     map[string]string
		faults     platformserver.Faults
		wantStatus int
		wantNotRun bool
		wantRuns   int
	}{
		"served":               {prompt: 5000, wantStatus: http.StatusOK, wantRuns: 1},
		"another server":       {prompt: 5000, header: map[string]string{"Expect-Instance": "i-9"}, wantStatus: http.StatusMisdirectedRequest},
		"refused":              {prompt: 5000, faults: platformserver.Faults{Refused: 1}, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
		"its own error":        {prompt: 5000, faults: platformserver.Faults{Errors: 1}, wantStatus: http.StatusInternalServerError, wantRuns: 1},
		"beyond its memory":    {prompt: 240_000, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
		"16 helpers":           {prompt: 5000, header: map[string]string{"Helper-Nodes": names(16)}, wantStatus: http.StatusOK, wantRuns: 1},
		"17 helpers":           {prompt: 5000, header: map[string]string{"Helper-Nodes": names(17)}, wantStatus: http.StatusBadRequest, wantNotRun: true},
		"a helper that is not": {prompt: 5000, header: map[string]string{"Helper-Nodes": "10.9.9.9:80"}, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
		"no such ticket":       {prompt: 5000, header: map[string]string{"Helper-Nodes": address(1) + "/t1"}, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, world *world) {
				world.engines[0].SetFaults(test.faults)
				asked := world.ask(test.prompt, 43, test.header)
				<-asked.done
				assert.Equal(t, asked.Code, test.wantStatus)
				assert.Equal(t, asked.Header().Get("Not-Executed") != "", test.wantNotRun)
				assert.Equal(t, len(world.record.Runs()), test.wantRuns)
			})
		})
	}
}

// TestMemory has two prompts that do not fit one engine together.
func TestMemory(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, world *world) {
		first := world.ask(133_000, 430, nil)
		time.Sleep(10 * time.Millisecond)
		second := world.ask(133_000, 43, nil)
		<-first.done
		<-second.done
		assert.Assert(t, second.first > first.first+500*time.Millisecond, "%s after %s", second.first, first.first)
	})
}

// order sends an order to an engine.
func (world *world) order(number int, body string) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(body))
	world.engines[number].ServeHTTP(recorder, request)
	return recorder.Code
}

func TestTickets(t *testing.T) {
	tests := map[string]struct {
		run func(t *testing.T, world *world)
	}{
		"a prompt beyond one memory": {run: func(t *testing.T, world *world) {
			assert.Equal(t, world.order(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":60000}`), http.StatusOK)
			assert.Equal(t, world.order(1, `{"op":"reserve","id":"t","tokens":100000,"hold_ms":60000}`), http.StatusOK)
			asked := world.ask(300_000, 43, map[string]string{"Helper-Nodes": address(0) + "/t," + address(1) + "/t"})
			<-asked.done
			assert.Equal(t, asked.Code, http.StatusOK)
			count, _ := world.engines[0].Tickets()
			assert.Equal(t, count, 1, "the end of a request does not end its ticket")
			assert.Equal(t, world.order(0, `{"op":"release","id":"t"}`), http.StatusOK)
			count, _ = world.engines[0].Tickets()
			assert.Equal(t, count, 0)
		}},
		"more than there is": {run: func(t *testing.T, world *world) {
			assert.Equal(t, world.order(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":60000}`), http.StatusOK)
			assert.Equal(t, world.order(0, `{"op":"reserve","id":"u","tokens":100000,"hold_ms":60000}`), http.StatusConflict)
			assert.Equal(t, world.order(0, `{"op":"reserve","id":"v","tokens":300000,"hold_ms":60000}`), http.StatusBadRequest)
		}},
		"it lapses": {run: func(t *testing.T, world *world) {
			assert.Equal(t, world.order(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":1000}`), http.StatusOK)
			time.Sleep(900 * time.Millisecond)
			assert.Equal(t, world.order(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":1000}`), http.StatusOK)
			time.Sleep(900 * time.Millisecond)
			count, idle := world.engines[0].Tickets()
			assert.Equal(t, count, 1)
			assert.Equal(t, idle, 1800*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			count, _ = world.engines[0].Tickets()
			assert.Equal(t, count, 0)
		}},
		"two requests with one ticket": {run: func(t *testing.T, world *world) {
			assert.Equal(t, world.order(1, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":60000}`), http.StatusOK)
			header := map[string]string{"Helper-Nodes": address(1) + "/t"}
			first, second := world.ask(50_000, 430, header), world.ask(50_000, 43, header)
			<-first.done
			<-second.done
			assert.Equal(t, len(world.record.Violations()), 1)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { inWorld(t, 2, test.run) })
	}
}
