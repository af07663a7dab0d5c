package exchange_test

import (
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// countingConn counts the datagrams with reports that a VM sends.
type countingConn struct {
	net.PacketConn

	vm   string
	sent atomic.Int64
	// longest is the length of the longest of them, in bytes.
	longest atomic.Int64
}

func (conn *countingConn) WriteTo(data []byte, address net.Addr) (int, error) {
	update := &wire.LoadUpdate{}
	if err := proto.Unmarshal(data, update); err == nil && update.GetVm() == conn.vm && len(update.GetSendings()) > 0 {
		conn.sent.Add(1)
		conn.longest.Store(max(conn.longest.Load(), int64(len(data))))
	}
	return conn.PacketConn.WriteTo(data, address) //nolint:wrapcheck // forwards the call unchanged
}
