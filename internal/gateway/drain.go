package gateway

import (
	"context"
	"net/http"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// drain makes the VM report not ready, refuses new requests after the notice time, waits until
// requests in flight have ended or the grace period is nearly over, and then stops the process.
func (gateway *Gateway) drain(servers ...*http.Server) {
	gateway.stopping.Store(true)
	requestedAt := gateway.now()
	gateway.logger.Info("gateway drains", "running", gateway.running.Load())
	latestEnd := requestedAt.Add(gateway.bounds.Load().Grace - gateway.settings.Drain.Reserve)
	refuseAt := requestedAt.Add(gateway.settings.Drain.Notice)
	wait.For(gateway.life, refuseAt.Sub(requestedAt))
	gateway.closing.Store(true)
	for gateway.running.Load() > 0 && gateway.now().Before(latestEnd) {
		wait.For(gateway.life, drainTick)
	}
	gateway.logger.Info("gateway drained", "running", gateway.running.Load(), "after", gateway.now().Sub(requestedAt))
	gateway.end(errStopping)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), gateway.settings.Drain.Reserve/2)
	defer cancel()
	for _, server := range servers {
		// Connections that are still open after the timeout are closed when the process exits.
		if err := server.Shutdown(shutdownCtx); err != nil {
			_ = server.Close() // the error would repeat that of Shutdown
		}
	}
}
