package losses

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/logread"
)

// Messages of the log lines that are evaluated.
const (
	messagePlaced = "placed"
	messageFirst  = "first event"
	messageEnded  = "ended"
)

// Request is one request at one VM. A caller's retry is another request.
type Request struct {
	ID string
	// Arrived is when the VM received the request, by the VM's clock.
	Arrived time.Time
	Kind    catalog.Kind
	// Objective is the time within which a response is in time. It is zero if the
	// request's route is unknown.
	Objective time.Duration
	Tokens    int
	Cause     Cause
	// Elapsed is the time from arrival to the end; zero if the VM was killed.
	Took time.Duration
	// TTFTExcess is the measured minus the predicted time to first event.
	Excess time.Duration
	// ConcurrentPrefills is the number of other prompts on its servers during its prefill.
	Beside int
	route  string
	// placedAt is the time of the last placement, and firstEventAt that of the first
	// event. servers has all servers that took part in the prefill.
	placed, first time.Time
	servers       []string
}

// collectRequests returns the requests in the lines, in the order of arrival.
func collect(lines []logread.Line) []*Request {
	byID := make(map[string]*Request)
	lastOfRoute := make(map[string]*Request)
	for _, line := range sorted(lines) {
		if line.Request == "" || line.At.IsZero() {
			continue
		}
		request := byID[line.Request]
		if request == nil {
			request = &Request{ID: line.Request, Arrived: line.At, Cause: CauseKilled}
			byID[line.Request] = request
		}
		switch line.Message {
		case messagePlaced:
			request.place(line)
		case messageFirst:
			request.first = line.At
		case messageEnded:
			request.end(line)
			lastOfRoute[request.route] = request
		}
	}
	requests := make([]*Request, 0, len(byID))
	for _, request := range byID {
		// If the VM was killed, there is no last line with the kind and the objective. They are the
		// same for all requests of a route.
		if ended := lastOfRoute[request.route]; ended != nil && request.Cause == CauseKilled {
			request.Kind, request.Objective = ended.Kind, ended.Objective
		}
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b *Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	countBeside(requests)
	return requests
}

func sorted(lines []logread.Line) []logread.Line {
	return slices.SortedStableFunc(slices.Values(lines), func(a, b logread.Line) int { return a.At.Compare(b.At) })
}

func (request *Request) place(line logread.Line) {
	request.placed = line.At
	request.route = line.Text("route")
	request.Tokens = line.Count("tokens")
	request.servers = append(line.Texts("helpers"), line.Text("server"))
}

func (request *Request) end(line logread.Line) {
	request.Took = line.Duration("took")
	request.Arrived = line.At.Add(-request.Took)
	request.route = line.Text("route")
	request.Kind = catalog.Kind(line.Text("kind"))
	request.Objective = line.Duration("objective")
	request.Tokens = line.Count("tokens")
	request.Cause = causeOf(line)
	if first := line.Duration("first"); first > 0 {
		request.Excess = first - line.Duration("predicted")
	}
}

// causeOf returns the cause for the last line of a request.
func causeOf(line logread.Line) Cause {
	status := line.Count("status")
	switch gateway.Reason(line.Text("reason")) {
	case gateway.ReasonCallerGone:
		return CauseLeft
	case gateway.ReasonStopping:
		return CauseStopping
	case gateway.ReasonDeadlineExceeded:
		return CauseTime
	case gateway.ReasonServersBusy:
		return CauseHeld
	case gateway.ReasonServersRefused:
		return CauseBudget
	case gateway.ReasonNoConfiguration, gateway.ReasonStaleConfiguration:
		return CauseUnknown
	case gateway.ReasonServerFailed:
		return CauseServer
	}
	switch {
	case status/100 == 4:
		return CauseRejected
	case status != http.StatusOK || line.Flag("broken"):
		return CauseServer
	case line.Text("kind") != string(catalog.KindStream):
		return plainCause(line)
	default:
		return streamCause(line)
	}
}

// bufferedCause returns the cause for a response that is not a stream, and is complete.
func plainCause(line logread.Line) Cause {
	switch {
	case line.Duration("took") <= line.Duration("objective"):
		return CauseNone
	case line.Count("sends") > 1:
		return CauseAgain
	default:
		return CauseSlow
	}
}

// streamCause returns the cause for a complete stream.
func streamCause(line logread.Line) Cause {
	objective, gap := line.Duration("objective"), line.Duration("gap")
	waited, predicted := line.Duration("waited"), line.Duration("predicted")
	switch {
	case line.Duration("first") <= objective && (gap == 0 || line.Duration("pause") <= gap):
		return CauseNone
	case line.Duration("first") <= objective:
		return CausePause
	case line.Count("sends") > 1:
		return CauseAgain
	case predicted <= objective:
		return CauseRead
	case predicted-waited > objective:
		return CauseNarrow
	case line.Count("taken_back") > 0:
		return CauseContested
	default:
		return CauseWaited
	}
}

// countConcurrentPrefills sets Request.ConcurrentPrefills of all requests: the
// number of others on at least one of the same servers during the prefill.
func countBeside(requests []*Request) {
	byServer := make(map[string][]*Request)
	for _, request := range requests {
		for _, server := range request.servers {
			byServer[server] = append(byServer[server], request)
		}
	}
	for _, request := range requests {
		concurrent := make(map[*Request]bool)
		for _, server := range request.servers {
			for _, other := range byServer[server] {
				if other != request && other.placed.Before(request.first) && other.first.After(request.placed) {
					concurrent[other] = true
				}
			}
		}
		request.Beside = len(concurrent)
	}
}
