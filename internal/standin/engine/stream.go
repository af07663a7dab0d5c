package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/backend"
)

// Submission is what a caller asks an engine to generate.
type Submission struct {
	Attempt      string
	Request      string
	Organisation string
	Owner        string
	Key          string
	Model        string
	// Group names the reservation that holds the memory, if there is one.
	Group    string
	Prompt   []byte
	Priority int
	// From is how many tokens of the answer the caller has already.
	From      int
	MaxTokens int
	TimeLeft  time.Duration
	Fence     uint64
}

// stream is one answer being generated.
type stream struct {
	Submission

	digest   uint64
	blocks   []uint64
	deadline time.Time
	// sequence orders streams by arrival.
	sequence uint64
	// total is the prompt with the tokens that the caller has already.
	total int
	// computed is how much of total is in KV memory.
	computed int
	// paused keeps the stream's memory, but gives it no part of the steps.
	paused bool
	// reserved is the KV memory held, in tokens; zero while waiting.
	reserved int
	// tokens is the answer from From on.
	tokens []string
	end    backend.End
	reason string
	ended  time.Time
	// readers is how many read the stream; detached is since when it is zero.
	readers  int
	detached time.Time
	// changed is closed, and replaced, when tokens or end change.
	changed chan struct{}
	members []*Engine
}

func newStream(submission Submission, sequence uint64, blockTokens int, now time.Time) *stream {
	total := PromptTokens(submission.Prompt) + submission.From
	return &stream{
		Submission: submission,
		digest:     xxhash.Sum64(submission.Prompt),
		blocks:     blockHashes(submission.Prompt, blockTokens),
		deadline:   now.Add(submission.TimeLeft),
		sequence:   sequence,
		total:      total,
		detached:   now,
		changed:    make(chan struct{}),
	}
}

// width is how many engines work on the stream.
func (stream *stream) width() int {
	return max(1, len(stream.members))
}

// need is the KV memory for the whole stream, in tokens.
func (stream *stream) need() int {
	return stream.total + stream.MaxTokens - stream.From
}

func (stream *stream) decoding() bool {
	return stream.computed >= stream.total
}

func (stream *stream) live() bool {
	return stream.end == backend.EndNone
}

// emit adds the next token. A token names the prompt that it answers.
func (stream *stream) emit() {
	seq := stream.From + len(stream.tokens)
	stream.tokens = append(stream.tokens, TokenText(stream.digest, seq))
	stream.signal()
}

func (stream *stream) finish(end backend.End, reason string, now time.Time) {
	if !stream.live() {
		return
	}
	stream.end = end
	stream.reason = reason
	stream.ended = now
	stream.Prompt = nil
	stream.signal()
}

func (stream *stream) signal() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// TokenText returns token seq of the answer to the prompt with that digest.
func TokenText(digest uint64, seq int) string {
	return fmt.Sprintf("%016x.%d ", digest, seq)
}

// blockHashes returns a hash for each whole block of prompt that also covers
// the blocks before it.
func blockHashes(prompt []byte, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	digest := xxhash.New()
	for start := 0; start+size <= len(prompt); start += size {
		_, _ = digest.Write(prompt[start : start+size])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
