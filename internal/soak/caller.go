package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Outcome is what a caller saw of one request.
type Outcome struct {
	ID    string
	Route string
	// VM is the name of the one that was asked.
	VM     string
	Key    string
	Sent   time.Time
	Ended  time.Time
	Status int
	// Seal names the server that the answer came from.
	Seal string
	// RetryAfter is when a refused caller may return.
	RetryAfter time.Duration
	// Whole says that the answer ended as HTTP says it must.
	Whole bool
	Body  string
	// Want is the body of a whole answer.
	Want string
	Err  string
}

// answered reports whether the caller got a success, whole.
func (outcome Outcome) answered() bool {
	return outcome.Whole && outcome.Status == http.StatusOK
}

// Shape of a caller's requests.
const (
	shortTokens = 2000
	shortOut    = 430
	longOut     = 200
	// longMin and longMax bound long prompts; the longest need several engines.
	longMin = 40_000
	longMax = 260_000
	// thinkTime is the longest pause between requests.
	thinkTime = 60 * time.Millisecond
	// patience is how long a caller waits beyond the route's time.
	patience = 6 * time.Second
)

// caller sends requests one after the other, over connections that it keeps.
type caller struct {
	world  *world
	random *rand.Rand
	client *http.Client
}

func newCaller(world *world, number int) *caller {
	seed := world.settings.Seed*1000 + uint64(number) //nolint:gosec // a small count
	return &caller{
		world: world, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // no secret
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
			// Connections are kept until the VM closes them.
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		}},
	}
}

// run sends requests until ctx is done, and returns what became of them.
func (caller *caller) run(ctx context.Context) []Outcome {
	defer caller.client.CloseIdleConnections()
	var outcomes []Outcome
	for ctx.Err() == nil {
		outcome := caller.ask(caller.draw())
		outcomes = append(outcomes, outcome)
		wait.For(ctx, outcome.RetryAfter+time.Duration(caller.random.Int64N(int64(thinkTime))))
	}
	return outcomes
}

// request is one request as it will be sent.
type request struct {
	outcome Outcome
	method  string
	address string
	header  map[string]string
}

// draw draws the next request.
func (caller *caller) draw() request {
	vm := caller.world.vms[caller.random.IntN(len(caller.world.vms))]
	id := fmt.Sprintf("%016x", caller.random.Uint64())
	drawn := newRequest(vm, id, caller.world.operator.someKey(caller.random.IntN(1<<16)))
	switch route := caller.random.IntN(100); {
	case route < 40:
		drawn.stream(routeStream, shortTokens, shortOut)
	case route < 48:
		drawn.stream(routeLong, longMin+caller.random.IntN(longMax-longMin), longOut)
	case route < 58:
		drawn.stream(routeOnce, shortTokens, shortOut)
	case route < 75:
		drawn.plain(http.MethodGet, routeSafe)
	case route < 95:
		drawn.plain(http.MethodPost, routeUnsafe)
	default:
		name := caller.world.operator.newestRoute()
		if name == "" {
			name = routeSafe
		}
		drawn.plain(http.MethodGet, name)
	}
	return drawn
}

// newRequest returns a request to a VM, of which the route is to be said.
func newRequest(vm *vm, id, key string) request {
	return request{
		outcome: Outcome{ID: id, VM: vm.name, Key: key}, method: http.MethodPost, address: vm.front.address(),
		header: map[string]string{
			"Request-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": fmt.Sprint(timeout.Milliseconds()),
		},
	}
}

func (request *request) stream(route string, in, out int) {
	request.outcome.Route = route
	request.header["Token-Counts"] = fmt.Sprintf("%d,%d", in, out)
	request.header["Model"] = "m"
	request.header["Prefix-Hash"] = "5c1e07a2:40"
	body := &strings.Builder{}
	for event := range platformserver.ProductionModel().EventCount(out) {
		body.WriteString(platformserver.Event(request.outcome.ID, event+1))
	}
	request.outcome.Want = body.String()
}

func (request *request) plain(method, route string) {
	request.outcome.Route = route
	request.method = method
	request.outcome.Want = platformserver.PlainBody(request.outcome.ID)
}

// target is the path and query of a request, which servers must see unchanged.
func target(outcome Outcome) string {
	if strings.HasPrefix(outcome.ID, harmfulID) {
		return "/" + outcome.Route + "/" + harmfulID
	}
	return "/" + outcome.Route + "/x%2Fy?id=" + outcome.ID
}

// payload is the body of a request that has one.
func payload(id string) string {
	return "payload of " + id
}

// bodyOf returns the body of the request with that ID.
func bodyOf(id string) string {
	if strings.HasPrefix(id, harmfulID) {
		return harmfulBody
	}
	return payload(id)
}

// ask sends one request and reads the answer.
func (caller *caller) ask(request request) Outcome {
	outcome := request.outcome
	ctx, cancel := context.WithTimeout(context.Background(), timeout+patience)
	defer cancel()
	var body io.Reader
	if request.method == http.MethodPost {
		body = strings.NewReader(bodyOf(outcome.ID))
	}
	sent, err := http.NewRequestWithContext(ctx, request.method, "http://"+request.address+target(outcome), body)
	if err != nil {
		panic(err) // the address is ours
	}
	sent.Host = host
	for name, value := range request.header {
		sent.Header.Set(name, value)
	}
	outcome.Sent = time.Now()
	response, err := caller.client.Do(sent)
	if err != nil {
		outcome.Ended, outcome.Err = time.Now(), err.Error()
		return outcome
	}
	defer func() { _ = response.Body.Close() }() // it was read
	outcome.Status, outcome.Seal = response.StatusCode, response.Header.Get("Response-Seal")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		outcome.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	read, err := io.ReadAll(bufio.NewReader(response.Body))
	outcome.Ended, outcome.Body, outcome.Whole = time.Now(), string(read), err == nil
	if err != nil {
		outcome.Err = err.Error()
	}
	return outcome
}
