package gateway

import (
	"net/http"
	"time"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/pool"
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
func (notices notices) HandleResponse(server, via string, sentAt time.Time, status int, header http.Header) {
	gateway := notices.gateway
	notice := gateway.codec.Notice(status, header)
	if notice.Draining {
		gateway.metrics.notices.WithLabelValues(noticeDraining).Inc()
		gateway.pool.MarkDraining(server)
	}
	if notice.Backoff > 0 {
		gateway.metrics.notices.WithLabelValues(noticeBackoff).Inc()
		gateway.pool.BackOff(server, notice.Backoff)
		if via != "" { // the server can't tell the two VMs apart
			gateway.exchange.SendReport(via, pool.Report{Server: server, Phase: pool.PhaseEnded, Health: pool.HealthReceiverBackoff, Backoff: notice.Backoff})
		}
	}
	switch notice.RateLimit.Kind {
	case call.RateLimitAdvertised:
		gateway.metrics.notices.WithLabelValues(noticeRateLimit).Inc()
		gateway.pool.RecordRateLimit(server, notice.RateLimit.PerSecond)
	case call.RateLimitNone:
		gateway.pool.RecordNoRateLimit(server, sentAt)
	case call.RateLimitUnknown:
	}
	for _, value := range notice.Malformed {
		gateway.metrics.notices.WithLabelValues(noticeMalformed).Inc()
		gateway.logger.Info("malformed notice in a server's response", "server", server, "status", status, "value", value)
	}
}
