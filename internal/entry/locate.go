package entry

import (
	"strconv"
	"strings"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// attemptOfStream returns which dispatch of the request a stream is.
func attemptOfStream(requestID string, info backend.StreamInfo) (int, bool) {
	if info.Request != requestID {
		return 0, false
	}
	number, found := strings.CutPrefix(info.Attempt, requestID+"~")
	if !found {
		return 0, false
	}
	attempt, err := strconv.Atoi(number)
	return attempt, err == nil
}

func snapshotServer(server *wire.Server) routing.Server {
	return routing.Server{ID: server.GetId(), Address: server.GetAddress()}
}
