package gateway

import (
	"context"
	"net/http"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// drain makes the VM report not ready, refuses new requests after DrainSettings.RefuseDelay, waits
// until requests in flight and tunnels of other VMs have ended or the grace period is nearly over, and then stops the
// process.
func (gateway *Gateway) drain(servers ...*http.Server) {
	gateway.stopping.Store(true)
	gateway.tunnelServer.Stop()
	requestedAt := gateway.now()
	gateway.logger.Info("gateway drains", "running", gateway.inFlight.Load())
	latestEnd := requestedAt.Add(gateway.bounds.Load().Grace - gateway.settings.Drain.ShutdownReserve)
	refuseAt := requestedAt.Add(gateway.settings.Drain.RefuseDelay)
	wait.For(gateway.baseContext, refuseAt.Sub(requestedAt))
	gateway.refusing.Store(true)
	for gateway.inFlight.Load()+gateway.tunnelServer.Open() > 0 && gateway.now().Before(latestEnd) {
		wait.For(gateway.baseContext, drainPollInterval)
	}
	gateway.logger.Info("gateway stops after the drain", "running", gateway.inFlight.Load(), "after", gateway.now().Sub(requestedAt))
	gateway.cancelBase(errStopping)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), gateway.settings.Drain.ShutdownReserve/2)
	defer cancel()
	for _, server := range servers {
		// Connections that are still open after the timeout are closed when the process exits.
		if err := server.Shutdown(shutdownCtx); err != nil {
			_ = server.Close() // the error would repeat that of Shutdown
		}
	}
}
