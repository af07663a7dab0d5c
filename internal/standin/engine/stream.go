package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/backend"
)

// Submission is a request to an engine to generate a response.
type Submission struct {
	// Attempt identifies the stream, and Request the caller's request.
	Attempt      string
	Request      string
	Organisation string
	Owner        string
	Key          string
	Model        string
	// Group is the ID of the reservation of the memory, in the form
	// "id@engine,engine,...", or empty.
	Group    string
	Prompt   []byte
	Priority int
	// From is the number of tokens of the response that the caller has already
	// received.
	From      int
	MaxTokens int
	TimeLeft  time.Duration
	// Fence is the fencing token for Key.
	Fence uint64
}

// stream is a response being generated, or a recently ended one.
type stream struct {
	Submission

	// digest is the hash of the prompt, and blocks are those of its blocks.
	digest   uint64
	blocks   []uint64
	deadline time.Time
	// sequence is the position in the order of arrival.
	sequence uint64
	// total is the number of tokens to prefill: the prompt, the tokens that the
	// caller has already received, and those generated before a preemption.
	total int
	// computed is the number of those tokens that are in KV memory.
	computed int
	// paused excludes the stream from steps. It keeps its memory.
	paused bool
	// reserved is the allocated KV memory in tokens; zero while the stream is
	// queued or if its memory belongs to a reservation.
	reserved int
	// tokens are the generated tokens, starting with number From.
	tokens  []string
	end     backend.End
	reason  string
	endedAt time.Time
	// readers is the number of current readers. detached is the time since which
	// it is zero.
	readers    int
	detachedAt time.Time
	// changed is closed and replaced when tokens or end change.
	changed chan struct{}
	// members are the engines of the group, or nil without a group.
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
		detachedAt: now,
		changed:    make(chan struct{}),
	}
}

// groupSize returns the number of engines that compute the stream.
func (stream *stream) groupSize() int {
	return max(1, len(stream.members))
}

// requiredTokens returns the KV memory for the whole stream, in tokens.
func (stream *stream) requiredTokens() int {
	return stream.total + stream.MaxTokens - stream.From
}

// decoding reports whether the prefill is complete.
func (stream *stream) decoding() bool {
	return stream.computed >= stream.total
}

// live reports whether the stream has not ended.
func (stream *stream) live() bool {
	return stream.end == backend.EndNone
}

// emit generates the next token. Its text identifies the prompt.
func (stream *stream) emit() {
	seq := stream.From + len(stream.tokens)
	stream.tokens = append(stream.tokens, TokenText(stream.digest, seq))
	stream.signal()
}

// finish ends the stream, unless it has ended already.
func (stream *stream) finish(end backend.End, reason string, now time.Time) {
	if !stream.live() {
		return
	}
	stream.end = end
	stream.reason = reason
	stream.endedAt = now
	stream.Prompt = nil
	stream.signal()
}

func (stream *stream) signal() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// TokenText returns the text of a token, given the hash of the prompt and the
// token's number in the response, from zero.
func TokenText(digest uint64, seq int) string {
	return fmt.Sprintf("%016x.%d ", digest, seq)
}

// blockHashes returns the hashes of the complete blocks of a prompt. A block's
// hash also covers the blocks before it.
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
