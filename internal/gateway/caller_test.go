package gateway_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole says that the body ended as it should.
	whole bool
	// last says that the connection takes no other request.
	last bool
	// at is when its head came, and took how long after the caller asked all of it had.
	at   time.Time
	took time.Duration
}

// caller is a request of a caller.
type caller struct {
	method string
	path   string
	header map[string]string
	body   string
	// chunked says that the length of the body is not stated.
	chunked bool
	// vm is the address that the caller asks, or empty for that of the first VM.
	vm string
	// give is after how long the caller leaves, or zero for never.
	give time.Duration
}

// stream returns a request on a route of streams.
func stream(route string) caller {
	return caller{method: http.MethodPost, path: "/" + route + "/x?a=%2F&b=1", body: "prompt", header: map[string]string{
		"Token-Counts": "4960,500", "Model": "m", "Prefix-Hash": "5c1e07a2:800",
	}}
}

// plain returns a request on a route of plain services.
func plain(method, route string) caller {
	return caller{method: method, path: "/" + route + "/x"}
}

func (caller caller) with(name, value string) caller {
	header := maps.Clone(caller.header)
	if header == nil {
		header = make(map[string]string)
	}
	header[name] = value
	caller.header = header
	return caller
}

// ask sends a request on a connection of its own.
func (world *world) ask(caller caller) answer {
	world.mu.Lock()
	world.next++
	id := fmt.Sprintf("request-%d", world.next)
	world.mu.Unlock()
	header := map[string]string{
		"Host": "register.example", "Request-Id": id, "Deadline-Ms": "10000", "Authorization": "Bearer " + testKey,
	}
	maps.Copy(header, caller.header)
	raw := &strings.Builder{}
	fmt.Fprintf(raw, "%s %s HTTP/1.1\r\n", caller.method, caller.path)
	for name, value := range header {
		if value != "" {
			fmt.Fprintf(raw, "%s: %s\r\n", name, value)
		}
	}
	switch {
	case caller.chunked:
		fmt.Fprintf(raw, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(caller.body), caller.body)
		caller.body = ""
	case caller.body != "":
		fmt.Fprintf(raw, "Content-Length: %d\r\n", len(caller.body))
	}
	raw.WriteString("\r\n" + caller.body)
	return world.rawAt(cmp.Or(caller.vm, vmAddress), raw.String(), caller.give)
}

// raw sends bytes to the first VM on a connection of its own and reads one answer.
func (world *world) raw(bytes string, give time.Duration) answer {
	return world.rawAt(vmAddress, bytes, give)
}

func (world *world) rawAt(address, bytes string, give time.Duration) answer {
	started := time.Now()
	conn, err := world.network.Dial(world.t.Context(), address)
	if err != nil {
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	if give > 0 {
		timer := time.AfterFunc(give, func() { _ = conn.Close() })
		defer timer.Stop()
	}
	go func() { _, _ = io.WriteString(conn, bytes) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{took: time.Since(started)}
	}
	at := time.Now()
	body, err := io.ReadAll(response.Body)
	return answer{
		at:     at,
		status: response.StatusCode, header: response.Header, body: string(body),
		whole: err == nil, last: response.Close, took: time.Since(started),
	}
}
