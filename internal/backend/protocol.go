package backend

// Headers of the HTTP protocol of backend servers.
const (
	HeaderAttempt      = "Backend-Attempt"
	HeaderFence        = "Backend-Fence"
	HeaderFrom         = "Backend-From"
	HeaderGroup        = "Backend-Group"
	HeaderKey          = "Backend-Key"
	HeaderMaxTokens    = "Backend-Max-Tokens" //nolint:gosec // no credential
	HeaderModel        = "Backend-Model"
	HeaderOrganisation = "Backend-Organisation"
	HeaderOwner        = "Backend-Owner"
	HeaderPriority     = "Backend-Priority"
	HeaderRequest      = "Backend-Request"
	HeaderSession      = "Backend-Session"
	HeaderTimeLeft     = "Backend-Time-Left-Ms"
)

// Priorities of streams. An engine computes the prompts of a higher one first.
const (
	PriorityLong   = 0
	PriorityMedium = 5
	PriorityShort  = 10
)

// End says how a stream ended at its engine.
type End string

// Ends of streams.
const (
	EndNone      End = ""
	EndCompleted End = "completed"
	EndCancelled End = "cancelled"
	EndDeadline  End = "deadline"
	EndFailed    End = "failed"
)

// Frame is one line of a stream: a token, or the end.
type Frame struct {
	// Seq counts the tokens of an answer from zero, without gaps.
	Seq  int    `json:"seq"`
	Text string `json:"text,omitempty"`
	End  End    `json:"end,omitempty"`
	// Reason explains an end other than completed.
	Reason string `json:"reason,omitempty"`
}

// Refusal is the body of an answer that says that nothing was run.
type Refusal struct {
	Reason  string `json:"reason"`
	NotRun  bool   `json:"not_run"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Load is what a model engine reports of itself, with a lag.
type Load struct {
	// FreeTokens is the KV cache neither used nor reserved.
	FreeTokens int `json:"free_tokens"`
	// QueuedPrefillTokens is the prompt tokens admitted and not yet computed.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// QueuedLongTokens is the part of them below PriorityShort.
	QueuedLongTokens int  `json:"queued_long_tokens"`
	Running          int  `json:"running"`
	Waiting          int  `json:"waiting"`
	Leaving          bool `json:"leaving,omitempty"`
}

// StreamInfo describes a stream that an engine holds.
type StreamInfo struct {
	Attempt      string `json:"attempt"`
	Request      string `json:"request"`
	Organisation string `json:"organisation"`
	Owner        string `json:"owner"`
	// Tokens is how many tokens the answer has so far.
	Tokens     int   `json:"tokens"`
	End        End   `json:"end,omitempty"`
	Attached   bool  `json:"attached"`
	TimeLeftMS int64 `json:"time_left_ms"`
}

// Reservation asks an engine to hold memory for a group of engines.
type Reservation struct {
	Tokens int   `json:"tokens"`
	TTLMS  int64 `json:"ttl_ms"`
}
