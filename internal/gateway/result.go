package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/upstream"
)

// resultKind classifies the result of one attempt. The values are labels of metrics.
type resultKind string

const (
	// resultCompleted: the caller received the whole response.
	resultCompleted resultKind = "answered"
	// resultNotRun: the server certainly did not execute the request.
	resultNotRun resultKind = "not_run"
	// resultUncertain: the server may have executed the request, in part or in whole.
	resultUncertain resultKind = "uncertain"
	// resultNoMemory: nothing was sent, because engine memory could not be reserved.
	resultNoMemory resultKind = "no_memory"
	// resultServerUnavailable: nothing was sent, because a server of the plan stopped accepting
	// requests after it was chosen.
	resultServerUnavailable resultKind = "moved"
	// resultTruncated: the response to the caller was started and cannot be completed.
	resultTruncated resultKind = "broken"
)

// result is the result of one attempt.
type result struct {
	kind   resultKind
	status int
	err    error
	// failedServer is the address of the server that failed, or empty if it is the server that the
	// request was sent to.
	failedServer string
	// serverClosed is true if the server accepts no more requests.
	serverClosed bool
	// connectionLost is true if the connection broke while the server was processing the request. A
	// server crash has this effect on all its requests.
	connectionLost bool
	// lostThroughVM is true if the server ended a connection that led through another VM while it was processing the
	// request. This says whether the request crashes servers, but is no evidence against the server.
	lostThroughVM bool
	// notSent is true if no connection to the server was made, so that the request cannot have
	// reached it.
	notSent bool
	// receivedEvent is true if an event was received from the server.
	receivedEvent bool
	// serverNotAtFault is true if the failure is not evidence against the server.
	serverNotAtFault bool
	// response is the server's response that is forwarded if no further attempt succeeds, or nil.
	response *bufferedResponse
}

// sendErrorResult returns the result of a request that could not be sent or got no response:
// it was certainly not executed only if no connection was made.
func sendErrorResult(ctx context.Context, err error) result {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return result{kind: resultNotRun, notSent: true, err: err}
	}
	return result{kind: resultUncertain, err: err}.withLoss(ctx)
}

// withLoss returns the result with what its error says of the connection to the server, unless ctx is
// done: then the connection ended for that reason.
func (result result) withLoss(ctx context.Context) result {
	var path *upstream.PathError
	isPathError := errors.As(result.err, &path)
	result.serverNotAtFault = isPathError
	result.connectionLost = ctx.Err() == nil && !isPathError
	result.lostThroughVM = ctx.Err() == nil && isPathError && path.ServerEnded()
	return result
}
