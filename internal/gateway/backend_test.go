package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// seal sets the headers that every response of a server must have.
func seal(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Response-Seal", "seal-of-"+request.Header.Get("Expect-Instance"))
}

// responses returns a backend that responds to every plain request with a status and body.
func responses(status int, body string) backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// refuse returns a backend that responds with a status and reports that it did not run the request.
func refuse(status int) backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(status)
	}
}

// closeConnection returns a backend that closes the connection without a response.
func closeConnection() backend {
	return func(*harness, int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
}

// hang returns a backend that sends nothing until the request is cancelled.
func hang() backend {
	return func(_ *harness, _ int, _ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
}

// firstThen handles the first request to any server with one backend and all later requests with another.
func firstThen(first, others backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		if len(harness.requests()) == 1 {
			first(harness, nth, writer, request)
			return
		}
		others(harness, nth, writer, request)
	}
}

const eventInterval = 50 * time.Millisecond

// streamEvents returns a backend that sends the events after Last-Event-Id up to last. If cutAfter is above zero, it closes the
// connection in the middle of the event after cutAfter.
func streamEvents(last, cutAfter int) backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			time.Sleep(eventInterval)
			if cutAfter > 0 && id > cutAfter {
				_, _ = fmt.Fprintf(writer, "id: %d\nda", id)
				_ = http.NewResponseController(writer).Flush()
				panic(http.ErrAbortHandler)
			}
			_, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", id, id)
			if err != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush()
		}
	}
}

// completeStream returns the body of a stream of last events.
func completeStream(last int) string {
	body := &strings.Builder{}
	for id := 1; id <= last; id++ {
		fmt.Fprintf(body, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return body.String()
}

// delayed wraps a backend so that it starts after a delay.
func delayed(pause time.Duration, next backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		time.Sleep(pause)
		next(harness, nth, writer, request)
	}
}
