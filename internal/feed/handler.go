package feed

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/follower"
)

// Handler serves the tails of the logs that this VM reads, by name.
func Handler(tails map[string]*follower.Tail, logger *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		tail := tails[query.Get(queryLog)]
		offset, errOffset := strconv.ParseInt(query.Get(queryOffset), 10, 64)
		milliseconds, errWait := strconv.Atoi(query.Get(queryWait))
		if tail == nil || errOffset != nil || errWait != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		wait := min(maxWait, time.Duration(milliseconds)*time.Millisecond)
		read := tail.Read
		if query.Has(queryAwait) {
			read = tail.Await
		}
		page, err := read(request.Context(), offset, wait)
		if err != nil {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		data, err := proto.Marshal(encode(page))
		if err != nil {
			logger.Error("page not made", "error", err)
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = writer.Write(data) // who is gone needs no answer
	})
	return mux
}
