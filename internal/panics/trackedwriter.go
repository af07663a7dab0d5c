package panics

import "net/http"

var _ http.ResponseWriter = (*trackedWriter)(nil)

// trackedWriter records whether a response was started.
type trackedWriter struct {
	http.ResponseWriter

	written bool
}

// WriteHeader implements http.ResponseWriter. A status that net/http refuses starts no response.
func (trackedwriter *trackedWriter) WriteHeader(status int) {
	trackedwriter.ResponseWriter.WriteHeader(status)
	trackedwriter.written = true
}

// Write implements http.ResponseWriter.
func (trackedwriter *trackedWriter) Write(data []byte) (int, error) {
	trackedwriter.written = true
	return trackedwriter.ResponseWriter.Write(data) //nolint:wrapcheck // handlers compare the error
}

// Unwrap makes the writer usable with http.ResponseController.
func (trackedwriter *trackedWriter) Unwrap() http.ResponseWriter {
	return trackedwriter.ResponseWriter
}
