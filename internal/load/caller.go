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

// Waits of a caller.
const (
	retryPause = 50 * time.Millisecond
	// graceTime is how long after its stated time a caller waits for an
	// outcome before it counts the request as lost.
	graceTime = 2 * time.Second
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
)

// Answer is what one caller saw of one request.
type Answer struct {
	Arrival   Arrival
	RequestID string
	Key       string
	// Kind is empty if there was no outcome.
	Kind   request.Kind
	Reason request.Reason
	// FirstToken is zero if there was none.
	FirstToken time.Duration
	Gaps       []time.Duration
	Total      time.Duration
	Tokens     int
	// Resumes counts how often the answer was read on elsewhere.
	Resumes int
	// Duplicate says that the answer was about an earlier submission.
	Duplicate bool
	// Doubled, Missing and Foreign count wrong tokens.
	Doubled int
	Missing int
	Foreign int
}

// call is one request as its caller sees it.
type call struct {
	answer  Answer
	client  *http.Client
	entries []string
	// at is the entry that is used now.
	at     int
	body   []byte
	digest uint64
	sent   time.Time
	last   time.Time
	lastID string
	cut    bool
}

// submit sends the arrival and reads its answer to the end, going on at the
// next entry when it is cut off.
func submit(ctx context.Context, client *http.Client, entries []string, arrival Arrival, key string) Answer {
	prompt := arrival.Prompt()
	call := &call{
		answer:  Answer{Arrival: arrival, Key: key},
		client:  client,
		entries: entries,
		at:      arrival.Entry,
		body:    newBody(arrival, prompt, key),
		digest:  xxhash.Sum64String(prompt),
	}
	call.sent = time.Now()
	ctx, cancel := context.WithDeadline(ctx, call.sent.Add(arrival.Class.Time+graceTime))
	defer cancel()
	for ctx.Err() == nil && call.answer.Kind == "" {
		err := call.attempt(ctx)
		if err != nil {
			call.at = (call.at + 1) % len(entries)
			wait.For(ctx, retryPause)
		}
	}
	call.answer.Total = time.Since(call.sent)
	return call.answer
}

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
		panic(err) // the types above always can be encoded
	}
	return body
}

// newKey returns a key for an unrepeatable request.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// attempt submits the request, or resumes it if its ID is known.
func (call *call) attempt(ctx context.Context) error {
	method, path, body := http.MethodPost, "/v1/requests", call.body
	switch {
	case call.answer.RequestID != "" && call.streams():
		method, path, body = http.MethodGet, "/v1/requests/"+call.answer.RequestID+"/stream", nil
		call.answer.Resumes++
	case call.answer.RequestID != "":
		method, path, body = http.MethodGet, "/v1/requests/"+call.answer.RequestID, nil
	case !call.streams():
		path = "/v1/services/" + call.answer.Arrival.Class.Service
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+call.entries[call.at]+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	httpRequest.Header.Set(entry.HeaderOrganisation, call.answer.Arrival.Organisation)
	if call.lastID != "" {
		httpRequest.Header.Set("Last-Event-ID", call.lastID)
	}
	response, err := call.client.Do(httpRequest)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return call.readEvents(response)
	}
	return call.readStatus(response)
}

// streams reports whether the answer is a stream of tokens.
func (call *call) streams() bool {
	return call.answer.Arrival.Class.Service == ""
}

// readStatus takes an answer that is not a stream.
func (call *call) readStatus(response *http.Response) error {
	var status entry.Status
	err := json.NewDecoder(response.Body).Decode(&status)
	if err != nil {
		return errors.WithStack(err)
	}
	if status.RequestID == "" {
		return errors.Newf("status %d names no request", response.StatusCode)
	}
	if status.Reason == request.ReasonStopping && status.Outcome == request.KindFailedNotRun {
		// The balancer would have sent it elsewhere.
		return errors.New("the entry is stopping")
	}
	call.answer.RequestID = status.RequestID
	call.answer.Duplicate = call.answer.Duplicate || status.Duplicate
	if status.Running {
		return errors.New("still running")
	}
	call.end(status)
	if call.streams() || status.Outcome != request.KindCompleted || !status.AnswerAvailable {
		return nil
	}
	call.answer.FirstToken = time.Since(call.sent)
	call.answer.Tokens = 1
	if xxhash.Sum64String(status.Text) != call.digest {
		call.answer.Foreign++
	}
	return nil
}

func (call *call) end(status entry.Status) {
	call.answer.Kind = status.Outcome
	call.answer.Reason = status.Reason
}

// readEvents takes a stream until its outcome, and cuts it off once if the
// class asks for that.
func (call *call) readEvents(response *http.Response) error {
	call.answer.RequestID = response.Header.Get(entry.HeaderRequestID)
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
			done, err := call.event(name, id, line[len("data: "):])
			if done || err != nil {
				return err
			}
		}
	}
	return errors.CombineErrors(errors.WithStack(lines.Err()), io.ErrUnexpectedEOF)
}

// event takes one event, and reports whether it was the last.
func (call *call) event(name, id, data string) (bool, error) {
	switch name {
	case entry.EventToken:
		var token entry.TokenEvent
		err := json.Unmarshal([]byte(data), &token)
		if err != nil {
			return false, errors.WithStack(err)
		}
		call.token(token)
		call.lastID = id
		if cutAfter := call.answer.Arrival.Class.CutAfter; cutAfter > 0 && !call.cut && call.answer.Tokens >= cutAfter {
			call.cut = true
			return false, errors.New("cut off on purpose")
		}
	case entry.EventDuplicate:
		var status entry.Status
		err := json.Unmarshal([]byte(data), &status)
		if err != nil {
			return false, errors.WithStack(err)
		}
		call.answer.RequestID = status.RequestID
		call.answer.Duplicate = true
		return false, errors.New("another request has the key")
	case entry.EventOutcome:
		var status entry.Status
		err := json.Unmarshal([]byte(data), &status)
		if err != nil {
			return false, errors.WithStack(err)
		}
		call.end(status)
		return true, nil
	}
	return false, nil
}

// token checks one token against what was asked.
func (call *call) token(token entry.TokenEvent) {
	now := time.Now()
	if call.answer.Tokens == 0 {
		call.answer.FirstToken = now.Sub(call.sent)
	} else {
		call.answer.Gaps = append(call.answer.Gaps, now.Sub(call.last))
	}
	call.last = now
	switch {
	case token.Seq < call.answer.Tokens:
		call.answer.Doubled++
	case token.Seq > call.answer.Tokens:
		call.answer.Missing += token.Seq - call.answer.Tokens
	}
	if token.Text != engine.TokenText(call.digest, token.Seq) {
		call.answer.Foreign++
	}
	call.answer.Tokens = token.Seq + 1
}

// String names the answer in messages.
func (answer Answer) String() string {
	return fmt.Sprintf("%s %s (%s, %d tokens): %s %s", answer.Arrival.Class.Name, answer.RequestID,
		answer.Arrival.Organisation, answer.Arrival.Tokens, answer.Kind, answer.Reason)
}
