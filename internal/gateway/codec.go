package gateway

import (
	"net/http"
	"time"

	"github.com/mastwinch/mastwinch/internal/call"
)

// Codec translates heads between the protocol of callers and servers and the
// product's own types.
type Codec interface {
	// Head decodes what a caller states. It returns a *call.FieldError when a
	// field is wrong, and as much of the head as it understood.
	Head(request *http.Request) (call.Head, error)
	// ServerHeader returns the header for a server.
	ServerHeader(header http.Header, dispatch call.Dispatch) http.Header
	// Answer decodes what a server says in the head of its answer.
	Answer(status int, header http.Header) call.Answer
	// Notice decodes what the server that was meant says of itself in the head of an answer.
	Notice(status int, header http.Header) call.Notice
	// ClientHeader returns the header for the caller of a server's answer.
	ClientHeader(header http.Header) http.Header
	// Refusal adds to the header of an answer of the gateway's own.
	Refusal(header http.Header, requestID string, retryAfter time.Duration)
}
