package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Reason says why the gateway itself answered a request, or why a stream ended
// early.
type Reason string

// Reasons.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad_request"
	ReasonHeadTooLong     Reason = "head_too_long"
	ReasonBodyTooLong     Reason = "body_too_long"
	ReasonBodyNotRead     Reason = "body_not_read"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonStale           Reason = "configuration_too_old"
	ReasonNoRoute         Reason = "no_route"
	ReasonKeyMissing      Reason = "key_missing"
	ReasonKeyUnknown      Reason = "key_unknown"
	ReasonNoMemory        Reason = "no_memory"
	ReasonNoServer        Reason = "no_server"
	ReasonTime            Reason = "time_over"
	ReasonServerFailed    Reason = "server_failed"
	ReasonRefused         Reason = "servers_refused"
	ReasonBusy            Reason = "servers_busy"
	ReasonResting         Reason = "servers_rest"
	ReasonLimited         Reason = "servers_limited"
	ReasonEvacuated       Reason = "servers_evacuated"
	ReasonNoRegion        Reason = "no_region_allowed"
	ReasonStopping        Reason = "stopping"
	ReasonCrashesServers  Reason = "crashes_servers"
	ReasonCallerGone      Reason = "caller_gone"
)

// detail says what a caller can do beyond what the status says, or is empty.
func (reason Reason) detail() string {
	if reason == ReasonCrashesServers {
		return "servers crash under this request; another try does not help until the time to return"
	}
	return ""
}

// outcome is how a request ended.
type outcome struct {
	// status is what the caller got, or zero when it got none.
	status int
	reason Reason
	// retryAfter is when a caller may return, or zero.
	retryAfter time.Duration
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// answered says that an answer has been written, or begun, already.
	answered bool
	// broken says that the answer was begun and cannot be ended.
	broken bool
	server string
}

// promisesNotRun reports whether a status tells callers that the request has not run and never will. A server's own word for
// that is another one, and without it such an answer isn't passed on: the caller would send again what may have run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// failure returns the outcome of a request that ends without an answer of a
// server. Not run is promised only where it is certain.
func failure(reason Reason, mayHaveRun bool, retryAfter time.Duration) outcome {
	if !mayHaveRun {
		return outcome{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
	}
	status := http.StatusBadGateway
	if reason == ReasonTime {
		status = http.StatusGatewayTimeout
	}
	return outcome{status: status, reason: reason, mayHaveRun: true}
}

func refusal(status int, reason Reason) outcome {
	return outcome{status: status, reason: reason}
}

// errorBody is the body of an answer of the gateway's own.
type errorBody struct {
	Error     Reason `json:"error"`
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// NotRun says that the request was not run and never will be.
	NotRun bool `json:"not_run"`
}

// writeOutcome writes an answer of the gateway's own.
func (gateway *Gateway) writeOutcome(writer http.ResponseWriter, id string, outcome outcome, detail string) {
	body, err := json.Marshal(errorBody{
		Error: outcome.reason, Detail: detail, RequestID: id, NotRun: !outcome.mayHaveRun,
	})
	if err != nil {
		gateway.logger.Error("answer not made", "request_id", id, "error", err)
	}
	header := writer.Header()
	gateway.codec.Refusal(header, id, outcome.retryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if gateway.stopping.Load() || outcome.status == http.StatusBadRequest {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(outcome.status)
	_, _ = writer.Write(body) // a caller that is gone needs no answer
}
