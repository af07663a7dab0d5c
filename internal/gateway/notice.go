package gateway

import (
	"net/http"
	"time"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// Values of the label labelNotice.
const (
	noticeDraining  = "leaving"
	noticeBackoff   = "rest"
	noticeRateLimit = "limit"
	noticeMalformed = "unreadable"
)

// notices handles what servers state about themselves in their responses, whatever the
// status of the response.
type notices struct {
	gateway *Gateway
}

var _ upstream.Listener = notices{}

// HandleResponse implements upstream.Listener.
func (notices notices) HandleResponse(server string, sentAt time.Time, status int, header http.Header) {
	gateway := notices.gateway
	notice := gateway.codec.Notice(status, header)
	if notice.Leaving {
		gateway.metrics.notices.WithLabelValues(noticeDraining).Inc()
		gateway.pool.MarkDraining(server)
	}
	if notice.Rest > 0 {
		gateway.metrics.notices.WithLabelValues(noticeBackoff).Inc()
		gateway.pool.BackOff(server, notice.Rest)
	}
	switch notice.Limit.Kind {
	case call.LimitNamed:
		gateway.metrics.notices.WithLabelValues(noticeRateLimit).Inc()
		gateway.pool.RecordRateLimit(server, notice.Limit.PerSecond)
	case call.LimitNone:
		gateway.pool.RecordNoRateLimit(server, sentAt)
	case call.LimitUnclear:
	}
	for _, value := range notice.Unreadable {
		gateway.metrics.notices.WithLabelValues(noticeMalformed).Inc()
		gateway.logger.Info("malformed notice in a server's response", "server", server, "status", status, "value", value)
	}
}
