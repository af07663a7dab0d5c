package platformserver

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Plain is a server of a plain service, which works on a few requests at once and
// refuses more.
type Plain struct {
	*front

	work  time.Duration
	slots chan struct{}
}

var _ http.Handler = (*Plain)(nil)

// NewPlain returns a server with so many slots that takes so long for a request.
func NewPlain(identity Identity, slots int, work time.Duration, record *Record, seed uint64) *Plain {
	return &Plain{front: newFront(identity, record, seed), work: work, slots: make(chan struct{}, slots)}
}

// PlainBody is the body of the answer to a request.
func PlainBody(id string) string {
	return "answer to " + id
}

// ServeHTTP implements http.Handler.
func (plain *Plain) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body := readBody(writer, request)
	drawn, ok := plain.admit(writer, request)
	if !ok {
		return
	}
	select {
	case plain.slots <- struct{}{}:
		defer func() { <-plain.slots }()
	default:
		notRun(writer, request, http.StatusServiceUnavailable, "")
		return
	}
	plain.begin(request, body)
	select {
	case <-time.After(time.Duration(plain.slow() * float64(plain.work))):
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	plain.answer(writer, request, drawn)
}

func (plain *Plain) answer(writer http.ResponseWriter, request *http.Request, drawn misfortune) {
	id := request.Header.Get(headerID)
	answer := PlainBody(id)
	plain.mark(writer, request)
	switch {
	case drawn.lost:
		panic(http.ErrAbortHandler)
	case drawn.errors:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	case drawn.cut:
		writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(writer, answer[:len(answer)/2]) //nolint:gosec // plain text; a caller that is gone needs no answer
		_ = http.NewResponseController(writer).Flush()        // as above
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer) //nolint:gosec // as above
	if drawn.extra {
		surplus(writer)
	}
}
