package upstream

import (
	"context"
	"io"
	"net"
	"time"
)

// ProbeTarget is a server that can be probed.
type ProbeTarget struct {
	Address string
	// Path is that of a GET request that the server answers at once and that runs nothing.
	Path string
}

// ProbeResult is the result of a probe. The values are labels of metrics.
type ProbeResult string

// Results of probes.
const (
	ProbeAnswered ProbeResult = "answered"
	// ProbeUnanswered: the connection opened, and no byte arrived on it.
	ProbeUnanswered ProbeResult = "unanswered"
	// ProbeNotSent: no connection opened.
	ProbeNotSent ProbeResult = "not_sent"
)

// Probe sends a probe to a server over the VM's own link, and records in links what comes of it. The caller must have taken the
// probe from links.
func (client *Client) Probe(ctx context.Context, target ProbeTarget, timeout time.Duration) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := client.probe(ctx, target)
	if result == ProbeUnanswered {
		client.links.Unanswered(target.Address)
	}
	client.links.ProbeEnded(result == ProbeAnswered)
	return result
}

func (client *Client) probe(ctx context.Context, target ProbeTarget) ProbeResult {
	conn, err := client.DialDirect(ctx, target.Address)
	if err != nil {
		return ProbeNotSent
	}
	defer closeConn(conn)
	defer context.AfterFunc(ctx, func() { closeConn(conn) })() // unblocks the read
	request := "GET " + target.Path + " HTTP/1.1\r\nHost: " + target.Address + "\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return ProbeUnanswered
	}
	var buffer [1]byte
	if count, _ := conn.Read(buffer[:]); count == 0 {
		return ProbeUnanswered
	}
	return ProbeAnswered
}

func closeConn(conn net.Conn) {
	_ = conn.Close() // it is not used any more
}

// recordUnanswered records that a request got no byte on a new connection that the other side ended.
func (client *Client) recordUnanswered(connection *connection) {
	if !connection.isTunnelled() && !connection.pooled && !connection.heard && !connection.abandoned.Load() {
		client.links.Unanswered(connection.address)
	}
}
