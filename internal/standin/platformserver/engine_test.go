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

// fleet is a number of engines that runs in virtual time, with their record.
type fleet struct {
	engines []*platformserver.Engine
	record  *platformserver.Record
}

// runInFleet runs a test with the given number of engines.
func runInFleet(t *testing.T, count int, test func(t *testing.T, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		fleet := &fleet{record: &platformserver.Record{}}
		registry := platformserver.NewFleet()
		for number := range count {
			identity := platformserver.Identity{
				Instance: fmt.Sprintf("i-%d", number), Service: "engines", Address: address(number),
			}
			fleet.engines = append(fleet.engines,
				platformserver.NewEngine(ctx, identity, platformserver.ProductionModel(), registry, fleet.record, 1))
		}
		defer func() {
			stop()
			synctest.Wait()
		}()
		test(t, fleet)
	})
}

func address(number int) string {
	return fmt.Sprintf("10.0.0.%d:80", number)
}

// response is the response to a request to an engine. It is complete when
// done is closed.
type response struct {
	*httptest.ResponseRecorder

	// first is the time to first event.
	first time.Duration
	done  chan struct{}
}

// ttftWriter records the time to first event.
type ttftWriter struct {
	*httptest.ResponseRecorder

	response *response
	start    time.Time
}

func (writer *ttftWriter) Write(data []byte) (int, error) {
	if writer.response.first == 0 {
		writer.response.first = time.Since(writer.start)
	}
	return writer.ResponseRecorder.Write(data) //nolint:wrapcheck // must return the recorder's error unchanged
}

// send sends a request with the given numbers of prompt and output tokens to the
// first engine.
func (fleet *fleet) send(promptTokens, outputTokens int, header map[string]string) *response {
	return fleet.sendTo(context.Background(), 0, promptTokens, outputTokens, header)
}

// sendTo is send for any engine.
func (fleet *fleet) sendTo(ctx context.Context, number, promptTokens, outputTokens int, header map[string]string) *response {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/chat/x", strings.NewReader("prompt"))
	request.Header.Set("Request-Id", "r-1")
	request.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	request.Header.Set("Deadline-Ms", "10000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response := &response{ResponseRecorder: httptest.NewRecorder(), done: make(chan struct{})}
	writer := &ttftWriter{ResponseRecorder: response.ResponseRecorder, response: response, start: time.Now()}
	go func() {
		defer close(response.done)
		defer func() { _ = recover() }() // the handler panics to cut off the response
		fleet.engines[number].ServeHTTP(writer, request)
	}()
	return response
}

// sendAndLeave sends a request to the first engine, whose caller leaves after a time.
func (fleet *fleet) sendAndLeave(promptTokens int, header map[string]string, after time.Duration) {
	ctx, leave := context.WithTimeout(context.Background(), after)
	defer leave()
	<-fleet.sendTo(ctx, 0, promptTokens, 43, header).done
}

// TestFirstEvent checks the time to first event against the published formulas.
func TestFirstEvent(t *testing.T) {
	tests := map[string]struct {
		prompt  int
		helpers int
		// min and max bound the time of the prefill and the first decode pass.
		min, max time.Duration
	}{
		"a short prompt alone":          {prompt: 5000, min: 70 * time.Millisecond, max: 76 * time.Millisecond},
		"a long prompt alone":           {prompt: 133_000, min: 1900 * time.Millisecond, max: 2030 * time.Millisecond},
		"a long prompt on four engines": {prompt: 133_000, helpers: 3, min: 520 * time.Millisecond, max: 590 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 4, func(t *testing.T, fleet *fleet) {
				var names []string
				for helper := range test.helpers {
					names = append(names, address(helper+1))
				}
				response := fleet.send(test.prompt, 86, map[string]string{"Helper-Nodes": strings.Join(names, ",")})
				<-response.done
				assert.Equal(t, response.Body.String(), platformserver.Event("r-1", 1)+platformserver.Event("r-1", 2))
				assert.Assert(t, response.first >= test.min && response.first <= test.max, "%s", response.first)
			})
		})
	}
}

func TestResponses(t *testing.T) {
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
		"served":                        {prompt: 5000, wantStatus: http.StatusOK, wantRuns: 1},
		"intended for another instance": {prompt: 5000, header: map[string]string{"Expect-Instance": "i-9"}, wantStatus: http.StatusMisdirectedRequest, wantNotRun: true},
		"refused by a fault":            {prompt: 5000, faults: platformserver.Faults{Refused: 1}, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
		"server error":                  {prompt: 5000, faults: platformserver.Faults{Errors: 1}, wantStatus: http.StatusInternalServerError, wantRuns: 1},
		"prompt exceeds the memory":     {prompt: 240_000, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
		"16 helpers":                    {prompt: 5000, header: map[string]string{"Helper-Nodes": names(16)}, wantStatus: http.StatusOK, wantRuns: 1},
		"17 helpers":                    {prompt: 5000, header: map[string]string{"Helper-Nodes": names(17)}, wantStatus: http.StatusBadRequest, wantNotRun: true},
		"unknown helper":                {prompt: 5000, header: map[string]string{"Helper-Nodes": "10.9.9.9:80"}, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
		"unknown reservation":           {prompt: 5000, header: map[string]string{"Helper-Nodes": address(1) + "/t1"}, wantStatus: http.StatusServiceUnavailable, wantNotRun: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 2, func(t *testing.T, fleet *fleet) {
				fleet.engines[0].SetFaults(test.faults)
				response := fleet.send(test.prompt, 43, test.header)
				<-response.done
				assert.Equal(t, response.Code, test.wantStatus)
				assert.Equal(t, response.Header().Get("Not-Executed") != "", test.wantNotRun)
				assert.Equal(t, len(fleet.record.Runs()), test.wantRuns)
			})
		})
	}
}

// The two prompts don't fit into the memory of one engine together, so the second
// one must be queued until the first has finished.
func TestRequestWaitsForMemory(t *testing.T) {
	runInFleet(t, 1, func(t *testing.T, fleet *fleet) {
		first := fleet.send(133_000, 430, nil)
		time.Sleep(10 * time.Millisecond)
		second := fleet.send(133_000, 43, nil)
		<-first.done
		<-second.done
		assert.Assert(t, second.first > first.first+500*time.Millisecond, "%s after %s", second.first, first.first)
	})
}

// TestOwnReservationCostsNoRemoteStep guards against a prompt whose memory is at its engine alone and that is charged the steps of
// memory at other engines.
func TestOwnReservationCostsNoRemoteStep(t *testing.T) {
	took := func(header map[string]string) time.Duration {
		var elapsed time.Duration
		runInFleet(t, 1, func(t *testing.T, fleet *fleet) {
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"t","tokens":60000,"hold_ms":60000}`), http.StatusOK)
			started := time.Now()
			<-fleet.send(50_000, 430, header).done
			elapsed = time.Since(started)
		})
		return elapsed
	}
	assert.Equal(t, took(map[string]string{"Helper-Nodes": address(0) + "/t"}), took(nil))
}

// TestHelperStopsWithItsRequest guards against a helper that goes on prefilling for a request that has ended.
func TestHelperStopsWithItsRequest(t *testing.T) {
	runInFleet(t, 2, func(t *testing.T, fleet *fleet) {
		fleet.sendAndLeave(200_000, map[string]string{"Helper-Nodes": address(1)}, 100*time.Millisecond)
		response := fleet.sendTo(context.Background(), 1, 5000, 43, nil)
		<-response.done
		assert.Assert(t, response.first <= 80*time.Millisecond, "%s", response.first)
	})
}

// sendCommand sends a reservation command to an engine and returns the status.
func (fleet *fleet) sendCommand(number int, body string) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(body))
	fleet.engines[number].ServeHTTP(recorder, request)
	return recorder.Code
}

func TestReservations(t *testing.T) {
	tests := map[string]struct {
		run func(t *testing.T, fleet *fleet)
	}{
		"a prompt that exceeds the memory of one engine": {run: func(t *testing.T, fleet *fleet) {
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":60000}`), http.StatusOK)
			assert.Equal(t, fleet.sendCommand(1, `{"op":"reserve","id":"t","tokens":100000,"hold_ms":60000}`), http.StatusOK)
			response := fleet.send(300_000, 43, map[string]string{"Helper-Nodes": address(0) + "/t," + address(1) + "/t"})
			<-response.done
			assert.Equal(t, response.Code, http.StatusOK)
			count, _ := fleet.engines[0].Reservations()
			assert.Equal(t, count, 1, "the reservation must outlast the request")
			assert.Equal(t, fleet.sendCommand(0, `{"op":"release","id":"t"}`), http.StatusOK)
			count, _ = fleet.engines[0].Reservations()
			assert.Equal(t, count, 0)
		}},
		"more tokens than are free": {run: func(t *testing.T, fleet *fleet) {
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":60000}`), http.StatusOK)
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"u","tokens":100000,"hold_ms":60000}`), http.StatusConflict)
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"v","tokens":300000,"hold_ms":60000}`), http.StatusBadRequest)
		}},
		"a reservation expires unless it is renewed": {run: func(t *testing.T, fleet *fleet) {
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":1000}`), http.StatusOK)
			time.Sleep(900 * time.Millisecond)
			assert.Equal(t, fleet.sendCommand(0, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":1000}`), http.StatusOK)
			time.Sleep(900 * time.Millisecond)
			count, idle := fleet.engines[0].Reservations()
			assert.Equal(t, count, 1)
			assert.Equal(t, idle, 1800*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			count, _ = fleet.engines[0].Reservations()
			assert.Equal(t, count, 0)
		}},
		"two requests that use one reservation": {run: func(t *testing.T, fleet *fleet) {
			assert.Equal(t, fleet.sendCommand(1, `{"op":"reserve","id":"t","tokens":200000,"hold_ms":60000}`), http.StatusOK)
			header := map[string]string{"Helper-Nodes": address(1) + "/t"}
			first, second := fleet.send(50_000, 430, header), fleet.send(50_000, 43, header)
			<-first.done
			<-second.done
			assert.Equal(t, len(fleet.record.Violations()), 1)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { runInFleet(t, 2, test.run) })
	}
}
