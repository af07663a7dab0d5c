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

// slowWriter takes an answer only once it may.
type slowWriter struct {
	*httptest.ResponseRecorder

	writing *atomic.Int64
	may     <-chan struct{}
}

// Write implements http.ResponseWriter.
func (slowwriter *slowWriter) Write(data []byte) (int, error) {
	slowwriter.writing.Add(1)
	<-slowwriter.may
	slowwriter.writing.Add(-1)
	return slowwriter.ResponseRecorder.Write(data) //nolint:wrapcheck // in memory
}

// TestManyAskForAllAtOnce has two hundred VMs that start together and ask one for all of a large configuration: a few of
// them are answered at a time, so that its memory is bounded, and who asks for changes waits for none of these.
func TestManyAskForAllAtOnce(t *testing.T) {
	const vms, most = 200, 16
	synctest.Test(t, func(t *testing.T) {
		tail := follower.NewTail(time.Now)
		tail.Add(follower.Page{Next: 1, Whole: true, Records: []follower.Record{{Key: "config", Value: make([]byte, 200<<10)}}}, time.Now())
		handler := feed.Handler(map[string]*follower.Tail{"log": tail}, epoch.New(time.Now), slog.New(slog.DiscardHandler))
		writing, served := &atomic.Int64{}, &atomic.Int64{}
		may := make(chan struct{})
		ask := func(offset string) {
			writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), writing: writing, may: may}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/feed?log=log&epoch=0&wait_ms=0&offset="+offset, nil)
			handler.ServeHTTP(writer, request)
			if writer.Code == http.StatusOK {
				served.Add(1)
			}
		}
		for range vms {
			go ask("-1")
		}
		synctest.Wait()
		assert.Equal(t, writing.Load(), int64(most))
		go ask("1")
		synctest.Wait()
		assert.Equal(t, writing.Load(), int64(most+1), "one that wants changes")
		close(may)
		synctest.Wait()
		assert.Equal(t, served.Load(), int64(vms+1))
	})
}
