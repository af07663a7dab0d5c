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

// Messages of the lines that are read.
const (
	messagePlaced = "placed"
	messageFirst  = "first event"
	messageEnded  = "ended"
)

// Request is one request at one VM. A caller that comes back makes another one.
type Request struct {
	ID string
	// Arrived is when its VM took it, by that VM's clock.
	Arrived time.Time
	Kind    catalog.Kind
	// Objective is the time within which an answer is in time; zero when its route
	// is not known.
	Objective time.Duration
	Tokens    int
	Cause     Cause
	// Took is how long it was with its VM; zero when the VM was killed.
	Took time.Duration
	// Excess is how much later than predicted its first event came.
	Excess time.Duration
	// Beside is how many other prompts were sent to its servers while it was read.
	Beside int
	route  string
	// placed and first are when it was last placed and when its first event came;
	// servers has those that read it.
	placed, first time.Time
	servers       []string
}

// collect returns the requests that lines tell of, in the order of arrival.
func collect(lines []logread.Line) []*Request {
	byID := make(map[string]*Request)
	routes := make(map[string]*Request)
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
			routes[request.route] = request
		}
	}
	requests := make([]*Request, 0, len(byID))
	for _, request := range byID {
		// One whose VM was killed has no last line: others of its route tell its kind.
		if alike := routes[request.route]; alike != nil && request.Cause == CauseKilled {
			request.Kind, request.Objective = alike.Kind, alike.Objective
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

// causeOf tells why the request of a last line was not served in time.
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

// plainCause judges an answer that is held whole.
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

// streamCause judges a whole stream.
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

// countBeside counts for each request the others that were sent to one of its
// servers while it was read.
func countBeside(requests []*Request) {
	byServer := make(map[string][]*Request)
	for _, request := range requests {
		for _, server := range request.servers {
			byServer[server] = append(byServer[server], request)
		}
	}
	for _, request := range requests {
		beside := make(map[*Request]bool)
		for _, server := range request.servers {
			for _, other := range byServer[server] {
				if other != request && other.placed.Before(request.first) && other.first.After(request.placed) {
					beside[other] = true
				}
			}
		}
		request.Beside = len(beside)
	}
}
