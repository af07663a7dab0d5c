// Package request defines the requests of callers, their validation and their
// outcomes.
package request

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/ledger"
)

// Mode is the way in which a caller gets the response.
type Mode string

const (
	// ModeStream streams the response to the submission.
	ModeStream Mode = "stream"
	// ModeDeferred responds to the submission at once; the caller fetches the
	// response of the request later.
	ModeDeferred Mode = "deferred"
)

// bytesPerToken is the estimated length of a token, which limits and routing
// decisions use. Engines count the tokens themselves.
const bytesPerToken = 4

// Limits are the limits for the fields of a request.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body of an HTTP request.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024"`
	// MaxTokens is the largest max_tokens that a caller may request.
	MaxTokens int `yaml:"max_tokens" validate:"min=1"`
	// MaxTime and MinTime bound the time limit that a caller may request.
	MaxTime time.Duration `yaml:"max_time" validate:"min=1s"`
	MinTime time.Duration `yaml:"min_time" validate:"min=1ms"`
	// MaxKeyAhead is how far the timestamp of a key may lie in the future.
	MaxKeyAhead time.Duration `yaml:"max_key_ahead" validate:"min=0"`
	// MaxNameLength is the maximum length in bytes of names of models, services,
	// sessions and organisations.
	MaxNameLength int `yaml:"max_name_length" validate:"min=8"`
}

// DefaultLimits returns limits that allow prompts of up to a million tokens.
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

// Submission is the body of a submitted prompt.
type Submission struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// TimeMS is the time limit in milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Repeatable states whether the request may be run more than once. Nil is
	// invalid: callers must choose.
	Repeatable *bool `json:"repeatable"`
	// Key is the idempotency key. It is required exactly if Repeatable is false.
	Key string `json:"key"`
	// Session is the ID of a session, or empty.
	Session string `json:"session"`
	// Mode is ModeStream if empty.
	Mode Mode `json:"mode"`
}

// Request is an admitted request. It is immutable.
type Request struct {
	// ID is "<VM>.<UUID>", with the name of the VM that admitted the request.
	ID           string
	Organisation string
	// Model is the name of the model, or of the service for a call.
	Model string
	// Service reports that the request is a call to a plain service.
	Service bool
	// Body is the prompt, or the body of a call.
	Body      []byte
	MaxTokens int
	// TimeLimit is the time limit, from admission to outcome.
	TimeLimit time.Duration
	// Key is set exactly if Repeatable is false.
	Key        ledger.Key
	Repeatable bool
	Session    string
	Mode       Mode
}

// FieldError reports an invalid field of a request. It is part of HTTP responses.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// New validates a submission and returns the request, with a new ID of vm. The
// request is valid only if there are no errors.
func New(vm, organisation string, submission Submission, limits Limits, now time.Time) (Request, []FieldError) {
	checker := &checker{limits: limits}
	checker.validateName("model", submission.Model, true)
	checker.validateName("session", submission.Session, false)
	checker.require(submission.Prompt != "", "prompt", "must not be empty")
	checker.require(submission.MaxTokens >= 1 && submission.MaxTokens <= limits.MaxTokens, "max_tokens",
		fmt.Sprintf("must be from 1 to %d, is %d", limits.MaxTokens, submission.MaxTokens))
	mode := submission.Mode
	if mode == "" {
		mode = ModeStream
	}
	checker.require(mode == ModeStream || mode == ModeDeferred, "mode",
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
	return checker.validateRepetition(request, submission.TimeMS, submission.Repeatable, submission.Key, now), checker.errors
}

// Call is the body of a submitted call to a plain service.
type Call struct {
	Body string `json:"body"`
	// TimeMS is the time limit in milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Repeatable and Key are as in Submission.
	Repeatable *bool  `json:"repeatable"`
	Key        string `json:"key"`
}

// NewCall validates a call to a service and returns the request, with a new ID of
// vm. The request is valid only if there are no errors.
func NewCall(vm, organisation, service string, call Call, limits Limits, now time.Time) (Request, []FieldError) {
	checker := &checker{limits: limits}
	checker.validateName("service", service, true)
	request := Request{
		ID:           NewID(vm),
		Organisation: organisation,
		Model:        service,
		Service:      true,
		Body:         []byte(call.Body),
		Mode:         ModeStream,
	}
	return checker.validateRepetition(request, call.TimeMS, call.Repeatable, call.Key, now), checker.errors
}

// NewID returns a new, unique request ID that contains the name of vm.
func NewID(vm string) string {
	return vm + "." + uuid.NewString()
}

// OwnerOf returns the name of the VM that is contained in a request ID. It returns a
// *FieldError if id is not a request ID.
func OwnerOf(id string) (string, error) {
	vm, unique, found := strings.Cut(id, ".")
	if !found || vm == "" || uuid.Validate(unique) != nil {
		return "", &FieldError{Field: "request_id", Problem: fmt.Sprintf("%q is not a request ID", id)}
	}
	return vm, nil
}

// Tokens returns the estimated length of the prompt in tokens.
func (request Request) Tokens() int {
	return (len(request.Body) + bytesPerToken - 1) / bytesPerToken
}

// WithoutBody returns a copy of the request without its body, which saves memory
// while the request is stored.
func (request Request) WithoutBody() Request {
	request.Body = nil
	return request
}

// Digest returns a hash of the content of the request. Two submissions of one key
// must have the same digest.
func (request Request) Digest() uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%q %q %d ", request.Organisation, request.Model, request.MaxTokens)
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// checker collects the errors found in a request.
type checker struct {
	limits Limits
	errors []FieldError
}

func (checker *checker) require(ok bool, field, problem string) {
	if !ok {
		checker.errors = append(checker.errors, FieldError{Field: field, Problem: problem})
	}
}

func (checker *checker) validateName(field, value string, required bool) {
	checker.require(value != "" || !required, field, "must not be empty")
	checker.require(len(value) <= checker.limits.MaxNameLength, field,
		fmt.Sprintf("must have at most %d characters", checker.limits.MaxNameLength))
	checker.require(!strings.ContainsFunc(value, isNotPrintable), field, "must be printable ASCII")
}

func isNotPrintable(r rune) bool {
	return r < ' ' || r > '~'
}

// validateRepetition validates the time limit, the repeatability and the key, and returns
// the request with them.
func (checker *checker) validateRepetition(
	request Request, timeMS int64, repeatable *bool, key string, now time.Time,
) Request {
	limits := checker.limits
	request.TimeLimit = time.Duration(timeMS) * time.Millisecond
	inRange := timeMS >= limits.MinTime.Milliseconds() && timeMS <= limits.MaxTime.Milliseconds()
	checker.require(inRange, "time_ms", fmt.Sprintf("must be from %d to %d, is %d",
		limits.MinTime.Milliseconds(), limits.MaxTime.Milliseconds(), timeMS))
	if repeatable == nil {
		checker.require(false, "repeatable", "must be stated")
		return request
	}
	request.Repeatable = *repeatable
	if request.Repeatable {
		checker.require(key == "", "key", "must be empty when repeatable is true")
		return request
	}
	parsed, err := ledger.NewKey(request.Organisation, key)
	if err == nil {
		err = parsed.CheckTime(now, limits.MaxKeyAhead)
	}
	if err != nil {
		checker.require(false, "key", err.Error())
	}
	request.Key = parsed
	return request
}
