package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// seal writes what every answer of a server carries.
func seal(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Response-Seal", "seal-of-"+request.Header.Get("Expect-Instance"))
}

// answers answers a plain request with a status.
func answers(status int, body string) backend {
	return func(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// refuses says that it did not run the request.
func refuses(status int) backend {
	return func(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(status)
	}
}

// breaks closes the connection without an answer.
func breaks() backend {
	return func(*world, int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
}

// hangs says nothing until the caller leaves.
func hangs() backend {
	return func(_ *world, _ int, _ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
}

// anyFirst does one thing with the first request to any server, another with
// the others.
func anyFirst(one, others backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		if len(world.requests()) == 1 {
			one(world, nth, writer, request)
			return
		}
		others(world, nth, writer, request)
	}
}

const gapOfEvents = 50 * time.Millisecond

// streams sends events up to last, from the one after the caller's last on. It
// breaks off within the event after cut, when cut is above zero.
func streams(last, cut int) backend {
	return func(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			time.Sleep(gapOfEvents)
			if cut > 0 && id > cut {
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

// wholeStream is the body of a stream of so many events.
func wholeStream(last int) string {
	body := &strings.Builder{}
	for id := 1; id <= last; id++ {
		fmt.Fprintf(body, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return body.String()
}

// after waits before it answers.
func after(pause time.Duration, then backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		time.Sleep(pause)
		then(world, nth, writer, request)
	}
}
