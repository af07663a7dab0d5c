package tunnel

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// way is one way to open a connection.
type way struct {
	// via is the VM that the connection leads through, or its zero value for a direct one.
	via  Peer
	open func(ctx context.Context) (net.Conn, error)
	// headStart is how long the way may take before the next one is tried beside it.
	headStart time.Duration
	// lastResort is whether the way is tried only if no other one has opened a connection.
	lastResort bool
}

// attempt is how one way came out. A way that another one was faster than has the error errSlower, and one that opened a connection
// that another one was preferred to has errEndUntold.
type attempt struct {
	way  way
	conn net.Conn
	err  error
}

// Errors of attempts that were not used.
var (
	// errSlower is that of an attempt that was cancelled since another one succeeded.
	errSlower = errors.New("another way was faster")
	// errEndUntold is that of a tunnel through a VM that does not tell how the server's side ended.
	errEndUntold = errors.New("the other VM does not tell how the server's side ends")
)

// tellsEnd reports whether the end of a connection is told apart from a failure.
func tellsEnd(conn net.Conn) bool {
	_, unframed := conn.(unframedConn)
	return !unframed
}

// contest is a race of several ways to open a connection.
type contest struct {
	// ways are those that were not tried yet.
	ways    []way
	pending map[Peer]way
	results chan attempt
	// held is a connection whose end is not told, or nil. It wins unless another way opens a better one.
	held *attempt
	lost []attempt
}

// race tries ways in order until one opens a connection. The next way is tried when the one before fails or has had its head
// start. A connection whose end is not told wins only if no other one opens within patience. It returns the successful attempt, if any, and the
// others that were made. Connections that open later are closed.
func race(ctx context.Context, ways []way, patience time.Duration) (won *attempt, lost []attempt) {
	ctx, cancel := context.WithCancel(ctx)
	contest := &contest{ways: ways, pending: make(map[Peer]way), results: make(chan attempt, len(ways))}
	won = contest.run(ctx, patience)
	cancel()
	for _, slower := range contest.pending {
		contest.lost = append(contest.lost, attempt{way: slower, err: errSlower})
	}
	go closeLate(contest.results, len(contest.pending))
	return won, contest.lost
}

// run returns the attempt that wins, or nil.
func (contest *contest) run(ctx context.Context, patience time.Duration) *attempt {
	next := contest.startNext(ctx)
	var patienceOver <-chan time.Time
	for len(contest.pending) > 0 {
		select {
		case result := <-contest.results:
			delete(contest.pending, result.way.via)
			if result.err == nil && tellsEnd(result.conn) {
				contest.dropHeld()
				return &result
			}
			if contest.hold(result) {
				patienceOver = time.After(patience)
			}
			if ctx.Err() == nil {
				next = contest.startNext(ctx)
			}
		case <-next:
			next = contest.startNext(ctx)
		case <-patienceOver:
			return contest.held
		}
	}
	return contest.held
}

// startNext starts the next way, if there is one, and returns a channel that receives when it has had its head start.
func (contest *contest) startNext(ctx context.Context) <-chan time.Time {
	if len(contest.ways) == 0 || (contest.held != nil && contest.ways[0].lastResort) {
		return nil
	}
	started := contest.ways[0]
	contest.ways = contest.ways[1:]
	contest.pending[started.via] = started
	go func() {
		conn, err := started.open(ctx)
		contest.results <- attempt{way: started, conn: conn, err: err}
	}()
	return time.After(started.headStart)
}

// hold keeps an attempt that did not win at once. It reports whether it is the first one that opened a connection.
func (contest *contest) hold(result attempt) bool {
	if result.err == nil && contest.held == nil {
		contest.held = &result
		return true
	}
	contest.drop(result)
	return false
}

func (contest *contest) dropHeld() {
	if contest.held != nil {
		contest.drop(*contest.held)
	}
}

// drop records an attempt that is not used.
func (contest *contest) drop(result attempt) {
	if result.err == nil {
		_ = result.conn.Close() // nothing was sent on it
		result.conn, result.err = nil, errEndUntold
	}
	contest.lost = append(contest.lost, result)
}

// closeLate closes connections that open after the race.
func closeLate(results <-chan attempt, count int) {
	for range count {
		if late := <-results; late.conn != nil {
			_ = late.conn.Close() // nothing was sent on it
		}
	}
}
