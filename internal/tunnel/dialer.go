package tunnel

import (
	"bufio"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/reachability"
)

// Peer is another VM that may serve tunnels.
type Peer struct {
	Address    string
	DataCentre string
}

// Peers returns other VMs, those that are known to be live first.
type Peers interface {
	TunnelPeers() (live, others []Peer)
}

// Connection is an open connection to a server.
type Connection struct {
	net.Conn

	// Via is the VM that the connection leads through, or its zero value for a direct one.
	Via Peer
	// ReusableUntil is until when the connection may take further requests. It is zero for a direct one, which has no limit.
	ReusableUntil time.Time
	// EndUntold is whether the connection leads through a VM that does not tell how the server's side ended.
	EndUntold bool
}

// Requirements are what a request requires of the way to its server. Its zero value allows all ways.
type Requirements struct {
	// DataCentres are those through whose VMs a tunnel may lead; empty allows all.
	DataCentres []string
	// Excluded has the addresses of VMs through which no tunnel may lead.
	Excluded []string
	// EndTold is whether a tunnel may lead only through VMs that tell how the server's side ended.
	EndTold bool
}

// Result is how an attempt to open a tunnel came out. The values are labels of metrics.
type Result string

// Results of attempts to open a tunnel.
const (
	ResultOpened Result = "opened"
	ResultFailed Result = "failed"
	ResultSlower Result = "slower"
	// ResultEndUntold: the other VM does not tell how the server's side ends, and one that does was used, or is required.
	ResultEndUntold Result = "end_untold"
)

// Results returns all results.
func Results() []Result {
	return []Result{ResultOpened, ResultFailed, ResultSlower, ResultEndUntold}
}

// untoldMemory is how long a VM that does not tell how the server's side ends is asked after the others.
const untoldMemory = 10 * time.Second

// Dialer opens connections to servers, directly or through other VMs. It is safe for concurrent use.
type Dialer struct {
	settings Settings
	links    *reachability.Monitor
	network  network.Dialer
	peers    Peers
	logger   *slog.Logger
	now      func() time.Time

	mu sync.Mutex
	// avoided has the VMs that failed to open a tunnel, with the time until which they are avoided.
	avoided map[string]time.Time
	// untold has the VMs that don't tell how the server's side ends, with the time until which they are asked after the others.
	untold  map[string]time.Time
	results map[Result]int
}

// NewDialer returns a dialer that goes by the verdict on the VM's own links.
func NewDialer(
	settings Settings, links *reachability.Monitor, network network.Dialer, peers Peers, logger *slog.Logger, now func() time.Time,
) *Dialer {
	return &Dialer{
		settings: settings, links: links, network: network, peers: peers, logger: logger, now: now,
		avoided: make(map[string]time.Time), untold: make(map[string]time.Time), results: make(map[Result]int),
	}
}

// Results returns how many attempts to open a tunnel came out in some way so far.
func (dialer *Dialer) Results(result Result) int {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	return dialer.results[result]
}

// Dial opens a connection to a server, over a way that meets the requirements. direct opens a connection over the VM's own
// link, and records the result of that itself, except when a tunnel is faster.
func (dialer *Dialer) Dial(
	ctx context.Context, address string, requirements Requirements, direct func(ctx context.Context) (net.Conn, error),
) (Connection, error) {
	verdict := dialer.links.Verdict()
	if !dialer.settings.Enabled || verdict == reachability.Reachable {
		conn, err := direct(ctx)
		return Connection{Conn: conn}, err
	}
	own := way{open: direct, headStart: dialer.settings.HeadStart, lastResort: verdict == reachability.Unreachable}
	ways := dialer.tunnels(address, requirements)
	if own.lastResort {
		ways = append(ways, own)
	} else {
		ways = slices.Insert(ways, 0, own)
	}
	return dialer.open(ctx, address, ways)
}

// DialThrough opens a connection to a server through another VM than those at the excluded addresses, whatever is known of the VM's
// own links.
func (dialer *Dialer) DialThrough(ctx context.Context, address string, excluded []string) (Connection, error) {
	if !dialer.settings.Enabled {
		return Connection{}, &NoWayError{}
	}
	return dialer.open(ctx, address, dialer.tunnels(address, Requirements{Excluded: excluded}))
}

// open opens a connection over one of several ways.
func (dialer *Dialer) open(ctx context.Context, address string, ways []way) (Connection, error) {
	bounded, cancel := context.WithTimeout(ctx, dialer.settings.OpenTimeout)
	defer cancel()
	won, lost := race(bounded, ways, dialer.settings.Stagger)
	dialer.recordLost(ctx, address, lost)
	if won == nil {
		return Connection{}, failure(ctx, lost)
	}
	if won.way.via == (Peer{}) {
		return Connection{Conn: won.conn}, nil
	}
	dialer.count(ResultOpened)
	return Connection{
		Conn: won.conn, Via: won.way.via, ReusableUntil: dialer.now().Add(dialer.settings.ReuseTime), EndUntold: !tellsEnd(won.conn),
	}, nil
}

// tunnels returns the ways to a server through other VMs.
func (dialer *Dialer) tunnels(address string, requirements Requirements) []way {
	live, others := dialer.peers.TunnelPeers()
	shuffle(live)
	shuffle(others)
	var ways []way
	for _, peer := range dialer.usable(append(live, others...), requirements) {
		ways = append(ways, way{
			via: peer, headStart: dialer.settings.Stagger,
			open: func(ctx context.Context) (net.Conn, error) {
				return dialer.connect(ctx, peer.Address, address, requirements.EndTold)
			},
		})
	}
	return ways
}

// shuffle spreads the tunnels of many VMs over all that can serve them.
func shuffle(peers []Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] }) //nolint:gosec // not used for security
}

// IsWithin reports whether a VM is in one of the data centres. An empty list has all.
func (peer Peer) IsWithin(dataCentres []string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, peer.DataCentre)
}

// usable returns the first VMs that meet the requirements and are not avoided, at most Settings.MaxPeers. Those that don't tell how the
// server's side ends come after the others.
func (dialer *Dialer) usable(peers []Peer, requirements Requirements) []Peer {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	now := dialer.now()
	var usable, untold []Peer
	for _, peer := range peers {
		if !requirements.allow(peer) || isCurrent(dialer.avoided, peer.Address, now) {
			continue
		}
		if isCurrent(dialer.untold, peer.Address, now) {
			untold = append(untold, peer)
			continue
		}
		usable = append(usable, peer)
	}
	usable = append(usable, untold...)
	return usable[:min(dialer.settings.MaxPeers, len(usable))]
}

// allow reports whether a tunnel may lead through a VM.
func (requirements Requirements) allow(peer Peer) bool {
	return peer.IsWithin(requirements.DataCentres) && !slices.Contains(requirements.Excluded, peer.Address)
}

// isCurrent reports whether a VM has an entry that has not expired. It removes one that has.
func isCurrent(entries map[string]time.Time, peer string, now time.Time) bool {
	until, found := entries[peer]
	if found && !now.Before(until) {
		delete(entries, peer)
	}
	return found && now.Before(until)
}

// recordFraming records whether a VM tells how the server's side ends.
func (dialer *Dialer) recordFraming(peer string, tellsEnd bool) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	now := dialer.now()
	if tellsEnd {
		delete(dialer.untold, peer)
		return
	}
	if !isCurrent(dialer.untold, peer, now) {
		dialer.logger.Info("VM does not tell how connections of servers end", "peer", peer)
	}
	dialer.untold[peer] = now.Add(untoldMemory)
}

// recordLost records the attempts that did not open a connection, or not as fast as another one.
func (dialer *Dialer) recordLost(ctx context.Context, address string, lost []attempt) {
	for _, attempt := range lost {
		if attempt.way.via == (Peer{}) {
			dialer.recordLostDirect(address, attempt)
		} else {
			dialer.recordLostTunnel(ctx, address, attempt)
		}
	}
}

// recordLostDirect records that the VM's own link was slower than a tunnel. Failures are recorded by the attempt itself.
func (dialer *Dialer) recordLostDirect(address string, attempt attempt) {
	if errors.Is(attempt.err, errSlower) {
		dialer.links.Failed(address)
	}
}

// recordLostTunnel records that a tunnel failed or was slower than another way. The other VM is avoided unless it could not
// reach the server, or the attempt ended with ctx.
func (dialer *Dialer) recordLostTunnel(ctx context.Context, address string, attempt attempt) {
	switch {
	case errors.Is(attempt.err, errSlower):
		dialer.count(ResultSlower)
		return
	case errors.Is(attempt.err, errEndUntold):
		dialer.count(ResultEndUntold)
		return
	}
	dialer.count(ResultFailed)
	if ctx.Err() != nil {
		return
	}
	dialer.logger.Debug("tunnel failed", "peer", attempt.way.via.Address, "address", address, "error", attempt.err)
	var refused *RefusedError
	if !errors.As(attempt.err, &refused) || refused.Status != http.StatusBadGateway {
		dialer.avoid(attempt.way.via.Address, attempt.err)
	}
}

// avoid avoids a VM for Settings.AvoidTime.
func (dialer *Dialer) avoid(peer string, reason error) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	now := dialer.now()
	if !now.Before(dialer.avoided[peer]) {
		dialer.logger.Info("VM is avoided for tunnels", "peer", peer, "error", reason)
	}
	dialer.avoided[peer] = now.Add(dialer.settings.AvoidTime)
}

func (dialer *Dialer) count(result Result) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	dialer.results[result]++
}

// failure returns the error of an attempt over all ways.
func failure(ctx context.Context, lost []attempt) error {
	if ctx.Err() != nil {
		return errors.WithStack(ctx.Err())
	}
	err := &NoWayError{}
	for _, attempt := range lost {
		err.Errs = append(err.Errs, attempt.err)
	}
	return err
}

// NoWayError is returned when no way to a server could be opened. Errs has the error of each.
type NoWayError struct {
	Errs []error
}

// Error implements error.
func (e *NoWayError) Error() string {
	texts := make([]string, 0, len(e.Errs))
	for _, err := range e.Errs {
		texts = append(texts, err.Error())
	}
	return "no way to the server: " + strings.Join(texts, "; ")
}

// Unwrap returns the errors of all ways.
func (e *NoWayError) Unwrap() []error {
	return e.Errs
}

// RefusedError is the refusal of another VM to open a tunnel.
type RefusedError struct {
	Peer string
	// Status is the HTTP status of the refusal. 502 means that the VM did not reach the server.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Peer + " refused to open a tunnel: " + http.StatusText(e.Status)
}

// connect opens a tunnel through another VM, which with endTold must be one that tells how the server's side ends.
func (dialer *Dialer) connect(ctx context.Context, peer, address string, endTold bool) (net.Conn, error) {
	conn, err := dialer.network.Dial(ctx, peer)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to VM at %s", peer)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the exchange below
	tunnelled, err := dialer.handshake(ctx, conn, peer, address)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err == nil {
		dialer.recordFraming(peer, tellsEnd(tunnelled))
		err = checkEndTold(tunnelled, endTold)
	}
	if err != nil {
		_ = conn.Close() // nothing was sent through it
		return nil, err
	}
	return tunnelled, nil
}

// checkEndTold returns an error if a connection has to tell how the server's side ended and does not.
func checkEndTold(conn net.Conn, required bool) error {
	if required && !tellsEnd(conn) {
		return errors.WithStack(errEndUntold)
	}
	return nil
}

// handshake requests a tunnel on a connection to another VM. It returns the connection to the server.
func (dialer *Dialer) handshake(ctx context.Context, conn net.Conn, peer, address string) (net.Conn, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodConnect, "http://"+address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel request")
	}
	if dialer.settings.Frames {
		request.Header.Set(headerFrames, framesVersion)
	}
	if err := request.Write(conn); err != nil {
		return nil, errors.Wrapf(err, "request tunnel of VM at %s", peer)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request) //nolint:bodyclose // the response to CONNECT has no body; the caller closes conn
	if err != nil {
		return nil, errors.Wrapf(err, "request tunnel of VM at %s", peer)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{Peer: peer, Status: response.StatusCode}
	}
	if reader.Buffered() > 0 {
		return nil, errors.Newf("bytes before the request in a tunnel of VM at %s", peer)
	}
	if response.Header.Get(headerFrames) != framesVersion {
		return unframedConn{Conn: conn}, nil
	}
	return newFramedConn(conn, reader), nil
}
