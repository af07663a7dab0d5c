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
	messagePlaced     = "placed"
	messageFirstEvent = "first event"
	messageEnded      = "ended"
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
	// Organisation is empty for a caller without one.
	Organisation string
	Tokens       int
	Cause        Cause
	// Elapsed is the time from arrival to the end; zero if the VM was killed.
	Elapsed time.Duration
	// TTFTExcess is the measured minus the predicted time to first event.
	TTFTExcess time.Duration
	// ConcurrentPrefills is the number of other prompts on its servers during its prefill.
	ConcurrentPrefills int
	route              string
	// placedAt is the time of the last placement, and firstEventAt that of the first
	// event. servers has all servers that took part in the prefill.
	placedAt, firstEventAt time.Time
	servers                []string
}

// collectRequests returns the requests in the lines, in the order of arrival.
func collectRequests(lines []logread.Line) []*Request {
	byID := make(map[string]*Request)
	lastOfRoute := make(map[string]*Request)
	for _, line := range sortedByTime(lines) {
		if line.Request == "" || line.Timestamp.IsZero() {
			continue
		}
		request := byID[line.Request]
		if request == nil {
			request = &Request{ID: line.Request, Arrived: line.Timestamp, Cause: CauseVMKilled}
			byID[line.Request] = request
		}
		switch line.Message {
		case messagePlaced:
			request.recordPlacement(line)
		case messageFirstEvent:
			request.firstEventAt = line.Timestamp
		case messageEnded:
			request.recordEnd(line)
			lastOfRoute[request.route] = request
		}
	}
	requests := make([]*Request, 0, len(byID))
	for _, request := range byID {
		// If the VM was killed, there is no last line with the kind and the objective. They are the
		// same for all requests of a route.
		if ended := lastOfRoute[request.route]; ended != nil && request.Cause == CauseVMKilled {
			request.Kind, request.Objective = ended.Kind, ended.Objective
		}
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b *Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	countConcurrentPrefills(requests)
	return requests
}

func sortedByTime(lines []logread.Line) []logread.Line {
	return slices.SortedStableFunc(slices.Values(lines), func(a, b logread.Line) int { return a.Timestamp.Compare(b.Timestamp) })
}

func (request *Request) recordPlacement(line logread.Line) {
	request.placedAt = line.Timestamp
	request.route = line.String("route")
	request.Tokens = line.Int("tokens")
	request.servers = append(line.Strings("helpers"), line.String("server"))
}

func (request *Request) recordEnd(line logread.Line) {
	request.Elapsed = line.Duration("took")
	request.Arrived = line.Timestamp.Add(-request.Elapsed)
	request.route = line.String("route")
	request.Kind = catalog.Kind(line.String("kind"))
	request.Objective = line.Duration("objective")
	request.Organisation = line.String("organisation")
	request.Tokens = line.Int("tokens")
	request.Cause = causeOf(line)
	if first := line.Duration("first"); first > 0 {
		request.TTFTExcess = first - line.Duration("predicted")
	}
}

// causeOf returns the cause for the last line of a request.
func causeOf(line logread.Line) Cause {
	status := line.Int("status")
	switch gateway.Reason(line.String("reason")) {
	case gateway.ReasonCallerGone:
		return CauseCallerGone
	case gateway.ReasonStopping:
		return CauseVMStopping
	case gateway.ReasonDeadlineExceeded:
		return CauseDeadlineExceeded
	case gateway.ReasonServersBusy:
		return CauseNoCapacity
	case gateway.ReasonOrganisationOverShare:
		return CauseOverShare
	case gateway.ReasonServersRefused:
		return CauseRetryBudget
	case gateway.ReasonNoConfiguration, gateway.ReasonStaleConfiguration:
		return CauseNoConfiguration
	case gateway.ReasonServerFailed:
		return CauseServerFailed
	}
	switch {
	case status/100 == 4:
		return CauseInvalidRequest
	case status != http.StatusOK || line.Bool("broken"):
		return CauseServerFailed
	case line.String("kind") != string(catalog.KindStream):
		return bufferedCause(line)
	default:
		return streamCause(line)
	}
}

// bufferedCause returns the cause for a response that is not a stream, and is complete.
func bufferedCause(line logread.Line) Cause {
	switch {
	case line.Duration("took") <= line.Duration("objective"):
		return CauseInTime
	case line.Int("sends") > 1:
		return CauseRetried
	default:
		return CauseSlowServer
	}
}

// streamCause returns the cause for a complete stream.
func streamCause(line logread.Line) Cause {
	objective, gap := line.Duration("objective"), line.Duration("gap")
	waited, predicted := line.Duration("waited"), line.Duration("predicted")
	switch {
	case line.Duration("first") <= objective && (gap == 0 || line.Duration("pause") <= gap):
		return CauseInTime
	case line.Duration("first") <= objective:
		return CauseInterTokenLatency
	case line.Int("sends") > 1:
		return CauseRetried
	case predicted <= objective:
		return CauseSlowPrefill
	case predicted-waited > objective:
		return CauseTooFewServers
	case line.Int("taken_back") > 0:
		return CauseContested
	default:
		return CauseQueued
	}
}

// countConcurrentPrefills sets Request.ConcurrentPrefills of all requests: the
// number of others on at least one of the same servers during the prefill.
func countConcurrentPrefills(requests []*Request) {
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
				if other != request && other.placedAt.Before(request.firstEventAt) && other.firstEventAt.After(request.placedAt) {
					concurrent[other] = true
				}
			}
		}
		request.ConcurrentPrefills = len(concurrent)
	}
}
