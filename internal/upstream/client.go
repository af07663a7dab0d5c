// Package upstream sends HTTP requests to backend servers over a pool of idle
// connections.
//
// It is used in place of the transport of net/http, which retries some requests
// by itself and does not show which connection a response came from. Here each
// request is sent at most once, and a connection is reused only if its last
// request and response were regular.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// readBufferSize is the size of the read buffer of a connection in bytes. The
// header and most responses that are not streams fit into it.
const readBufferSize = 4 << 10

// Settings limit the connections to servers.
type Settings struct {
	// MaxIdle is the maximum number of idle connections to one server.
	MaxIdle int `yaml:"max_idle" validate:"min=0,max=1024"`
	// IdleTime is how long an idle connection is kept if the server advertises no idle timeout.
	IdleTime time.Duration `yaml:"idle_time" validate:"min=10ms"`
	// IdleMargin is subtracted from the idle timeout, so that the server does not close a connection that is being reused.
	IdleMargin time.Duration `yaml:"idle_margin" validate:"min=0"`
	// MaxRequests is the maximum number of requests that a connection carries. For each it keeps 8 bytes.
	MaxRequests int `yaml:"max_requests" validate:"min=1"`
	// The timeout for a new connection is OpenFactor times the time that the last one to the server took, but at least
	// OpenMin. It doubles with each timeout since, up to OpenMax.
	OpenMin    time.Duration `yaml:"open_min" validate:"min=10ms"`
	OpenFactor float64       `yaml:"open_times" validate:"min=1"`
	OpenMax    time.Duration `yaml:"open_max" validate:"min=10ms,gtefield=OpenMin"`
	// HistoryRetention is how long the record of the connection attempts to a server is kept after the last one.
	HistoryRetention time.Duration `yaml:"open_memory" validate:"min=1s"`
}

// DefaultSettings returns settings for servers in several data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		MaxIdle:          32,
		IdleTime:         4 * time.Second,
		IdleMargin:       700 * time.Millisecond,
		MaxRequests:      512,
		OpenMin:          150 * time.Millisecond,
		OpenFactor:       4,
		OpenMax:          500 * time.Millisecond,
		HistoryRetention: time.Minute,
	}
}

// Request is a request to a server.
type Request struct {
	// ID is what the server's responses identify the request by, or empty if they bear no ID. A connection carries at
	// most one request of each ID, the empty one included: a late copy of its response could not be told from the
	// response to a second one.
	ID string
	// Server is the ID of the server. It is passed to the Listener and not sent.
	Server string
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// DataCentres are those through whose VMs the request may be led; empty allows all. A direct connection is always allowed.
	DataCentres []string
	// Repeatable is whether the request may be sent to another server after this one may have run it.
	Repeatable bool
	// Kind tells which responses are likely to state their ends alike. It is not sent.
	Kind Kind
}

// NotSentError is returned if no connection could be opened, so that no part of the request reached the server.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "request not sent to " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the error of the connection attempt.
func (e *NotSentError) Unwrap() error {
	return e.Err
}

// Client sends requests to servers and keeps idle connections to them. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   network.Dialer
	listener Listener
	links    *reachability.Monitor
	// tunnels opens connections when the VM's own links are in doubt; nil opens none.
	tunnels *tunnel.Dialer
	now     func() time.Time

	mu sync.Mutex
	// idle has the idle connections by address, the most recently used one last.
	idle map[string][]*connection
	// abandonable has the direct connections with a request in flight that may be repeated.
	abandonable map[*connection]bool
	// closed is set once no connection is kept any more.
	closed bool
	// inFlight counts the requests in flight by the address of their server. It has no zeros.
	inFlight map[string]int
	// openings counts the attempts to open connections by their result.
	openings map[OpenResult]int
	history  *history
	ends     *ends

	// late counts the responses that belonged to no request in flight.
	late atomic.Int64
}

// Listener receives the header of each response before the caller of Send does. Servers report their state in header
// fields of all responses, whatever the request was.
type Listener interface {
	// HandleResponse handles the header of a response to a request that was sent at sentAt. The state in the header is
	// from a later time. via is the address of the VM that the connection led through, or empty for a direct one.
	HandleResponse(server, via string, sentAt time.Time, status int, header http.Header)
}

// New returns a client without open connections. It records in links what it observes of the VM's links to the servers, and
// uses tunnels, unless nil, while these are in doubt.
func New(
	settings Settings, dialer network.Dialer, listener Listener, links *reachability.Monitor, tunnels *tunnel.Dialer, now func() time.Time,
) *Client {
	return &Client{
		tunnels:     tunnels,
		abandonable: make(map[*connection]bool),

		settings: settings,
		listener: listener,
		links:    links,
		now:      now,
		dialer:   dialer,
		history:  newHistory(settings, now),
		ends:     newEnds(now),
		idle:     make(map[string][]*connection),
		inFlight: make(map[string]int),
		openings: make(map[OpenResult]int),
	}
}

// Send sends a request and returns the response after its header was received.
// matches reports whether a response belongs to this request; a late response to
// an earlier request is skipped. The connection is closed if ctx ends before the
// response is closed. The caller must close the response.
func (client *Client) Send(
	ctx context.Context, address string, request Request, matches func(http.Header) bool,
) (*Response, error) {
	connection, err := client.acquire(ctx, address, request)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	connection.carried.add(request.ID)
	sentAt := client.now()
	connection.stop = context.AfterFunc(ctx, connection.close)
	client.begin(connection, request.Repeatable)
	response, err := connection.roundTrip(request, matches)
	client.late.Add(int64(connection.skipped))
	if err != nil {
		client.end(connection)
		connection.close()
		if connection.pooled && !errors.Is(context.Cause(ctx), context.Canceled) {
			client.closeIdle(address)
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(context.Cause(ctx), err.Error())
		}
		client.recordUnanswered(connection)
		return nil, connection.explain(err)
	}
	client.listener.HandleResponse(request.Server, connection.via.Address, sentAt, response.Status, response.Header)
	response.client = client
	response.Via = connection.via.Address
	client.ends.record(request.Kind, response.StatesEnd())
	return response, nil
}

// begin records that a request is sent on a connection.
func (client *Client) begin(connection *connection, repeatable bool) {
	connection.outstanding = true
	client.addInFlight(connection.address, 1)
	if connection.isTunnelled() {
		return
	}
	client.links.Began()
	if repeatable {
		client.mu.Lock()
		defer client.mu.Unlock()
		client.abandonable[connection] = true
	}
}

// end records that the response to the request on a connection, or the wait for it, has ended.
func (client *Client) end(connection *connection) {
	if !connection.outstanding {
		return
	}
	connection.outstanding = false
	client.addInFlight(connection.address, -1)
	if connection.isTunnelled() {
		return
	}
	client.links.Ended()
	client.mu.Lock()
	defer client.mu.Unlock()
	delete(client.abandonable, connection)
}

// acquire returns an idle connection that can be reused for the request, or a new one.
func (client *Client) acquire(ctx context.Context, address string, request Request) (*connection, error) {
	requirements := tunnel.Requirements{DataCentres: request.DataCentres, EndTold: client.ends.mayBeUnstated(request.Kind)}
	for {
		pooled := client.pop(address, request.ID, requirements)
		if pooled == nil {
			break
		}
		if pooled.isQuiet() && client.now().Before(pooled.expiresAt) {
			pooled.pooled = true
			return pooled, nil
		}
		pooled.close()
	}
	dialled, err := client.dial(ctx, address, requirements)
	client.abandonIfCut()
	if err != nil {
		return nil, err
	}
	opened := &connection{
		address: address, conn: dialled.Conn, via: dialled.Via, reusableUntil: dialled.ReusableUntil, endUntold: dialled.EndUntold, links: client.links,
		carried: newCarried(),
	}
	opened.reader = bufio.NewReaderSize(opened, readBufferSize)
	return opened, nil
}

// abandonIfCut closes the direct connections whose requests may be repeated if the VM's own links count as cut and no server
// has sent a byte on any of them, so that these requests can go on through other VMs.
func (client *Client) abandonIfCut() {
	if verdict, silent := client.links.State(); verdict != reachability.Unreachable || !silent {
		return
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	for connection := range client.abandonable {
		connection.abandoned.Store(true)
		connection.close()
	}
	clear(client.abandonable)
}

// encode returns the request in the format of HTTP/1.1.
func encode(request Request) []byte {
	buffer := &bytes.Buffer{}
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(buffer) // never fails with a buffer
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	return buffer.Bytes()
}
