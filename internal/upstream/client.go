// Package upstream sends requests to backend servers over kept connections.
//
// It stands beside net/http's transport since that one sends some requests
// again by itself and hides which connection an answer came on. Here each send
// happens at most once, and a connection is used again only when nothing on it
// was out of the ordinary.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// readBuffer is the size of a connection's read buffer. Heads and most plain
// answers fit.
const readBuffer = 4 << 10

// Settings bound the connections.
type Settings struct {
	// MaxIdle is how many connections are kept for one server.
	MaxIdle int `yaml:"max_idle" validate:"min=0,max=1024"`
	// IdleTime is how long a connection is kept when the server names no time.
	IdleTime time.Duration `yaml:"idle_time" validate:"min=10ms"`
	// IdleMargin is taken off the time that a server names.
	IdleMargin time.Duration `yaml:"idle_margin" validate:"min=0"`
	// OpenMin is how long a new connection may take at least, OpenTimes the multiple of what the last one to its server
	// took, and OpenMax how long it may take at most, however many took too long.
	OpenMin   time.Duration `yaml:"open_min" validate:"min=10ms"`
	OpenTimes float64       `yaml:"open_times" validate:"min=1"`
	OpenMax   time.Duration `yaml:"open_max" validate:"min=10ms,gtefield=OpenMin"`
	// OpenMemory is for how long it is known how long the last one took.
	OpenMemory time.Duration `yaml:"open_memory" validate:"min=1s"`
}

// DefaultSettings returns settings for data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		MaxIdle:    32,
		IdleTime:   4 * time.Second,
		IdleMargin: 700 * time.Millisecond,
		OpenMin:    150 * time.Millisecond,
		OpenTimes:  4,
		OpenMax:    500 * time.Millisecond,
		OpenMemory: time.Minute,
	}
}

// Request is a request as it goes to a server.
type Request struct {
	// Server is the ID of the server that is meant. It is for Listener and not sent.
	Server string
	Method string
	// Target is the path and the query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// NotSentError says that nothing of the request reached the server.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "not sent to " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Err
}

// Client keeps connections to servers.
type Client struct {
	settings Settings
	dialer   Dialer
	listener Listener
	now      func() time.Time

	mu sync.Mutex
	// idle has the kept connections by address, the last used last.
	idle     map[string][]*connection
	opened   int
	openings *openings
}

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Listener hears the head of each answer before who asked does, so that what servers say beside the answer is heard
// whatever was asked of them.
type Listener interface {
	// The answer was asked for at a moment, and made after it.
	Heard(server string, asked time.Time, status int, header http.Header)
}

// New returns a client without connections.
func New(settings Settings, dialer Dialer, listener Listener, now func() time.Time) *Client {
	return &Client{
		settings: settings,
		listener: listener,
		now:      now,
		dialer:   dialer,
		openings: newOpenings(settings, now),
		idle:     make(map[string][]*connection),
	}
}

// Opened returns how many connections were opened so far.
func (client *Client) Opened() int {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.opened
}

// Send sends a request and returns the head of the answer to it. fits tells an
// answer to this request from a late one to an earlier request, which is
// skipped. The connection is closed when ctx ends before the answer was read.
func (client *Client) Send(
	ctx context.Context, address string, request Request, fits func(http.Header) bool,
) (*Response, error) {
	connection, err := client.take(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	asked := client.now()
	connection.stop = context.AfterFunc(ctx, connection.close)
	response, err := connection.roundTrip(request, fits)
	if err != nil {
		connection.close()
		if connection.kept && !errors.Is(context.Cause(ctx), context.Canceled) {
			client.drop(address)
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, err
	}
	client.listener.Heard(request.Server, asked, response.Status, response.Header)
	response.client = client
	return response, nil
}

// take returns a kept connection that is still good, or a new one.
func (client *Client) take(ctx context.Context, address string) (*connection, error) {
	for {
		kept := client.pop(address)
		if kept == nil {
			break
		}
		if kept.quiet() && client.now().Before(kept.goodUntil) {
			kept.kept = true
			return kept, nil
		}
		kept.close()
	}
	dialled, err := client.openings.dial(ctx, client.dialer, address)
	if err != nil {
		return nil, err
	}
	client.mu.Lock()
	client.opened++
	client.mu.Unlock()
	return &connection{
		address: address,
		conn:    dialled,
		reader:  bufio.NewReaderSize(dialled, readBuffer),
	}, nil
}

// Kept reports whether a connection to a server is kept.
func (client *Client) Kept(address string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return len(client.idle[address]) > 0
}

// drop closes the connections that are kept for a server. Where one of them got no
// answer the others may have gone silent with it, without a reset, while a new one
// works: else each would hold up a request for as long as it takes to be noticed.
func (client *Client) drop(address string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, connection := range client.idle[address] {
		connection.close()
	}
	delete(client.idle, address)
}

func (client *Client) pop(address string) *connection {
	client.mu.Lock()
	defer client.mu.Unlock()
	kept := client.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	client.idle[address] = kept[:len(kept)-1]
	return last
}

// keep takes a connection back that the server keeps for that long.
func (client *Client) keep(connection *connection, idle time.Duration) {
	if idle <= 0 {
		idle = client.settings.IdleTime
	}
	connection.goodUntil = client.now().Add(idle - client.settings.IdleMargin)
	client.mu.Lock()
	defer client.mu.Unlock()
	kept := client.idle[connection.address]
	if len(kept) >= client.settings.MaxIdle {
		connection.close()
		return
	}
	client.idle[connection.address] = append(kept, connection)
}

// Sweep closes kept connections whose time is over.
func (client *Client) Sweep() {
	client.openings.sweep()
	now := client.now()
	client.mu.Lock()
	defer client.mu.Unlock()
	for address, kept := range client.idle {
		good := kept[:0]
		for _, connection := range kept {
			if now.Before(connection.goodUntil) {
				good = append(good, connection)
				continue
			}
			connection.close()
		}
		client.idle[address] = good
		if len(good) == 0 {
			delete(client.idle, address)
		}
	}
}

// encode returns the bytes of a request.
func encode(request Request) []byte {
	buffer := &bytes.Buffer{}
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(buffer) // a buffer takes all
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	return buffer.Bytes()
}
