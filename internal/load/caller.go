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
	// retryDelay is the delay before the next attempt.
	retryDelay = 50 * time.Millisecond
	// graceTime is the time after its deadline for which a caller waits for an
	// outcome before it counts the request as lost.
	graceTime = 2 * time.Second
	// maxEventBytes is the maximum length of a line of an event stream.
	maxEventBytes = 1 << 20
)

// Result is a caller's observations of one request.
type Result struct {
	Arrival   Arrival
	RequestID string
	Key       string
	// Kind is the kind of outcome, or empty if there was none.
	Kind   request.Kind
	Reason request.Reason
	// FirstToken is the time to first token, or zero if there was none.
	// InterTokenLatencies are the times between tokens.
	FirstToken          time.Duration
	InterTokenLatencies []time.Duration
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
	DoubledTokens int
	MissingTokens int
	ForeignTokens int
}

// caller sends one request and collects its result.
type caller struct {
	result  Result
	client  *http.Client
	entries []string
	// entryIndex is the index of the entry in use.
	entryIndex int
	body       []byte
	// digest is the hash of the prompt, which identifies its tokens.
	digest uint64
	sentAt time.Time
	// lastTokenAt is the time of the last token, and lastEventID its event ID.
	lastTokenAt time.Time
	lastEventID string
	// disconnected reports that the caller has disconnected on purpose.
	disconnected bool
}

// submit sends an arrival and reads its response to the end. After a failure, it
// retries or resumes at the next entry.
func submit(ctx context.Context, client *http.Client, entries []string, arrival Arrival, key string) Result {
	prompt := arrival.Prompt()
	caller := &caller{
		result:     Result{Arrival: arrival, Key: key},
		client:     client,
		entries:    entries,
		entryIndex: arrival.EntryIndex,
		body:       newBody(arrival, prompt, key),
		digest:     xxhash.Sum64String(prompt),
	}
	caller.sentAt = time.Now()
	ctx, cancel := context.WithDeadline(ctx, caller.sentAt.Add(arrival.Class.Time+graceTime))
	defer cancel()
	for ctx.Err() == nil && caller.result.Kind == "" {
		err := caller.attempt(ctx)
		if err != nil {
			caller.entryIndex = (caller.entryIndex + 1) % len(entries)
			wait.For(ctx, retryDelay)
		}
	}
	caller.result.Total = time.Since(caller.sentAt)
	return caller.result
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
func (caller *caller) attempt(ctx context.Context) error {
	method, path, body := http.MethodPost, "/v1/requests", caller.body
	switch {
	case caller.result.RequestID != "" && caller.isStreaming():
		method, path, body = http.MethodGet, "/v1/requests/"+caller.result.RequestID+"/stream", nil
		caller.result.Resumes++
	case caller.result.RequestID != "":
		method, path, body = http.MethodGet, "/v1/requests/"+caller.result.RequestID, nil
	case !caller.isStreaming():
		path = "/v1/services/" + caller.result.Arrival.Class.Service
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+caller.entries[caller.entryIndex]+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	httpRequest.Header.Set(entry.HeaderOrganisation, caller.result.Arrival.Organisation)
	if caller.lastEventID != "" {
		httpRequest.Header.Set("Last-Event-ID", caller.lastEventID)
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
func (caller *caller) isStreaming() bool {
	return caller.result.Arrival.Class.Service == ""
}

// readStatus handles a response that isn't an event stream.
func (caller *caller) readStatus(response *http.Response) error {
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
	caller.result.RequestID = status.RequestID
	caller.result.Duplicate = caller.result.Duplicate || status.Duplicate
	if status.Running {
		return errors.New("request is still running")
	}
	caller.setOutcome(status)
	if caller.isStreaming() || status.Outcome != request.KindCompleted || !status.AnswerAvailable {
		return nil
	}
	caller.result.FirstToken = time.Since(caller.sentAt)
	caller.result.Tokens = 1
	if xxhash.Sum64String(status.Text) != caller.digest {
		caller.result.ForeignTokens++
	}
	return nil
}

// setOutcome sets the outcome.
func (caller *caller) setOutcome(status entry.Status) {
	caller.result.Kind = status.Outcome
	caller.result.Reason = status.Reason
}

// readEvents handles an event stream until the outcome. It returns an error if the
// stream ends without an outcome, or the caller disconnects on purpose as
// configured for the class.
func (caller *caller) readEvents(response *http.Response) error {
	caller.result.RequestID = response.Header.Get(entry.HeaderRequestID)
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
			done, err := caller.handleEvent(name, id, line[len("data: "):])
			if done || err != nil {
				return err
			}
		}
	}
	return errors.CombineErrors(errors.WithStack(lines.Err()), io.ErrUnexpectedEOF)
}

// handleEvent handles one event, and reports whether it was the last.
func (caller *caller) handleEvent(name, id, data string) (bool, error) {
	switch name {
	case entry.EventToken:
		var token entry.TokenEvent
		err := json.Unmarshal([]byte(data), &token)
		if err != nil {
			return false, errors.WithStack(err)
		}
		caller.token(token)
		caller.lastEventID = id
		if cutAfter := caller.result.Arrival.Class.CutAfter; cutAfter > 0 && !caller.disconnected && caller.result.Tokens >= cutAfter {
			caller.disconnected = true
			return false, errors.New("caller disconnected on purpose")
		}
	case entry.EventDuplicate:
		var status entry.Status
		err := json.Unmarshal([]byte(data), &status)
		if err != nil {
			return false, errors.WithStack(err)
		}
		caller.result.RequestID = status.RequestID
		caller.result.Duplicate = true
		return false, errors.New("key belongs to an earlier request")
	case entry.EventOutcome:
		var status entry.Status
		err := json.Unmarshal([]byte(data), &status)
		if err != nil {
			return false, errors.WithStack(err)
		}
		caller.setOutcome(status)
		return true, nil
	}
	return false, nil
}

// token records a token, and checks its number and text against the expected ones.
func (caller *caller) token(token entry.TokenEvent) {
	now := time.Now()
	if caller.result.Tokens == 0 {
		caller.result.FirstToken = now.Sub(caller.sentAt)
	} else {
		caller.result.InterTokenLatencies = append(caller.result.InterTokenLatencies, now.Sub(caller.lastTokenAt))
	}
	caller.lastTokenAt = now
	switch {
	case token.Seq < caller.result.Tokens:
		caller.result.DoubledTokens++
	case token.Seq > caller.result.Tokens:
		caller.result.MissingTokens += token.Seq - caller.result.Tokens
	}
	if token.Text != engine.TokenText(caller.digest, token.Seq) {
		caller.result.ForeignTokens++
	}
	caller.result.Tokens = token.Seq + 1
}

// String describes the result for messages.
func (result Result) String() string {
	return fmt.Sprintf("%s %s (%s, %d tokens): %s %s", result.Arrival.Class.Name, result.RequestID,
		result.Arrival.Organisation, result.Arrival.Tokens, result.Kind, result.Reason)
}
