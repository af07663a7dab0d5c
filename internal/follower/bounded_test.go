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

// parts is a log whose answer comes in parts.
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
			follower.PartRead(ctx)
		case <-ctx.Done():
			return follower.Page{}, errors.WithStack(context.Cause(ctx))
		}
	}
	return follower.Page{Next: 1}, nil
}

// TestBounded has a source that is slow, or silent: where the entries of thousands
// of servers are read by hundreds of VMs at once, each page takes long, and reading
// began anew whenever all of them had not come within the time for one.
func TestBounded(t *testing.T) {
	const patience = 700 * time.Millisecond
	tests := map[string]struct {
		log      parts
		wait     time.Duration
		wantFail bool
		wantTook time.Duration
	}{
		"one part":               {log: parts{count: 1, each: 600 * time.Millisecond}, wantTook: 600 * time.Millisecond},
		"many slow parts":        {log: parts{count: 9, each: 600 * time.Millisecond}, wantTook: 5400 * time.Millisecond},
		"a silent source":        {log: parts{count: 1, each: time.Minute}, wantFail: true, wantTook: patience},
		"a wait is not silence":  {log: parts{count: 1, each: 600 * time.Millisecond}, wait: 1500 * time.Millisecond, wantTook: 2100 * time.Millisecond},
		"silent after some time": {log: parts{count: 1, each: time.Minute}, wait: 1500 * time.Millisecond, wantFail: true, wantTook: 2200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := follower.NewBounded(test.log, patience).Read(t.Context(), follower.Position{}, test.wait)
				assert.Equal(t, errors.Is(err, context.DeadlineExceeded), test.wantFail, "%v", err)
				assert.Equal(t, time.Since(start), test.wantTook)
			})
		})
	}
}
