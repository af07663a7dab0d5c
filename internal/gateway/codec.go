package gateway

import (
	"net/http"
	"time"

	"github.com/mastwinch/mastwinch/internal/call"
)

// Codec translates between HTTP headers of callers and backend servers and the gateway's own types.
// It must be safe for concurrent use.
type Codec interface {
	// Head decodes the header of a caller's request. It returns a *call.FieldError when a field is
	// malformed, along with all fields that could be decoded.
	Head(request *http.Request) (call.Head, error)
	// ServerHeader returns the header to send to a server.
	ServerHeader(header http.Header, dispatch call.Dispatch) http.Header
	// Response decodes the status and header of a server's response.
	Response(status int, header http.Header) call.Response
	// Notice decodes what the addressed server states about itself in the header of a
	// response.
	Notice(status int, header http.Header) call.Notice
	// CallerHeader returns the header to send to the caller for the header of a server's response.
	CallerHeader(header http.Header) http.Header
	// Refusal adds fields to the header of a response that the gateway itself generates. A zero
	// retryAfter means that the response does not state when to retry.
	Refusal(header http.Header, requestID string, retryAfter time.Duration)
}
