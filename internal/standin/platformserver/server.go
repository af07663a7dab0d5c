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
	headerParts        = "Prefix-Hash"
	headerLastEvent    = "Last-Event-Id"
	headerPriority     = "Request-Priority"
	headerDeadline     = "Deadline-Ms"
	headerOrganisation = "Tenant"
	headerKey          = "Authorization"
	headerDraining     = "Server-Leaving"
	headerRetryAfter   = "Retry-After"
	headerRateLimit    = "Server-Limit"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Faults are the failure modes of a server. Errors, Refused, LostResponses,
// Truncated, ExtraResponses and Unframed are fractions (0 to 1) of its requests.
type Faults struct {
	// Errors get status 500 after they ran, and Refused get 503 without being run.
	Errors  float64
	Refused float64
	// RefusalStatuses are the statuses of refusals, drawn at random. Empty means 503.
	RefusalStatuses []int
	// LateCopies makes the server send each refusal once more, before the next response on its connection. It needs a Listener.
	LateCopies bool
	// Backoff is the Retry-After duration of refusals, or zero to omit the header.
	Backoff time.Duration
	// RateLimited makes the server advertise a rate limit in all responses. RateLimit is the limit in requests per
	// second from all VMs together.
	RateLimited bool
	RateLimit   float64
	// LostResponses run and get no response, Truncated get a response that is cut
	// off halfway, and ExtraResponses get a second response that belongs to no
	// request.
	LostResponses  float64
	Truncated      float64
	ExtraResponses float64
	// Unframed responses state no length and end with their connection. Those of plain services are sent in two parts.
	// They are reset where they are cut off, which needs a Listener.
	Unframed float64
	// Garbled requests run and get bytes that are no response, and the connections of Forgotten ones are reset when the next
	// request comes, which needs a Listener.
	Garbled   float64
	Forgotten float64
	// Hang makes the server respond to no request, and Slowdown multiplies its
	// processing times if above one.
	Hang     bool
	Slowdown float64
}

// Identity identifies the server instance at an address.
type Identity struct {
	Instance string
	Service  string
	Address  string
	// StartedAt is the time at which the instance started.
	StartedAt time.Time
}

// Crash makes a server crash when it starts to run a request with a given body, or whose prompt has a given part.
type Crash struct {
	// Body is the body of the request that crashes the server.
	Body string
	// Part is the ID of the part, or empty for none.
	Part string
	// StopServer stops the server, or is nil to disable the crash. It must not block.
	StopServer func()
}

// server is the part that engines and plain services have in common: identity,
// faults and the record. Its exported methods are safe for concurrent use.
type server struct {
	identity Identity
	record   *Record

	mu     sync.Mutex
	faults Faults
	crash  Crash
	random *rand.Rand
	// draining makes all responses advertise that the server drains.
	draining bool
}

// newServer returns a server without faults. The seed determines which requests
// are affected by faults set later.
func newServer(identity Identity, record *Record, seed uint64) *server {
	return &server{identity: identity, record: record, random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // not security-relevant
}

// SetFaults replaces all faults for subsequent requests.
func (server *server) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
}

// SetCrash sets the request that crashes the server.
func (server *server) SetCrash(crash Crash) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.crash = crash
}

// AdvertiseDraining makes all subsequent responses advertise that the server drains.
func (server *server) AdvertiseDraining() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.draining = true
}

// advertise sets the response headers with the server's draining state and rate
// limit, and returns them as an arrival without request ID.
func (server *server) advertise(writer http.ResponseWriter) Arrival {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.draining {
		writer.Header().Set(headerDraining, "1")
	}
	if server.faults.RateLimited {
		writer.Header().Set(headerRateLimit, strconv.FormatFloat(server.faults.RateLimit, 'f', -1, 64))
	}
	return Arrival{
		Instance: server.identity.Instance, At: time.Now(), Draining: server.draining, Backoff: server.faults.Backoff,
		RateLimited: server.faults.RateLimited, RateLimit: server.faults.RateLimit,
	}
}

// Identity returns the identity of the server instance.
func (server *server) Identity() Identity {
	return server.identity
}

// requestFaults has the faults that affect one request.
type requestFaults struct {
	errors, refused, lost, cut, extra, hang, unframed, garbled, forgotten bool
	// refusalStatus is the status of a refusal, and lateCopy whether it is sent once more, late.
	refusalStatus int
	lateCopy      bool
}

// drawFaults draws at random which faults affect a request.
func (server *server) drawFaults() requestFaults {
	server.mu.Lock()
	defer server.mu.Unlock()
	occurs := func(fraction float64) bool { return fraction > 0 && server.random.Float64() < fraction }
	faults := server.faults
	drawn := requestFaults{
		errors: occurs(faults.Errors), refused: occurs(faults.Refused), lost: occurs(faults.LostResponses),
		cut: occurs(faults.Truncated), extra: occurs(faults.ExtraResponses), hang: faults.Hang,
		unframed: occurs(faults.Unframed), garbled: occurs(faults.Garbled), forgotten: occurs(faults.Forgotten), refusalStatus: http.StatusServiceUnavailable, lateCopy: faults.LateCopies,
	}
	if count := len(faults.RefusalStatuses); count > 0 {
		drawn.refusalStatus = faults.RefusalStatuses[server.random.IntN(count)]
	}
	return drawn
}

// slowdown returns the factor by which processing times are multiplied.
func (server *server) slowdown() float64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return max(1, server.faults.Slowdown)
}

// setResponseHeaders sets the headers that every response to a request that ran carries.
func (server *server) setResponseHeaders(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(headerID, request.Header.Get(headerID))
	writer.Header().Set(headerSeal, server.identity.Instance)
}

// setUnframed makes the response to a request end with its connection.
func setUnframed(writer http.ResponseWriter) {
	writer.Header().Set("Transfer-Encoding", "identity")
}

// writeNotRun writes a response stating that the request was not run. atFault is
// the address of the server at fault if it is another one, or empty.
func writeNotRun(writer http.ResponseWriter, request *http.Request, status int, atFault string) {
	writer.Header().Set(headerID, request.Header.Get(headerID))
	writer.Header().Set(headerNotRun, "1")
	if atFault != "" {
		writer.Header().Set(headerAtServer, atFault)
	}
	writer.WriteHeader(status)
}

// checkRequest records a request and draws its faults. It returns false if the
// request was refused and a response has been written.
func (server *server) checkRequest(writer http.ResponseWriter, request *http.Request) (requestFaults, bool) {
	expected := request.Header.Get(headerExpect)
	drawnFaults := server.drawFaults()
	arrival := server.advertise(writer)
	arrival.ID = request.Header.Get(headerID)
	if !drawnFaults.refused {
		arrival.Backoff = 0
	}
	isIntended := expected == "" || expected == server.identity.Instance
	if isIntended && arrival.ID != "" { // commands have no ID; memory is also released at a draining server
		server.record.recordArrival(arrival)
	}
	switch {
	case expected != "" && expected != server.identity.Instance:
		writer.Header().Set(headerInstance, server.identity.Instance)
		writeNotRun(writer, request, http.StatusMisdirectedRequest, "")
		return drawnFaults, false
	case drawnFaults.hang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case drawnFaults.refused:
		if arrival.Backoff > 0 {
			writer.Header().Set(headerRetryAfter, strconv.FormatFloat(arrival.Backoff.Seconds(), 'f', -1, 64))
		}
		writer.Header().Set("Content-Length", "0") // nothing of it follows the flush of a late copy
		writeNotRun(writer, request, drawnFaults.refusalStatus, "")
		if drawnFaults.lateCopy {
			sendAgainLater(writer, request, fmt.Sprint(drawnFaults.refusalStatus, " refused"))
		}
		return drawnFaults, false
	}
	return drawnFaults, true
}

// recordRun records that the request runs from now on, until end is called. If the request crashes the server, it aborts the handler.
func (server *server) recordRun(request *http.Request, body string) (end func()) {
	end = server.record.recordRun(Run{
		ID: request.Header.Get(headerID), Service: server.identity.Service, Instance: server.identity.Instance,
		Organisation: request.Header.Get(headerOrganisation), KeySeen: request.Header.Get(headerKey) != "",
		Target: request.RequestURI, Body: body, At: time.Now(),
	})
	server.mu.Lock()
	crash := server.crash
	server.mu.Unlock()
	hasPart := crash.Part != "" && strings.Contains(request.Header.Get(headerParts), crash.Part)
	if crash.StopServer != nil && (body == crash.Body || hasPart) {
		crash.StopServer()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	return end
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
func sendExtraResponse(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush() // fails only if the client has disconnected
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: nobody\r\nContent-Length: 2\r\n\r\nno", headerID)
}

// parseCount parses a number in a header. It returns zero if the value is invalid.
func parseCount(value string) int {
	number, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return 0
	}
	return number
}
