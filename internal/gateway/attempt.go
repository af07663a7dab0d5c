package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// errSilent ends an attempt whose server says nothing for too long.
var errSilent = errors.New("server is silent")

// plainAnswer is a whole answer of a server.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the servers of a plan, which use has taken.
func (run *run) attempt(ctx context.Context, plan placement.Plan, use *pool.Use) result {
	gateway := run.gateway
	defer use.Over()
	held, err := run.reserve(ctx, plan)
	if err != nil {
		return result{kind: resultNoMemory, err: err}
	}
	if held != nil {
		defer held.Release()
		if err := run.stillTaken(plan); err != nil {
			return result{kind: resultMoved, err: err}
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := run.patience(plan)
	var watchdog *time.Timer
	if patience > 0 {
		watchdog = time.AfterFunc(patience, func() { cancel(errSilent) })
		defer watchdog.Stop()
	}
	dispatch := run.dispatch(plan, held)
	request := upstream.Request{
		Server: plan.Server.ID,
		Method: run.incoming.Method,
		Target: run.incoming.RequestURI,
		Host:   run.incoming.Host,
		Header: gateway.codec.ServerHeader(run.incoming.Header, dispatch),
		Body:   run.body,
	}
	response, err := gateway.upstream.Send(ctx, plan.Server.Address, request, func(header http.Header) bool {
		return gateway.codec.Answer(http.StatusOK, header).ID == run.head.ID
	})
	if err != nil {
		return sendFailed(ctx, err)
	}
	answer := gateway.codec.Answer(response.Status, response.Header)
	defer func() { response.Close(answer.Idle) }()
	attempted := &attempted{plan: plan, use: use, response: response, watchdog: watchdog, patience: patience}
	if answer.Stream && answer.Whole && !answer.Encoded && response.Status/100 == 2 {
		return run.relay(ctx, attempted)
	}
	return run.receive(ctx, attempted, answer)
}

// reserve sets memory aside at the servers of a plan that needs it.
func (run *run) reserve(ctx context.Context, plan placement.Plan) (*reservation.Held, error) {
	if len(plan.Shares) == 0 {
		return nil, nil //nolint:nilnil // nothing is to be set aside
	}
	servers := append([]placement.Server{plan.Server}, plan.Helpers...)
	wants := make([]reservation.Want, 0, len(servers))
	for i, server := range servers {
		if plan.Shares[i] == 0 {
			continue
		}
		wants = append(wants, reservation.Want{Instance: server.ID, Address: server.Address, Tokens: plan.Shares[i]})
	}
	ticket := fmt.Sprintf("%s-%016x-%d", run.gateway.site.VM, run.seed, run.looks)
	held, err := run.gateway.reservations.Gather(ctx, ticket, wants)
	run.noteNotFree(err)
	return held, errors.Wrap(err, "reserve")
}

// stillTaken returns an error if a server of a plan takes nothing more from this VM, as it may have said while memory
// was set aside, which takes up to an order's time.
func (run *run) stillTaken(plan placement.Plan) error {
	if _, missing := run.gateway.pool.Find(run.service.Name, run.keptTo, plan.IDs()); len(missing) > 0 {
		return errors.Newf("%v take nothing more", missing)
	}
	return nil
}

// noteNotFree tells the pool which engines have less memory than was believed. One that gave
// another answer, or none, is not asked again for this request. Otherwise the same plan
// would be made again at each look, until the request is refused.
func (run *run) noteNotFree(err error) {
	var failed *reservation.GatherError
	if !errors.As(err, &failed) {
		return
	}
	for _, failure := range failed.Failures {
		if failure.Err == nil && failure.Reply.Kind == reservation.ReplyNotFree {
			run.gateway.pool.NotFree(run.service, failure.Instance, failure.Tokens, failure.Reply.Free)
			continue
		}
		run.tried = append(run.tried, failure.Instance)
	}
}

// sendFailed tells whether a request that could not be sent may have run.
func sendFailed(ctx context.Context, err error) result {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return result{kind: resultNotRun, notSent: true, err: err}
	}
	return result{kind: resultUncertain, lost: ctx.Err() == nil, err: err}
}

// patience is how long the server may be silent, or zero for until the
// deadline.
func (run *run) patience(plan placement.Plan) time.Duration {
	settings := run.gateway.settings.Request
	if !run.route.Repeatable() || run.runs+1 >= run.route.MaxAttempts {
		return 0
	}
	expected := max(plan.Predicted, run.route.Objective)
	return settings.Silence + time.Duration(settings.SilencePart*float64(expected))
}

// receive reads a plain answer whole, and passes it on when it is the last
// word.
func (run *run) receive(ctx context.Context, attempted *attempted, answer call.Answer) result {
	response := attempted.response
	body, release, err := run.gateway.answers.read(ctx, attempted, run.gateway.settings.Request.MaxAnswerBytes)
	defer release()
	switch {
	case err != nil:
		return result{
			kind: resultUncertain, status: response.Status, lost: ctx.Err() == nil, err: errors.Wrap(err, "body"),
		}
	case int64(len(body)) > run.gateway.settings.Request.MaxAnswerBytes:
		return result{kind: resultUncertain, status: response.Status, err: errors.New("body is too long")}
	case answer.NotRun:
		return result{
			kind: resultNotRun, status: response.Status, closed: answer.Misdirected && answer.AtServer == "",
			atFault: answer.AtServer, err: errors.Newf("status %d, not run", response.Status),
		}
	}
	if promisesNotRun(response.Status) {
		return result{
			kind: resultUncertain, status: response.Status, err: errors.Newf("status %d, but not said not to have run", response.Status),
		}
	}
	whole := &plainAnswer{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		if !answer.Whole {
			whole = nil
		}
		return result{
			kind: resultUncertain, status: response.Status, answer: whole,
			err: errors.Newf("status %d", response.Status),
		}
	}
	if response.Status/100 == 2 && (!answer.Whole || answer.Encoded) {
		return result{kind: resultUncertain, status: response.Status, err: errors.New("answer without a mark of origin")}
	}
	run.writePlain(whole)
	return result{kind: resultAnswered, status: response.Status}
}

// writePlain passes a whole answer on.
func (run *run) writePlain(answer *plainAnswer) {
	run.copyHeader(answer.header)
	run.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	run.boundWrite()
	run.writer.WriteHeader(answer.status)
	_, _ = io.Copy(run.writer, bytes.NewReader(answer.body)) // a caller that is gone needs no answer
}

// copyHeader puts a server's header into the answer.
func (run *run) copyHeader(header http.Header) {
	target := run.writer.Header()
	for name, values := range run.gateway.codec.ClientHeader(header) {
		target[name] = values
	}
	if _, stated := target["Content-Type"]; !stated {
		target["Content-Type"] = nil // net/http would guess one
	}
}

// boundWrite bounds how long the caller may take to read what comes next.
func (run *run) boundWrite() {
	deadline := run.gateway.now().Add(run.gateway.settings.Request.WriteTime)
	_ = http.NewResponseController(run.writer).SetWriteDeadline(run.gateway.clock.ForTimers(deadline)) // a connection that is gone fails the write
}

// attempted is an attempt whose server answers with a stream.
type attempted struct {
	plan     placement.Plan
	use      *pool.Use
	response *upstream.Response
	// watchdog ends the attempt when the server is silent for too long, or is nil for one that may be silent.
	watchdog *time.Timer
	// patience is how long it may be silent before its answer.
	patience time.Duration
	// stalled says that the caller took long to read an event. What the server sent before is still read after that.
	stalled bool
}

// expect lets the attempt end if the server is silent for so long from now on.
func (attempted *attempted) expect(silence time.Duration) {
	if attempted.watchdog != nil {
		attempted.watchdog.Reset(silence)
	}
}

// rest lets the server be silent for any time.
func (attempted *attempted) rest() {
	if attempted.watchdog != nil {
		attempted.watchdog.Stop()
	}
}
