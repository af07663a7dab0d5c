package feed_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/memnet"
)

const readerAddress = "10.0.0.1:7340"

var errUnavailable = errors.New("store is unavailable")

// store is a log that responds at once unless it is unavailable, and records its calls.
type store struct {
	mu          sync.Mutex
	unavailable bool
	// trimmed says that the changes have been removed, so that only a read of all values succeeds.
	trimmed bool
	calls   int
	waits   []time.Duration
}

var _ follower.Log = (*store)(nil)

func newStore() *store {
	return &store{}
}

func (store *store) Read(_ context.Context, from follower.Position, wait time.Duration) (follower.Page, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls++
	store.waits = append(store.waits, wait)
	if store.unavailable {
		return follower.Page{}, errUnavailable
	}
	if _, hasOffset := from.Offset(); hasOffset && store.trimmed {
		return follower.Page{}, follower.ErrTrimmed
	}
	return follower.Page{Next: 1, Whole: true, Records: []follower.Record{{Key: "direct", Value: []byte("1")}}}, nil
}

// members is a membership with a fixed role.
type members struct {
	role feed.Role
}

var _ feed.Members = members{}

func (members members) Role(_ int, avoid func(string) bool) feed.Role {
	if avoid(members.role.ReaderAddress) {
		return feed.Role{}
	}
	return members.role
}

func (members) LivePeers(int) ([]string, bool) { return nil, true }

func TestRead(t *testing.T) {
	tests := map[string]struct {
		role     feed.Role
		maxDelay time.Duration
		// age is the age of the reader's content; a negative age means that it has none.
		age         time.Duration
		unreachable bool
		want        string
		// wantWait is the wait of a read from the store, if there is one.
		wantWait time.Duration
		// wantAtOnce says that the first read from the store does not wait, since it
		// follows a failed read from a reader.
		wantAtOnce bool
	}{
		"from a reader": {
			role: feed.Role{ReaderAddress: readerAddress}, maxDelay: 3 * time.Second, want: "through",
		},
		"from the store without a reader": {
			maxDelay: 3 * time.Second, want: "direct", wantWait: 1500 * time.Millisecond,
		},
		"from the store with a short wait as a reader": {
			role: feed.Role{IsReader: true}, maxDelay: 3 * time.Second, want: "direct", wantWait: 602 * time.Millisecond,
		},
		"from the store with a longer wait as a reader with a larger delay": {
			role: feed.Role{IsReader: true}, maxDelay: 5 * time.Second, want: "direct", wantWait: 1462 * time.Millisecond,
		},
		// A reader to which the store did not respond kept its peers at an old configuration.
		"from the store if the reader's content is too old": {
			role: feed.Role{ReaderAddress: readerAddress}, maxDelay: 3 * time.Second, age: 1500 * time.Millisecond,
			want: "direct", wantWait: 1500 * time.Millisecond, wantAtOnce: true,
		},
		"from the store if the delay leaves no time for readers": {
			role: feed.Role{ReaderAddress: readerAddress}, maxDelay: 2 * time.Second, want: "direct", wantWait: 1500 * time.Millisecond,
		},
		"from the store if the reader is unreachable": {
			role: feed.Role{ReaderAddress: readerAddress}, maxDelay: 3 * time.Second, unreachable: true,
			want: "direct", wantWait: 1500 * time.Millisecond, wantAtOnce: true,
		},
		"from the store if the reader has no content": {
			role: feed.Role{ReaderAddress: readerAddress}, maxDelay: 3 * time.Second, age: -1,
			want: "direct", wantWait: 1500 * time.Millisecond, wantAtOnce: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New()
				tail := follower.NewTail(time.Now)
				if test.age >= 0 {
					tail.Add(follower.Page{Next: 1, Whole: true, Records: []follower.Record{
						{Key: "through", Value: []byte("1")},
					}}, time.Now().Add(-test.age))
				}
				listener, err := network.Listen(t.Context(), readerAddress)
				assert.NilError(t, err)
				server := &http.Server{Handler: feed.Handler(map[string]*follower.Tail{"log": tail}, epoch.New(time.Now), slog.New(slog.DiscardHandler))}
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
				network.SetUnreachable(readerAddress, test.unreachable)
				transport := &http.Transport{
					DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) },
					DisableKeepAlives: true,
				}
				store := newStore()
				log := feed.New("log", store, members{role: test.role}, func() time.Duration { return test.maxDelay },
					transport, feed.DefaultSettings(), epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
				for range 2 { // in the second round a reader that failed is not used
					startedAt := time.Now()
					page, err := log.Read(t.Context(), follower.Position{}, 1500*time.Millisecond)
					assert.NilError(t, err)
					assert.Equal(t, page.Records[0].Key, test.want)
					checkAge(t, page, test.want, time.Since(startedAt))
				}
				for nth, wait := range store.waits {
					assert.Equal(t, wait, wantWait(nth, test.wantAtOnce, test.wantWait))
				}
			})
		})
	}
}

// checkAge checks that the age of a page from the store counts from the read at the store.
func checkAge(t *testing.T, page follower.Page, source string, elapsed time.Duration) {
	t.Helper()
	if source == "direct" {
		assert.Equal(t, page.Age, -elapsed)
	}
}

// wantWait returns the expected wait of the nth read from the store.
func wantWait(index int, atOnce bool, wait time.Duration) time.Duration {
	if index == 0 && atOnce {
		return 0
	}
	return wait
}

func TestHandlerRejectsInvalidRequests(t *testing.T) {
	handler := feed.Handler(map[string]*follower.Tail{"log": follower.NewTail(time.Now)}, epoch.New(time.Now), slog.New(slog.DiscardHandler))
	for name, target := range map[string]string{
		"unknown log":    "/feed?log=none&offset=1&epoch=0&wait_ms=1",
		"invalid offset": "/feed?log=log&offset=x&epoch=0&wait_ms=1",
		"missing epoch":  "/feed?log=log&offset=1&wait_ms=1",
		"missing wait":   "/feed?log=log&offset=1&epoch=0",
		"other path":     "/other",
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target, nil)
			assert.NilError(t, err)
			recorder := &recorder{header: make(http.Header)}
			handler.ServeHTTP(recorder, request)
			assert.Assert(t, recorder.status >= http.StatusBadRequest)
		})
	}
}

// recorder records the status of a response and discards its body.
type recorder struct {
	header http.Header
	status int
}

func (recorder *recorder) Header() http.Header            { return recorder.header }
func (recorder *recorder) Write(data []byte) (int, error) { return len(data), nil }
func (recorder *recorder) WriteHeader(status int)         { recorder.status = status }
