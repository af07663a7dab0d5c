package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got. Its status is zero if no response or no whole one arrived.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
}

// send sends one request to a gateway over a new connection and records what comes back.
func send(world *world, gateway int, method, path, id string) answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * routeTimeMS * time.Millisecond}
	payload := ""
	if method == http.MethodPost {
		payload = "body of " + id
	}
	request, err := http.NewRequest(method, "http://"+world.address(1, gateway, portFront)+path, strings.NewReader(payload))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(routeTimeMS))
	request.Header.Set("Authorization", "Bearer "+key)
	world.record.add("client: sends %s %s, request %s, to machine %d", method, path, id, gateway)
	response, err := client.Do(request)
	if err != nil {
		world.record.add("client: request %s gets no answer: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		world.record.add("client: request %s gets %d, cut after %d bytes: %v", id, response.StatusCode, len(data), err)
		return answer{err: err}
	}
	got := answer{status: response.StatusCode, sealed: response.Header.Get("Response-Seal") != "", body: string(data)}
	world.record.add("client: request %s gets %d, seal %q, %d bytes, framed as complete", id, got.status, response.Header.Get("Response-Seal"), len(data))
	return got
}
