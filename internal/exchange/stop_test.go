package exchange_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/memnet"
)

// slowlyClosed is a packet connection that ends reads at once when it is closed, and frees its address later.
type slowlyClosed struct {
	net.PacketConn

	once  sync.Once
	freed atomic.Bool
}

func (conn *slowlyClosed) Close() error {
	conn.once.Do(func() {
		_ = conn.PacketConn.Close()
		time.Sleep(100 * time.Millisecond)
		conn.freed.Store(true)
	})
	return nil
}

// TestAddressIsFreeOnceRunHasReturned guards against a VM that can't start again at its address right after it has stopped.
func TestAddressIsFreeOnceRunHasReturned(t *testing.T) {
	const address = "10.0.1.1:82"
	inner, err := memnet.New().ListenPacket(t.Context(), address)
	assert.NilError(t, err)
	conn := &slowlyClosed{PacketConn: inner}
	instance := exchange.New(exchange.DefaultSettings(), exchange.Member{VM: "vm-1", Address: address}, conn, nil,
		&registry{members: make(map[string]exchange.Member)}, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_ = instance.Run(ctx, &sink{}) // it ends with ctx
	assert.Assert(t, conn.freed.Load())
}
