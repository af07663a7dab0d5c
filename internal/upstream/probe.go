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
	// ProbeAnsweredElsewhere: no byte arrived over the VM's own link, and one did through another VM meanwhile.
	ProbeAnsweredElsewhere ProbeResult = "answered_elsewhere"
)

// ProbeTimes are the times of a probe.
type ProbeTimes struct {
	// Timeout is how long the server may take to answer.
	Timeout time.Duration
	// Compare is after how long without an answer the same is asked through another VM, and again through another one; zero is never.
	Compare time.Duration
}

// Probe sends a probe to a server over the VM's own link, and records in links what comes of it. When no answer comes soon, it sends
// the same through other VMs: a server that answers there is out of reach here. The caller must have taken the probe from links.
func (client *Client) Probe(ctx context.Context, target ProbeTarget, times ProbeTimes) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, times.Timeout)
	defer cancel()
	own := make(chan ProbeResult, 1)
	go func() {
		own <- probe(ctx, target, func(ctx context.Context) (net.Conn, error) { return client.DialDirect(ctx, target.Address) })
	}()
	comparison := newComparison(client, target, times.Compare)
	answeredElsewhere := false
	for {
		select {
		case result := <-own:
			return client.recordProbe(target, result, answeredElsewhere)
		case <-comparison.due():
			comparison.start(ctx)
		case <-comparison.answered:
			answeredElsewhere = true
			client.links.AnsweredElsewhere(target.Address)
			comparison.stop()
		}
	}
}

// recordProbe records the end of a probe over the VM's own link, and returns the result.
func (client *Client) recordProbe(target ProbeTarget, result ProbeResult, answeredElsewhere bool) ProbeResult {
	if result == ProbeUnanswered {
		client.links.Unanswered(target.Address)
	}
	client.links.ProbeEnded(result == ProbeAnswered)
	if result != ProbeAnswered && answeredElsewhere {
		return ProbeAnsweredElsewhere
	}
	return result
}

func probe(ctx context.Context, target ProbeTarget, dial func(ctx context.Context) (net.Conn, error)) ProbeResult {
	conn, err := dial(ctx)
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
