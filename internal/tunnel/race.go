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
}

// attempt is how one way came out. A way that another one was faster than has the error errSlower.
type attempt struct {
	way  way
	conn net.Conn
	err  error
}

// errSlower is the error of an attempt that was cancelled since another one succeeded.
var errSlower = errors.New("another way was faster")

// race tries ways in order until one opens a connection. The next way is tried when the one before fails or has had its head
// start. It returns the successful attempt, if any, and the others that were made. Connections that open later are closed.
func race(ctx context.Context, ways []way) (won *attempt, lost []attempt) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attempt, len(ways))
	pending := make(map[Peer]way)
	next := 0
	startNext := func() <-chan time.Time {
		if next == len(ways) {
			return nil
		}
		started := ways[next]
		next++
		pending[started.via] = started
		go func() {
			conn, err := started.open(ctx)
			results <- attempt{way: started, conn: conn, err: err}
		}()
		return time.After(started.headStart)
	}
	timer := startNext()
	for won == nil && len(pending) > 0 {
		select {
		case result := <-results:
			delete(pending, result.way.via)
			if result.err == nil {
				won = &result
				continue
			}
			lost = append(lost, result)
			if ctx.Err() == nil {
				timer = startNext()
			}
		case <-timer:
			timer = startNext()
		}
	}
	for _, slower := range pending {
		lost = append(lost, attempt{way: slower, err: errSlower})
	}
	cancel()
	go closeLate(results, len(pending))
	return won, lost
}

// closeLate closes connections that open after the race.
func closeLate(results <-chan attempt, count int) {
	for range count {
		if late := <-results; late.conn != nil {
			_ = late.conn.Close() // nothing was sent on it
		}
	}
}
