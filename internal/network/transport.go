package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

// idleTime is how long a connection of a transport is kept without a call.
const idleTime = 10 * time.Second

// NewTransport returns a transport for HTTP calls over the network.
func NewTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		IdleConnTimeout: idleTime,
	}
}
