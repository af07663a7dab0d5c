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

// Headers of the protocol of the platform's backend servers.
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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Faults are the failure modes of a server. Errors, Refused, LostResponses,
// Truncated and ExtraResponses are fractions (0 to 1) of its requests.
type Faults struct {
	// Errors get status 500 after they ran, and Refused get 503 without being run.
	Errors  float64
	Refused float64
	// Backoff is the Retry-After duration of refusals, or zero to omit the header.
	Rest time.Duration
	// RateLimited makes the server advertise a rate limit in all responses. RateLimit is the limit in requests per
	// second from all VMs together.
	Limited bool
	Limit   float64
	// LostResponses run and get no response, Truncated get a response that is cut
	// off halfway, and ExtraResponses get a second response that belongs to no
	// request.
	Lost  float64
	Cut   float64
	Extra float64
	// Hang makes the server respond to no request, and Slowdown multiplies its
	// processing times if above one.
	Hang bool
	Slow float64
}

// Identity identifies the server instance at an address.
type Identity struct {
	Instance string
	Service  string
	Address  string
	// StartedAt is the time at which the instance started.
	Born time.Time
}

// Crash makes a server crash when it starts to run a request with a given body.
type Crash struct {
	// Body is the body of the request that crashes the server.
	Body string
	// StopServer stops the server, or is nil to disable the crash. It must not block.
	End func()
}

// server is the part that engines and plain services have in common: identity,
// faults and the record. Its exported methods are safe for concurrent use.
type front struct {
	identity Identity
	record   *Record

	mu     sync.Mutex
	faults Faults
	crash  Crash
	random *rand.Rand
	// draining makes all responses advertise that the server drains.
	leaving bool
}

// newServer returns a server without faults. The seed determines which requests
// are affected by faults set later.
func newFront(identity Identity, record *Record, seed uint64) *front {
	return &front{identity: identity, record: record, random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // not security-relevant
}

// SetFaults replaces all faults for subsequent requests.
func (server *front) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
}

// SetCrash sets the request that crashes the server.
func (server *front) SetCrash(crash Crash) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.crash = crash
}

// AdvertiseDraining makes all subsequent responses advertise that the server drains.
func (server *front) SayLeaving() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.leaving = true
}

// advertise sets the response headers with the server's draining state and rate
// limit, and returns them as an arrival without request ID.
func (server *front) speak(writer http.ResponseWriter) Arrival {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.leaving {
		writer.Header().Set(headerLeaving, "1")
	}
	if server.faults.Limited {
		writer.Header().Set(headerLimit, strconv.FormatFloat(server.faults.Limit, 'f', -1, 64))
	}
	return Arrival{
		Instance: server.identity.Instance, At: time.Now(), Leaving: server.leaving, Rest: server.faults.Rest,
		Limited: server.faults.Limited, Limit: server.faults.Limit,
	}
}

// Identity returns the identity of the server instance.
func (server *front) Identity() Identity {
	return server.identity
}

// requestFaults has the faults that affect one request.
type misfortune struct {
	errors, refused, lost, cut, extra, hang bool
}

// drawFaults draws at random which faults affect a request.
func (server *front) draw() misfortune {
	server.mu.Lock()
	defer server.mu.Unlock()
	occurs := func(fraction float64) bool { return fraction > 0 && server.random.Float64() < fraction }
	faults := server.faults
	return misfortune{
		errors: occurs(faults.Errors), refused: occurs(faults.Refused), lost: occurs(faults.Lost),
		cut: occurs(faults.Cut), extra: occurs(faults.Extra), hang: faults.Hang,
	}
}

// slowdown returns the factor by which processing times are multiplied.
func (server *front) slow() float64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return max(1, server.faults.Slow)
}

// setResponseHeaders sets the headers that every response to a request that ran carries.
func (server *front) mark(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(headerID, request.Header.Get(headerID))
	writer.Header().Set(headerSeal, server.identity.Instance)
}

// writeNotRun writes a response stating that the request was not run. atFault is
// the address of the server at fault if it is another one, or empty.
func notRun(writer http.ResponseWriter, request *http.Request, status int, atFault string) {
	writer.Header().Set(headerID, request.Header.Get(headerID))
	writer.Header().Set(headerNotRun, "1")
	if atFault != "" {
		writer.Header().Set(headerAtServer, atFault)
	}
	writer.WriteHeader(status)
}

// checkRequest records a request and draws its faults. It returns false if the
// request was refused and a response has been written.
func (server *front) admit(writer http.ResponseWriter, request *http.Request) (misfortune, bool) {
	expected := request.Header.Get(headerExpect)
	drawnFaults := server.draw()
	arrival := server.speak(writer)
	arrival.ID = request.Header.Get(headerID)
	if !drawnFaults.refused {
		arrival.Rest = 0
	}
	isIntended := expected == "" || expected == server.identity.Instance
	if isIntended && arrival.ID != "" { // commands have no ID; memory is also released at a draining server
		server.record.arrive(arrival)
	}
	switch {
	case expected != "" && expected != server.identity.Instance:
		writer.Header().Set(headerInstance, server.identity.Instance)
		writer.Header().Set(headerID, request.Header.Get(headerID))
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return drawnFaults, false
	case drawnFaults.hang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case drawnFaults.refused:
		if arrival.Rest > 0 {
			writer.Header().Set(headerRetryAfter, strconv.FormatFloat(arrival.Rest.Seconds(), 'f', -1, 64))
		}
		notRun(writer, request, http.StatusServiceUnavailable, "")
		return drawnFaults, false
	}
	return drawnFaults, true
}

// recordRun records that the request runs from now on. If the request crashes the server, it aborts the handler.
func (server *front) begin(request *http.Request, body string) {
	server.record.recordRun(Run{
		ID: request.Header.Get(headerID), Service: server.identity.Service, Instance: server.identity.Instance,
		Organisation: request.Header.Get(headerOrganisation), KeySeen: request.Header.Get(headerKey) != "",
		Target: request.RequestURI, Body: body, At: time.Now(),
	})
	server.mu.Lock()
	crash := server.crash
	server.mu.Unlock()
	if crash.End != nil && body == crash.Body {
		crash.End()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

// readBody reads the whole body. Until then, net/http doesn't detect that the
// client has disconnected.
func readBody(writer http.ResponseWriter, request *http.Request) string {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return string(body)
}

// sendExtraResponse sends a response that belongs to no request after the one
// already sent, and closes the connection.
func surplus(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush() // fails only if the client has disconnected
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: nobody\r\nContent-Length: 2\r\n\r\nno", headerID)
}

// parseCount parses a number in a header. It returns zero if the value is invalid.
func count(value string) int {
	number, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return 0
	}
	return number
}
