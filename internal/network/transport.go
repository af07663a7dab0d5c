package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

// idleTimeout is how long an idle connection of a transport is kept.
const idleTimeout = 10 * time.Second

// MaxHeadBytes bounds the status line and the header of a response.
const MaxHeadBytes = 64 << 10

// NewTransport returns a transport that sends HTTP requests over network.
func NewTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}
