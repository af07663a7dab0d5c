package feed_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// slowWriter blocks each write until unblock is closed.
type slowWriter struct {
	*httptest.ResponseRecorder

	writing *atomic.Int64
	unblock <-chan struct{}
}

// Write implements http.ResponseWriter.
func (slowwriter *slowWriter) Write(data []byte) (int, error) {
	slowwriter.writing.Add(1)
	<-slowwriter.unblock
	slowwriter.writing.Add(-1)
	return slowwriter.ResponseRecorder.Write(data) //nolint:wrapcheck // in memory
}

// TestLargePagesAreServedWithBoundedConcurrency has 200 VMs that start together and request all of a large configuration
// from one VM. Only a few may be served at the same time, which bounds memory, and a request for changes must not wait
// for them.
func TestLargePagesAreServedWithBoundedConcurrency(t *testing.T) {
	const vms, limit = 200, 16
	synctest.Test(t, func(t *testing.T) {
		tail := follower.NewTail(time.Now)
		tail.Add(follower.Page{Next: 1, Whole: true, Records: []follower.Record{{Key: "config", Value: make([]byte, 200<<10)}}}, time.Now())
		handler := feed.Handler(map[string]*follower.Tail{"log": tail}, epoch.New(time.Now), slog.New(slog.DiscardHandler))
		writing, served := &atomic.Int64{}, &atomic.Int64{}
		unblock := make(chan struct{})
		request := func(offset string) {
			writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), writing: writing, unblock: unblock}
			httpRequest := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/feed?log=log&epoch=0&wait_ms=0&offset="+offset, nil)
			handler.ServeHTTP(writer, httpRequest)
			if writer.Code == http.StatusOK {
				served.Add(1)
			}
		}
		for range vms {
			go request("-1")
		}
		synctest.Wait()
		assert.Equal(t, writing.Load(), int64(limit))
		go request("1")
		synctest.Wait()
		assert.Equal(t, writing.Load(), int64(limit+1), "a request for changes")
		close(unblock)
		synctest.Wait()
		assert.Equal(t, served.Load(), int64(vms+1))
	})
}
