// Package request is the aggregate of one caller's request: what is asked,
// within which limits, and how it ended.
package request

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/ledger"
)

// Mode says how a caller wants the answer.
type Mode string

// Modes.
const (
	ModeStream   Mode = "stream"
	ModeDeferred Mode = "deferred"
)

// bytesPerToken is the estimate of a token's length that bounds and decisions
// use; engines count for themselves.
const bytesPerToken = 4

// Limits bound what a caller may ask.
type Limits struct {
	MaxBodyBytes  int64         `yaml:"max_body_bytes" validate:"min=1024"`
	MaxTokens     int           `yaml:"max_tokens" validate:"min=1"`
	MaxTime       time.Duration `yaml:"max_time" validate:"min=1s"`
	MinTime       time.Duration `yaml:"min_time" validate:"min=1ms"`
	MaxKeyAhead   time.Duration `yaml:"max_key_ahead" validate:"min=0"`
	MaxNameLength int           `yaml:"max_name_length" validate:"min=8"`
}

// DefaultLimits returns limits that fit prompts of up to a million tokens.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:  8 << 20,
		MaxTokens:     16 << 10,
		MaxTime:       time.Hour,
		MinTime:       20 * time.Millisecond,
		MaxKeyAhead:   time.Minute,
		MaxNameLength: 128,
	}
}

// Submission is what a caller sends.
type Submission struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// TimeMS is the stated time, in milliseconds.
	TimeMS     int64  `json:"time_ms"`
	Repeatable *bool  `json:"repeatable"`
	Key        string `json:"key"`
	Session    string `json:"session"`
	Mode       Mode   `json:"mode"`
}

// Request is an admitted request. It is immutable.
type Request struct {
	// ID is "<VM>.<UUID>", the VM being the one that admitted it.
	ID           string
	Organisation string
	// Model is the model, or the name of the service for a call.
	Model string
	// Service says that the request is a call to a plain service.
	Service   bool
	Body      []byte
	MaxTokens int
	Time      time.Duration
	// Key is set exactly when Repeatable is false.
	Key        ledger.Key
	Repeatable bool
	Session    string
	Mode       Mode
}

// FieldError says what is wrong with one field of a submission.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// New checks a submission and returns the request that vm admits.
func New(vm, organisation string, submission Submission, limits Limits, now time.Time) (Request, []FieldError) {
	check := &checker{limits: limits}
	check.name("model", submission.Model, true)
	check.name("session", submission.Session, false)
	check.that(submission.Prompt != "", "prompt", "must not be empty")
	check.that(submission.MaxTokens >= 1 && submission.MaxTokens <= limits.MaxTokens, "max_tokens",
		fmt.Sprintf("must be from 1 to %d, is %d", limits.MaxTokens, submission.MaxTokens))
	mode := submission.Mode
	if mode == "" {
		mode = ModeStream
	}
	check.that(mode == ModeStream || mode == ModeDeferred, "mode",
		fmt.Sprintf("must be %s or %s, is %q", ModeStream, ModeDeferred, mode))
	request := Request{
		ID:           NewID(vm),
		Organisation: organisation,
		Model:        submission.Model,
		Body:         []byte(submission.Prompt),
		MaxTokens:    submission.MaxTokens,
		Session:      submission.Session,
		Mode:         mode,
	}
	return check.repetition(request, submission.TimeMS, submission.Repeatable, submission.Key, now), check.errors
}

// Call is a call to a plain service.
type Call struct {
	Body string `json:"body"`
	// TimeMS is the stated time, in milliseconds.
	TimeMS     int64  `json:"time_ms"`
	Repeatable *bool  `json:"repeatable"`
	Key        string `json:"key"`
}

// NewCall checks a call to service and returns the request that vm admits.
func NewCall(vm, organisation, service string, call Call, limits Limits, now time.Time) (Request, []FieldError) {
	check := &checker{limits: limits}
	check.name("service", service, true)
	request := Request{
		ID:           NewID(vm),
		Organisation: organisation,
		Model:        service,
		Service:      true,
		Body:         []byte(call.Body),
		Mode:         ModeStream,
	}
	return check.repetition(request, call.TimeMS, call.Repeatable, call.Key, now), check.errors
}

// NewID returns a new request ID of vm.
func NewID(vm string) string {
	return vm + "." + uuid.NewString()
}

// OwnerOf returns the VM that made a request ID.
func OwnerOf(id string) (string, error) {
	vm, unique, found := strings.Cut(id, ".")
	if !found || vm == "" || uuid.Validate(unique) != nil {
		return "", &FieldError{Field: "request_id", Problem: fmt.Sprintf("%q is not a request ID", id)}
	}
	return vm, nil
}

// Tokens is the estimated length of the prompt.
func (request Request) Tokens() int {
	return (len(request.Body) + bytesPerToken - 1) / bytesPerToken
}

// WithoutBody returns the request without what is to be run, for keeping.
func (request Request) WithoutBody() Request {
	request.Body = nil
	return request
}

// Digest identifies what is to be run.
func (request Request) Digest() uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%q %q %d ", request.Organisation, request.Model, request.MaxTokens)
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// checker collects what is wrong with a submission.
type checker struct {
	limits Limits
	errors []FieldError
}

func (checker *checker) that(ok bool, field, problem string) {
	if !ok {
		checker.errors = append(checker.errors, FieldError{Field: field, Problem: problem})
	}
}

func (checker *checker) name(field, value string, required bool) {
	checker.that(value != "" || !required, field, "must not be empty")
	checker.that(len(value) <= checker.limits.MaxNameLength, field,
		fmt.Sprintf("must have at most %d characters", checker.limits.MaxNameLength))
	checker.that(!strings.ContainsFunc(value, notPrintable), field, "must be printable ASCII")
}

func notPrintable(r rune) bool {
	return r < ' ' || r > '~'
}

// repetition adds to request the stated time, and whether it may be repeated.
func (checker *checker) repetition(
	request Request, timeMS int64, repeatable *bool, key string, now time.Time,
) Request {
	limits := checker.limits
	request.Time = time.Duration(timeMS) * time.Millisecond
	inRange := timeMS >= limits.MinTime.Milliseconds() && timeMS <= limits.MaxTime.Milliseconds()
	checker.that(inRange, "time_ms", fmt.Sprintf("must be from %d to %d, is %d",
		limits.MinTime.Milliseconds(), limits.MaxTime.Milliseconds(), timeMS))
	if repeatable == nil {
		checker.that(false, "repeatable", "must be stated")
		return request
	}
	request.Repeatable = *repeatable
	if request.Repeatable {
		checker.that(key == "", "key", "must be empty when repeatable is true")
		return request
	}
	parsed, err := ledger.NewKey(request.Organisation, key)
	if err == nil {
		err = parsed.CheckTime(now, limits.MaxKeyAhead)
	}
	if err != nil {
		checker.that(false, "key", err.Error())
	}
	request.Key = parsed
	return request
}
