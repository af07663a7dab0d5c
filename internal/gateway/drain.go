package gateway

import (
	"context"
	"net/http"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// drain lets what is in progress end, and then stops the process.
func (gateway *Gateway) drain(servers ...*http.Server) {
	gateway.stopping.Store(true)
	asked := gateway.now()
	gateway.logger.Info("gateway drains", "running", gateway.running.Load())
	latest := asked.Add(gateway.bounds.Load().Grace - gateway.settings.Drain.Reserve)
	earliest := asked.Add(gateway.settings.Drain.Notice)
	wait.For(gateway.life, earliest.Sub(asked))
	gateway.closing.Store(true)
	for gateway.running.Load() > 0 && gateway.now().Before(latest) {
		wait.For(gateway.life, drainTick)
	}
	gateway.logger.Info("gateway ends", "running", gateway.running.Load(), "after", gateway.now().Sub(asked))
	gateway.end(errStopping)
	bounded, cancel := context.WithTimeout(context.Background(), gateway.settings.Drain.Reserve/2)
	defer cancel()
	for _, server := range servers {
		// What has not ended by now is cut by the end of the process.
		if err := server.Shutdown(bounded); err != nil {
			_ = server.Close() // says no more than Shutdown did
		}
	}
}
