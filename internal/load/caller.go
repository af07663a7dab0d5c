package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/entry"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Timeouts and limits of a caller.
const (
	// retryPause is the delay before the next attempt.
	retryPause = 50 * time.Millisecond
	// graceTime is the time after its deadline for which a caller waits for an
	// outcome before it counts the request as lost.
	graceTime = 2 * time.Second
	// maxEventBytes is the maximum length of a line of an event stream.
	maxEventBytes = 1 << 20
)

// Result is a caller's observations of one request.
type Answer struct {
	Arrival   Arrival
	RequestID string
	Key       string
	// Kind is the kind of outcome, or empty if there was none.
	Kind   request.Kind
	Reason request.Reason
	// FirstToken is the time to first token, or zero if there was none.
	// InterTokenLatencies are the times between tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	// Total is the time until the outcome, or until the caller gave up.
	Total  time.Duration
	Tokens int
	// Resumes is the number of times the stream was resumed at another entry.
	Resumes int
	// Duplicate reports that the response was that of an earlier submission with
	// the same key.
	Duplicate bool
	// DoubledTokens, MissingTokens and ForeignTokens are the numbers of tokens
	// received twice, not received, and belonging to another prompt.
	Doubled int
	Missing int
	Foreign int
}

// caller sends one request and collects its result.
type call struct {
	answer  Answer
	client  *http.Client
	entries []string
	// entryIndex is the index of the entry in use.
	at   int
	body []byte
	// digest is the hash of the prompt, which identifies its tokens.
	digest uint64
	sent   time.Time
	// lastTokenAt is the time of the last token, and lastEventID its event ID.
	last   time.Time
	lastID string
	// disconnected reports that the caller has disconnected on purpose.
	cut bool
}

// submit sends an arrival and reads its response to the end. After a failure, it
// retries or resumes at the next entry.
func submit(ctx context.Context, client *http.Client, entries []string, arrival Arrival, key string) Answer {
	prompt := arrival.Prompt()
	caller := &call{
		answer:  Answer{Arrival: arrival, Key: key},
		client:  client,
		entries: entries,
		at:      arrival.Entry,
		body:    newBody(arrival, prompt, key),
		digest:  xxhash.Sum64String(prompt),
	}
	caller.sent = time.Now()
	ctx, cancel := context.WithDeadline(ctx, caller.sent.Add(arrival.Class.Time+graceTime))
	defer cancel()
	for ctx.Err() == nil && caller.answer.Kind == "" {
		err := caller.attempt(ctx)
		if err != nil {
			caller.at = (caller.at + 1) % len(entries)
			wait.For(ctx, retryPause)
		}
	}
	caller.answer.Total = time.Since(caller.sent)
	return caller.answer
}

// newBody returns the body of the request that submits an arrival.
func newBody(arrival Arrival, prompt, key string) []byte {
	repeatable := !arrival.Class.Unrepeatable
	var submission any = request.Submission{
		Model:      arrival.Class.Model,
		Prompt:     prompt,
		MaxTokens:  arrival.Class.MaxTokens,
		TimeMS:     arrival.Class.Time.Milliseconds(),
		Repeatable: &repeatable,
		Key:        key,
	}
	if arrival.Class.Service != "" {
		submission = request.Call{
			Body:       prompt,
			TimeMS:     arrival.Class.Time.Milliseconds(),
			Repeatable: &repeatable,
			Key:        key,
		}
	}
	body, err := json.Marshal(submission)
	if err != nil {
		panic(err) // can't happen: the types can be encoded
	}
	return body
}

// newKey returns a new idempotency key for an unrepeatable request.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// attempt submits the request, or resumes it if its ID is known. It returns an
// error if there is no outcome yet.
func (caller *call) attempt(ctx context.Context) error {
	method, path, body := http.MethodPost, "/v1/requests", caller.body
	switch {
	case caller.answer.RequestID != "" && caller.streams():
		method, path, body = http.MethodGet, "/v1/requests/"+caller.answer.RequestID+"/stream", nil
		caller.answer.Resumes++
	case caller.answer.RequestID != "":
		method, path, body = http.MethodGet, "/v1/requests/"+caller.answer.RequestID, nil
	case !caller.streams():
		path = "/v1/services/" + caller.answer.Arrival.Class.Service
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+caller.entries[caller.at]+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	httpRequest.Header.Set(entry.HeaderOrganisation, caller.answer.Arrival.Organisation)
	if caller.lastID != "" {
		httpRequest.Header.Set("Last-Event-ID", caller.lastID)
	}
	response, err := caller.client.Do(httpRequest)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return caller.readEvents(response)
	}
	return caller.readStatus(response)
}

// isStreaming reports whether the response is a stream of tokens.
func (caller *call) streams() bool {
	return caller.answer.Arrival.Class.Service == ""
}

// readStatus handles a response that isn't an event stream.
func (caller *call) readStatus(response *http.Response) error {
	var status entry.Status
	err := json.NewDecoder(response.Body).Decode(&status)
	if err != nil {
		return errors.WithStack(err)
	}
	if status.RequestID == "" {
		return errors.Newf("response with status %d has no request ID", response.StatusCode)
	}
	if status.Reason == request.ReasonStopping && status.Outcome == request.KindFailedNotRun {
		// A load balancer would have sent the request to another entry.
		return errors.New("entry is shutting down")
	}
	caller.answer.RequestID = status.RequestID
	caller.answer.Duplicate = caller.answer.Duplicate || status.Duplicate
	if status.Running {
		return errors.New("request is still running")
	}
	caller.end(status)
	if caller.streams() || status.Outcome != request.KindCompleted || !status.AnswerAvailable {
		return nil
	}
	caller.answer.FirstToken = time.Since(caller.sent)
	caller.answer.Tokens = 1
	if xxhash.Sum64String(status.Text) != caller.digest {
		caller.answer.Foreign++
	}
	return nil
}

// setOutcome sets the outcome.
func (caller *call) end(status entry.Status) {
	caller.answer.Kind = status.Outcome
	caller.answer.Reason = status.Reason
}

// readEvents handles an event stream until the outcome. It returns an error if the
// stream ends without an outcome, or the caller disconnects on purpose as
// configured for the class.
func (caller *call) readEvents(response *http.Response) error {
	caller.answer.RequestID = response.Header.Get(entry.HeaderRequestID)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	var id, name string
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			done, err := caller.event(name, id, line[len("data: "):])
			if done || err != nil {
				return err
			}
		}
	}
	return errors.CombineErrors(errors.WithStack(lines.Err()), io.ErrUnexpectedEOF)
}

// handleEvent handles one event, and reports whether it was the last.
func (caller *call) event(name, id, data string) (bool, error) {
	switch name {
	case entry.EventToken:
		var token entry.TokenEvent
		err := json.Unmarshal([]byte(data), &token)
		if err != nil {
			return false, errors.WithStack(err)
		}
		caller.token(token)
		caller.lastID = id
		if cutAfter := caller.answer.Arrival.Class.CutAfter; cutAfter > 0 && !caller.cut && caller.answer.Tokens >= cutAfter {
			caller.cut = true
			return false, errors.New("caller disconnected on purpose")
		}
	case entry.EventDuplicate:
		var status entry.Status
		err := json.Unmarshal([]byte(data), &status)
		if err != nil {
			return false, errors.WithStack(err)
		}
		caller.answer.RequestID = status.RequestID
		caller.answer.Duplicate = true
		return false, errors.New("key belongs to an earlier request")
	case entry.EventOutcome:
		var status entry.Status
		err := json.Unmarshal([]byte(data), &status)
		if err != nil {
			return false, errors.WithStack(err)
		}
		caller.end(status)
		return true, nil
	}
	return false, nil
}

// token records a token, and checks its number and text against the expected ones.
func (caller *call) token(token entry.TokenEvent) {
	now := time.Now()
	if caller.answer.Tokens == 0 {
		caller.answer.FirstToken = now.Sub(caller.sent)
	} else {
		caller.answer.Gaps = append(caller.answer.Gaps, now.Sub(caller.last))
	}
	caller.last = now
	switch {
	case token.Seq < caller.answer.Tokens:
		caller.answer.Doubled++
	case token.Seq > caller.answer.Tokens:
		caller.answer.Missing += token.Seq - caller.answer.Tokens
	}
	if token.Text != engine.TokenText(caller.digest, token.Seq) {
		caller.answer.Foreign++
	}
	caller.answer.Tokens = token.Seq + 1
}

// String describes the result for messages.
func (result Answer) String() string {
	return fmt.Sprintf("%s %s (%s, %d tokens): %s %s", result.Arrival.Class.Name, result.RequestID,
		result.Arrival.Organisation, result.Arrival.Tokens, result.Kind, result.Reason)
}
