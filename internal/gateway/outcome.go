package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Reason is why the gateway itself generated the response to a request, or why it ended a stream
// early. The values are sent to callers and are labels of metrics.
type Reason string

// The reasons for which the gateway ends a request.
const (
	ReasonNone               Reason = ""
	ReasonBadRequest         Reason = "bad_request"
	ReasonHeaderTooLong      Reason = "head_too_long"
	ReasonBodyTooLong        Reason = "body_too_long"
	ReasonBodyNotRead        Reason = "body_not_read"
	ReasonNoConfiguration    Reason = "no_configuration"
	ReasonStaleConfiguration Reason = "configuration_too_old"
	ReasonNoRoute            Reason = "no_route"
	ReasonKeyMissing         Reason = "key_missing"
	ReasonKeyUnknown         Reason = "key_unknown"
	ReasonNoMemory           Reason = "no_memory"
	ReasonNoServer           Reason = "no_server"
	ReasonDeadlineExceeded   Reason = "time_over"
	ReasonServerFailed       Reason = "server_failed"
	ReasonServersRefused     Reason = "servers_refused"
	ReasonServersBusy        Reason = "servers_busy"
	ReasonServersBackoff     Reason = "servers_rest"
	ReasonServersRateLimited Reason = "servers_limited"
	ReasonServersEvacuated   Reason = "servers_evacuated"
	// ReasonOrganisationOverShare: the organisation uses its share of the servers, and others need the rest.
	ReasonOrganisationOverShare Reason = "organisation_over_share"
	ReasonNoAllowedRegion       Reason = "no_region_allowed"
	ReasonStopping              Reason = "stopping"
	ReasonCrashesServers        Reason = "crashes_servers"
	ReasonCallerGone            Reason = "caller_gone"
	// ReasonPanicked: the handler of the request panicked.
	ReasonPanicked Reason = "internal_error"
)

// detail returns what a caller can do beyond what the status implies, or an empty string.
func (reason Reason) detail() string {
	switch reason {
	case ReasonCrashesServers:
		return "servers crash under this request; another try does not help until the time to return"
	case ReasonOrganisationOverShare:
		return "the organisation's other requests use its share of the servers; another try before the time to return gains nothing"
	default:
		return ""
	}
}

// outcome is how a request ended.
type outcome struct {
	// status is the status that the caller received or is to receive, or zero if there is none.
	status int
	reason Reason
	// retryAfter is after how long the caller may retry; zero means that this is not stated.
	retryAfter time.Duration
	// mayHaveRun is true if a server may have executed the request.
	mayHaveRun bool
	// responseWritten is true if a response was already written or started.
	responseWritten bool
	// truncated is true if the response was started and cannot be completed.
	truncated bool
	server    string
}

// impliesNotRun reports whether a status states to callers that the request was not executed and
// never will be. A server makes this statement in a header; a response with such a status but
// without the header is not forwarded, since the caller might send again a request that was
// executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// failure returns the outcome of a request that ends without a response of a server. Its status
// states that the request was not executed only if that is certain.
func failure(reason Reason, mayHaveRun bool, retryAfter time.Duration) outcome {
	if !mayHaveRun {
		return outcome{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
	}
	status := http.StatusBadGateway
	if reason == ReasonDeadlineExceeded {
		status = http.StatusGatewayTimeout
	}
	return outcome{status: status, reason: reason, mayHaveRun: true}
}

// refusal returns the outcome of a request that is refused before any server received it.
func refusal(status int, reason Reason) outcome {
	return outcome{status: status, reason: reason}
}

// errorBody is the JSON body of a response that the gateway itself generates.
type errorBody struct {
	Error     Reason `json:"error"`
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// NotRun is true if the request was not executed and never will be.
	NotRun bool `json:"not_run"`
}

// writeOutcome writes a response that the gateway itself generates.
func (gateway *Gateway) writeOutcome(writer http.ResponseWriter, id string, outcome outcome, detail string) {
	body, err := json.Marshal(errorBody{
		Error: outcome.reason, Detail: detail, RequestID: id, NotRun: !outcome.mayHaveRun,
	})
	if err != nil {
		gateway.logger.Error("encoding the error response failed", "request_id", id, "error", err)
	}
	header := writer.Header()
	gateway.codec.Refusal(header, id, outcome.retryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if gateway.stopping.Load() || outcome.status == http.StatusBadRequest {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(outcome.status)
	_, _ = writer.Write(body) // the caller may have disconnected
}
