// Package panics handles panics of HTTP handlers. net/http closes the connection without an answer and logs nothing that names the
// request.
package panics

import (
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// Message is the message of the log line for each panic.
const Message = "request handler panicked"

// Handling says what is done with a panic.
type Handling struct {
	// RequestID returns the ID of a request for the log, or an empty string.
	RequestID func(request *http.Request) string
	// Respond writes the response to a request whose handler panicked before it wrote anything.
	Respond func(writer http.ResponseWriter, request *http.Request)
	// Count counts a panic.
	Count  func()
	Logger *slog.Logger
}

// Handler returns a handler that handles the panics of next. It aborts the connection if next had written something, as next does itself
// with http.ErrAbortHandler.
func (handling Handling) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		tracked := &trackedWriter{ResponseWriter: writer}
		defer func() {
			if recovered := recover(); recovered != nil {
				handling.handle(tracked, request, recovered)
			}
		}()
		next.ServeHTTP(tracked, request)
	})
}

// handle handles a panic with the given value.
func (handling Handling) handle(writer *trackedWriter, request *http.Request, recovered any) {
	if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	handling.Count()
	handling.Logger.Error(Message, "request_id", handling.RequestID(request), "panic", recovered, "stack", string(debug.Stack()))
	if writer.written {
		panic(http.ErrAbortHandler)
	}
	clear(writer.Header())
	handling.Respond(writer, request)
}
