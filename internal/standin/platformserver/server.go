package platformserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform's servers.
const (
	headerID           = "Request-Id"
	headerSeal         = "Response-Seal"
	headerNotRun       = "Not-Executed"
	headerExpect       = "Expect-Instance"
	headerInstance     = "Instance-Id"
	headerAtServer     = "At-Server"
	headerHelpers      = "Helper-Nodes"
	headerTokens       = "Token-Counts"
	headerLastEvent    = "Last-Event-Id"
	headerPriority     = "Request-Priority"
	headerDeadline     = "Deadline-Ms"
	headerOrganisation = "Tenant"
	headerKey          = "Authorization"
	headerLeaving      = "Server-Leaving"
	headerRetryAfter   = "Retry-After"
	headerLimit        = "Server-Limit"
)

// maxBodyBytes bounds what is read of a request.
const maxBodyBytes = 1 << 20

// Faults are how a server misbehaves. The parts are of its requests, from zero to
// one.
type Faults struct {
	// Errors are answered 500 after they ran, Refused 503 without being run.
	Errors  float64
	Refused float64
	// Rest is for how long a server that refuses wants nothing from the VM, or zero for no word of it.
	Rest time.Duration
	// Limited says that the server names a limit in all its answers, of so many requests a second from all VMs.
	Limited bool
	Limit   float64
	// Lost ran and get no answer, Cut break off within the answer, Extra get a
	// second answer, to no request.
	Lost  float64
	Cut   float64
	Extra float64
	// Hang says that nothing is answered, and Slow how many times as long all
	// takes, if above one.
	Hang bool
	Slow float64
}

// Identity is which server answers at an address.
type Identity struct {
	Instance string
	Service  string
	Address  string
	// Born is when it started.
	Born time.Time
}

// Crash is a request under which a server ends.
type Crash struct {
	// Body is that of the request.
	Body string
	// End ends the server. It must not block.
	End func()
}

// front is what engines and plain services have in common: identity, faults and
// the record.
type front struct {
	identity Identity
	record   *Record

	mu     sync.Mutex
	faults Faults
	crash  Crash
	random *rand.Rand
	// leaving says that all answers say that the server leaves.
	leaving bool
}

func newFront(identity Identity, record *Record, seed uint64) *front {
	return &front{identity: identity, record: record, random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // no secret
}

// SetFaults makes the server misbehave from now on.
func (front *front) SetFaults(faults Faults) {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.faults = faults
}

// SetCrash makes the server crash under a request from now on.
func (front *front) SetCrash(crash Crash) {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.crash = crash
}

// SayLeaving lets all answers say from now on that the server leaves.
func (front *front) SayLeaving() {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.leaving = true
}

// speak writes what the server says of itself in any answer, and returns that.
func (front *front) speak(writer http.ResponseWriter) Arrival {
	front.mu.Lock()
	defer front.mu.Unlock()
	if front.leaving {
		writer.Header().Set(headerLeaving, "1")
	}
	if front.faults.Limited {
		writer.Header().Set(headerLimit, strconv.FormatFloat(front.faults.Limit, 'f', -1, 64))
	}
	return Arrival{
		Instance: front.identity.Instance, At: time.Now(), Leaving: front.leaving, Rest: front.faults.Rest,
		Limited: front.faults.Limited, Limit: front.faults.Limit,
	}
}

// Identity returns which server this is.
func (front *front) Identity() Identity {
	return front.identity
}

// misfortune is what goes wrong with one request.
type misfortune struct {
	errors, refused, lost, cut, extra, hang bool
}

func (front *front) draw() misfortune {
	front.mu.Lock()
	defer front.mu.Unlock()
	happens := func(part float64) bool { return part > 0 && front.random.Float64() < part }
	faults := front.faults
	return misfortune{
		errors: happens(faults.Errors), refused: happens(faults.Refused), lost: happens(faults.Lost),
		cut: happens(faults.Cut), extra: happens(faults.Extra), hang: faults.Hang,
	}
}

// slow returns how many times as long all takes.
func (front *front) slow() float64 {
	front.mu.Lock()
	defer front.mu.Unlock()
	return max(1, front.faults.Slow)
}

// mark writes what every answer carries.
func (front *front) mark(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(headerID, request.Header.Get(headerID))
	writer.Header().Set(headerSeal, front.identity.Instance)
}

// notRun answers that the request was not run.
func notRun(writer http.ResponseWriter, request *http.Request, status int, atFault string) {
	writer.Header().Set(headerID, request.Header.Get(headerID))
	writer.Header().Set(headerNotRun, "1")
	if atFault != "" {
		writer.Header().Set(headerAtServer, atFault)
	}
	writer.WriteHeader(status)
}

// admit checks a request and draws its misfortune. It reports false when the
// request was answered.
func (front *front) admit(writer http.ResponseWriter, request *http.Request) (misfortune, bool) {
	expected := request.Header.Get(headerExpect)
	drawn := front.draw()
	arrival := front.speak(writer)
	arrival.ID = request.Header.Get(headerID)
	if !drawn.refused {
		arrival.Rest = 0
	}
	isMeant := expected == "" || expected == front.identity.Instance
	if isMeant && arrival.ID != "" { // an order has none: memory in use is given back also to a server that leaves
		front.record.arrive(arrival)
	}
	switch {
	case expected != "" && expected != front.identity.Instance:
		writer.Header().Set(headerInstance, front.identity.Instance)
		writer.Header().Set(headerID, request.Header.Get(headerID))
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return drawn, false
	case drawn.hang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case drawn.refused:
		if arrival.Rest > 0 {
			writer.Header().Set(headerRetryAfter, strconv.FormatFloat(arrival.Rest.Seconds(), 'f', -1, 64))
		}
		notRun(writer, request, http.StatusServiceUnavailable, "")
		return drawn, false
	}
	return drawn, true
}

// begin notes that the request runs from now on. It does not return under one that crashes the server.
func (front *front) begin(request *http.Request, body string) {
	front.record.begin(Run{
		ID: request.Header.Get(headerID), Service: front.identity.Service, Instance: front.identity.Instance,
		Organisation: request.Header.Get(headerOrganisation), KeySeen: request.Header.Get(headerKey) != "",
		Target: request.RequestURI, Body: body, At: time.Now(),
	})
	front.mu.Lock()
	crash := front.crash
	front.mu.Unlock()
	if crash.End != nil && body == crash.Body {
		crash.End()
		panic(http.ErrAbortHandler) // net/http's way of an answer that does not come
	}
}

// readBody reads the whole body, without which net/http does not notice a caller
// that leaves.
func readBody(writer http.ResponseWriter, request *http.Request) string {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return string(body)
}

// surplus sends an answer that belongs to no request after the one that was sent,
// and closes the connection.
func surplus(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush() // a caller that is gone needs nothing
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: nobody\r\nContent-Length: 2\r\n\r\nno", headerID)
}

// count reads one number of a header, or zero.
func count(value string) int {
	number, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return 0
	}
	return number
}
