package tunnel

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/reachability"
)

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
// link, and records the result of that itself, except when a tunnel is faster. It is not used while something accepts connections on
// that link and lets no byte through: a request sent there would be lost.
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
	switch {
	case !own.lastResort:
		ways = slices.Insert(ways, 0, own)
	case dialer.links.CannotOpen():
		ways = append(ways, own) // fails before anything is sent, unless the link is back
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
