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

// callerResponse is the response that a caller received. A zero status means that there was none.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// complete reports whether the body ended without an error.
	complete bool
	// closesConnection reports whether the response closes the connection.
	closesConnection bool
	// headersAt is when the headers arrived.
	headersAt time.Time
	// duration is the time from sending the request to the end of the response.
	duration time.Duration
}

// callerRequest is a request that a test sends to a VM.
type callerRequest struct {
	method string
	path   string
	header map[string]string
	body   string
	// chunked sends the body in chunks, without Content-Length.
	chunked bool
	// vm is the address of the VM to send to; empty means the first VM.
	vm string
	// disconnectAfter is the time after which the caller closes the connection; zero means never.
	disconnectAfter time.Duration
}

// streamRequest returns a request to a streaming route.
func streamRequest(route string) callerRequest {
	return callerRequest{method: http.MethodPost, path: "/" + route + "/x?a=%2F&b=1", body: "prompt", header: map[string]string{
		"Token-Counts": "4960,500", "Model": "m", "Prefix-Hash": "5c1e07a2:800",
	}}
}

// plainRequest returns a request to a route of the plain service.
func plainRequest(method, route string) callerRequest {
	return callerRequest{method: method, path: "/" + route + "/x"}
}

// with returns a copy of the request with one header set. An empty value removes a header that query adds.
func (callerRequest callerRequest) with(name, value string) callerRequest {
	header := maps.Clone(callerRequest.header)
	if header == nil {
		header = make(map[string]string)
	}
	header[name] = value
	callerRequest.header = header
	return callerRequest
}

// query sends a request on a new connection and returns the response.
func (harness *harness) query(callerRequest callerRequest) callerResponse {
	harness.mu.Lock()
	harness.lastID++
	id := fmt.Sprintf("request-%d", harness.lastID)
	harness.mu.Unlock()
	header := map[string]string{
		"Host": "register.example", "Request-Id": id, "Deadline-Ms": "10000", "Authorization": "Bearer " + testKey,
	}
	maps.Copy(header, callerRequest.header)
	message := &strings.Builder{}
	fmt.Fprintf(message, "%s %s HTTP/1.1\r\n", callerRequest.method, callerRequest.path)
	for name, value := range header {
		if value != "" {
			fmt.Fprintf(message, "%s: %s\r\n", name, value)
		}
	}
	switch {
	case callerRequest.chunked:
		fmt.Fprintf(message, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(callerRequest.body), callerRequest.body)
		callerRequest.body = ""
	case callerRequest.body != "":
		fmt.Fprintf(message, "Content-Length: %d\r\n", len(callerRequest.body))
	}
	message.WriteString("\r\n" + callerRequest.body)
	return harness.sendRawTo(cmp.Or(callerRequest.vm, vmAddress), message.String(), callerRequest.disconnectAfter)
}

// sendRaw sends bytes to the first VM on a new connection and reads one response.
func (harness *harness) sendRaw(message string, disconnectAfter time.Duration) callerResponse {
	return harness.sendRawTo(vmAddress, message, disconnectAfter)
}

// sendRawTo is sendRaw for the VM at an address.
func (harness *harness) sendRawTo(address, message string, disconnectAfter time.Duration) callerResponse {
	started := time.Now()
	conn, err := harness.network.Dial(harness.t.Context(), address)
	if err != nil {
		return callerResponse{}
	}
	defer func() { _ = conn.Close() }()
	if disconnectAfter > 0 {
		timer := time.AfterFunc(disconnectAfter, func() { _ = conn.Close() })
		defer timer.Stop()
	}
	go func() { _, _ = io.WriteString(conn, message) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerResponse{duration: time.Since(started)}
	}
	headersAt := time.Now()
	body, err := io.ReadAll(response.Body)
	return callerResponse{
		headersAt: headersAt,
		status:    response.StatusCode, header: response.Header, body: string(body),
		complete: err == nil, closesConnection: response.Close, duration: time.Since(started),
	}
}
