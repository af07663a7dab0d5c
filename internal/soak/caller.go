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

	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Outcome is what a caller observed of one request.
type Outcome struct {
	ID    string
	Route string
	// VM is the name of the VM that the request was sent to.
	VM     string
	Key    string
	Sent   time.Time
	Ended  time.Time
	Status int
	// Seal is the Response-Seal header: the server that the response came from.
	Seal string
	// RetryAfter is the delay from the Retry-After header, or zero.
	RetryAfter time.Duration
	// Complete reports whether the response body ended properly by HTTP framing.
	Complete bool
	Body     string
	// WantBody is the body of a complete response.
	WantBody string
	Err      string
}

// succeeded reports whether the caller got a complete response with status 200.
func (outcome Outcome) succeeded() bool {
	return outcome.Complete && outcome.Status == http.StatusOK
}

// refusedForCapacity reports whether the caller was refused for want of servers, and told when to return.
func (outcome Outcome) refusedForCapacity() bool {
	return outcome.Status == http.StatusServiceUnavailable && outcome.RetryAfter > 0 &&
		strings.Contains(outcome.Body, string(gateway.ReasonServersBusy))
}

// Parameters of the callers' requests.
const (
	shortTokens       = 2000
	shortOutputTokens = 430
	longOutputTokens  = 200
	// minLongTokens and maxLongTokens bound long prompts; the longest need several engines.
	minLongTokens = 40_000
	maxLongTokens = 260_000
	// maxThinkTime bounds the random pause between requests.
	maxThinkTime = 60 * time.Millisecond
	// callerMargin is how long a caller waits beyond the route's timeout.
	callerMargin = 6 * time.Second
)

// caller sends requests sequentially over keep-alive connections.
type caller struct {
	environment *environment
	random      *rand.Rand
	client      *http.Client
}

func newCaller(environment *environment, number int) *caller {
	seed := environment.settings.Seed*1000 + uint64(number) //nolint:gosec // small non-negative number
	return &caller{
		environment: environment, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // not security-sensitive
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
			// Idle connections stay open until the VM closes them.
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		}},
	}
}

// run sends requests until ctx is done and returns their outcomes.
func (caller *caller) run(ctx context.Context) []Outcome {
	defer caller.client.CloseIdleConnections()
	var outcomes []Outcome
	for ctx.Err() == nil {
		outcome := caller.send(caller.nextRequest())
		outcomes = append(outcomes, outcome)
		wait.For(ctx, outcome.RetryAfter+time.Duration(caller.random.Int64N(int64(maxThinkTime))))
	}
	return outcomes
}

// request is a prepared request and the outcome to fill in.
type request struct {
	outcome Outcome
	method  string
	address string
	header  map[string]string
}

// nextRequest returns the next random request.
func (caller *caller) nextRequest() request {
	vm := caller.environment.vms[caller.random.IntN(len(caller.environment.vms))]
	id := fmt.Sprintf("%016x", caller.random.Uint64())
	next := newRequest(vm, id, caller.environment.operator.keyByNumber(caller.random.IntN(1<<16)))
	switch route := caller.random.IntN(100); {
	case route < 40:
		next.setStream(routeStream, shortTokens, shortOutputTokens)
	case route < 48:
		next.setStream(routeLong, minLongTokens+caller.random.IntN(maxLongTokens-minLongTokens), longOutputTokens)
	case route < 58:
		next.setStream(routeOnce, shortTokens, shortOutputTokens)
	case route < 75:
		next.setPlain(http.MethodGet, routeSafe)
	case route < 95:
		next.setPlain(http.MethodPost, routeUnsafe)
	default:
		name := caller.environment.operator.newestRoute()
		if name == "" {
			name = routeSafe
		}
		next.setPlain(http.MethodGet, name)
	}
	return next
}

// newRequest returns a request to a VM; the route is set by setStream or setPlain.
func newRequest(vm *vm, id, key string) request {
	return request{
		outcome: Outcome{ID: id, VM: vm.name, Key: key}, method: http.MethodPost, address: vm.front.address(),
		header: map[string]string{
			"Request-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": fmt.Sprint(routeTimeout.Milliseconds()),
		},
	}
}

func (request *request) setStream(route string, promptTokens, outputTokens int) {
	request.outcome.Route = route
	request.header["Token-Counts"] = fmt.Sprintf("%d,%d", promptTokens, outputTokens)
	request.header["Model"] = "m"
	request.header["Prefix-Hash"] = sharedPart + ":40," + request.outcome.ID + ":40"
	body := &strings.Builder{}
	for event := range platformserver.ProductionModel().EventCount(outputTokens) {
		body.WriteString(platformserver.Event(request.outcome.ID, event+1))
	}
	request.outcome.WantBody = body.String()
}

func (request *request) setPlain(method, route string) {
	request.outcome.Route = route
	request.method = method
	request.outcome.WantBody = platformserver.PlainBody(request.outcome.ID)
}

// target is the path and query of a request, which servers must receive unchanged.
func target(outcome Outcome) string {
	if crashingPrefixOf(outcome.ID) == crashingIDPrefix {
		return "/" + outcome.Route + "/" + crashingIDPrefix
	}
	if strings.HasPrefix(outcome.ID, pollIDPrefix) {
		return "/" + outcome.Route + "/" + pollIDPrefix
	}
	return "/" + outcome.Route + "/x%2Fy?id=" + outcome.ID
}

// payload is the body of a POST request, except of one that crashes servers.
func payload(id string) string {
	return "payload of " + id
}

// bodyOf returns the body of the POST request with that ID.
func bodyOf(id string) string {
	if crashingPrefixOf(id) == crashingIDPrefix {
		return crashingBody
	}
	return payload(id)
}

// send sends one request and reads the whole response.
func (caller *caller) send(request request) Outcome {
	outcome := request.outcome
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout+callerMargin)
	defer cancel()
	var body io.Reader
	if request.method == http.MethodPost {
		body = strings.NewReader(bodyOf(outcome.ID))
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, "http://"+request.address+target(outcome), body)
	if err != nil {
		panic(err) // the address is valid by construction
	}
	httpRequest.Host = host
	for name, value := range request.header {
		httpRequest.Header.Set(name, value)
	}
	outcome.Sent = time.Now()
	response, err := caller.client.Do(httpRequest)
	if err != nil {
		outcome.Ended, outcome.Err = time.Now(), err.Error()
		return outcome
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end or failed
	outcome.Status, outcome.Seal = response.StatusCode, response.Header.Get("Response-Seal")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		outcome.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	content, err := io.ReadAll(bufio.NewReader(response.Body))
	outcome.Ended, outcome.Body, outcome.Complete = time.Now(), string(content), err == nil
	if err != nil {
		outcome.Err = err.Error()
	}
	return outcome
}
