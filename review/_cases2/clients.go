package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is the outcome of one client attempt.
type attempt struct {
	id     string
	sentAt time.Time
	// status is zero where no whole answer came.
	status     int
	sealed     bool
	body       string
	retryAfter time.Duration
	err        error
}

// served reports whether the client got the server's whole answer.
func (attempt attempt) served() bool { return attempt.status == http.StatusOK && attempt.sealed }

// call is a request of a client, which it sends anew under another ID when it retries.
type call struct {
	method, path, body string
	header             http.Header
	deadline           time.Duration
	// safe requests are sent again after any failure, others only after a promise that they have not run.
	safe bool
}

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one client attempt to a VM on a connection of its own.
func (world *world) do(address string, call call, left time.Duration) attempt {
	result := attempt{id: newID(), sentAt: time.Now()}
	request, err := http.NewRequest(call.method, "http://"+address+call.path, strings.NewReader(call.body))
	if err != nil {
		panic(err)
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", result.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+clientKey)
	client := &http.Client{Timeout: left, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
	} else {
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		result.err, result.body = err, string(body)
		if err == nil {
			result.status = response.StatusCode
		}
		result.sealed = response.Header.Get("Response-Seal") != ""
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	world.log("client sent %s %s to %s, answered %d sealed=%v after %d ms: %.120q %v", call.method, call.path, address, result.status,
		result.sealed, time.Since(result.sentAt).Milliseconds(), result.body, result.err)
	return result
}

// send sends a request and one retry as the pages tell, to ready VMs. It returns all attempts.
func (world *world) send(call call) []attempt {
	startedAt := time.Now()
	var attempts []attempt
	for range 2 {
		left := call.deadline - time.Since(startedAt)
		if left <= 0 {
			break
		}
		address, found := world.entry()
		if !found {
			attempts = append(attempts, attempt{id: newID(), sentAt: time.Now()})
			break
		}
		attempt := world.do(address, call, left)
		attempts = append(attempts, attempt)
		promised := attempt.status == http.StatusServiceUnavailable || attempt.status == http.StatusTooManyRequests
		if attempt.served() || attempt.status == http.StatusNotFound || (!call.safe && !promised) {
			break
		}
		time.Sleep(min(attempt.retryAfter, (call.deadline-time.Since(startedAt))/3))
	}
	return attempts
}

// entries are the VMs that the platform passes connections to.
type entries struct {
	mu    sync.Mutex
	ready map[*vm]bool
	next  int
}

// watch asks each VM each second whether it is ready, until stop is closed.
func (world *world) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var asking sync.WaitGroup
		for _, vm := range world.vms {
			asking.Go(func() {
				ready := false
				if response, err := client.Get("http://" + vm.ready + "/ready"); err == nil {
					_ = response.Body.Close()
					ready = response.StatusCode == http.StatusOK
				}
				world.entries.mu.Lock()
				defer world.entries.mu.Unlock()
				if ready != world.entries.ready[vm] {
					world.log("platform: %s ready=%v", vm.name, ready)
				}
				world.entries.ready[vm] = ready
			})
		}
		asking.Wait()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// entry returns the front address of a VM that is in, each in turn.
func (world *world) entry() (string, bool) {
	world.entries.mu.Lock()
	defer world.entries.mu.Unlock()
	for range world.vms {
		vm := world.vms[world.entries.next%len(world.vms)]
		world.entries.next++
		if world.entries.ready[vm] {
			return vm.front, true
		}
	}
	return world.vms[0].front, true
}

// reset ends the connection of a request with a reset.
func reset(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
