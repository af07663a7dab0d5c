package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/follower"
)

// parts is a log whose response consists of count parts, each of which takes the time each.
type parts struct {
	count int
	each  time.Duration
}

var _ follower.Log = parts{}

func (parts parts) Read(ctx context.Context, _ follower.Position, wait time.Duration) (follower.Page, error) {
	time.Sleep(wait)
	for range parts.count {
		select {
		case <-time.After(parts.each):
			follower.PartReceived(ctx)
		case <-ctx.Done():
			return follower.Page{}, errors.WithStack(context.Cause(ctx))
		}
	}
	return follower.Page{Next: 1}, nil
}

// TestBounded reads from a slow source and from one that does not respond. When
// hundreds of VMs read the entries of thousands of servers at once, each page takes
// long; with one time limit for all pages, reading restarted again and again.
func TestBounded(t *testing.T) {
	const timeout = 700 * time.Millisecond
	tests := map[string]struct {
		log         parts
		wait        time.Duration
		wantFail    bool
		wantElapsed time.Duration
	}{
		"one part":                 {log: parts{count: 1, each: 600 * time.Millisecond}, wantElapsed: 600 * time.Millisecond},
		"many slow parts":          {log: parts{count: 9, each: 600 * time.Millisecond}, wantElapsed: 5400 * time.Millisecond},
		"no response":              {log: parts{count: 1, each: time.Minute}, wantFail: true, wantElapsed: timeout},
		"a wait is no timeout":     {log: parts{count: 1, each: 600 * time.Millisecond}, wait: 1500 * time.Millisecond, wantElapsed: 2100 * time.Millisecond},
		"no response after a wait": {log: parts{count: 1, each: time.Minute}, wait: 1500 * time.Millisecond, wantFail: true, wantElapsed: 2200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := follower.NewBounded(test.log, timeout).Read(t.Context(), follower.Position{}, test.wait)
				assert.Equal(t, errors.Is(err, context.DeadlineExceeded), test.wantFail, "%v", err)
				assert.Equal(t, time.Since(start), test.wantElapsed)
			})
		})
	}
}
