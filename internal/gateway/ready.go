package gateway

import (
	"net/http"
	"time"
)

// keysCurrent reports whether the configuration is recent enough to serve a request with a key,
// which may have been revoked since. It always is unless Bounds.RevokeFailClosed is set.
func (gateway *Gateway) keysCurrent() bool {
	if !gateway.bounds.Load().RevokeFailClosed {
		return true
	}
	age, known := gateway.configuration.Age()
	return known && age < gateway.bounds.Load().Revoke-gateway.settings.Request.RevokeMargin
}

// ready reports whether the load balancer should open new connections to this VM.
func (gateway *Gateway) ready() bool {
	if gateway.stopping.Load() || gateway.operatorState.current.Load() == nil {
		return false
	}
	if _, known := gateway.directory.Age(); !known {
		return false
	}
	age, known := gateway.configuration.Age()
	fresh := time.Duration(readyAgeFraction * float64(gateway.bounds.Load().Revoke))
	return known && (!gateway.bounds.Load().RevokeFailClosed || age < fresh)
}

func (gateway *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(writer http.ResponseWriter, _ *http.Request) {
		gateway.clock.Sync()
		if !gateway.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", gateway.metrics.handler())
	mux.HandleFunc("GET /status", gateway.serveStatus)
	return mux
}
