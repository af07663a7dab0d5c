package backend

// Headers of the HTTP protocol of backend servers. Responses to a dispatch echo HeaderAttempt; those that
// don't cost a connection each.
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

// Priorities of streams. An engine prefills prompts of higher priority first.
const (
	PriorityLong   = 0
	PriorityMedium = 5
	PriorityShort  = 10
)

// End is how a stream ended at its engine.
type End string

// Ways in which a stream ends. EndNone is that of a stream that has not ended.
const (
	EndNone      End = ""
	EndCompleted End = "completed"
	EndCancelled End = "cancelled"
	EndDeadline  End = "deadline"
	EndFailed    End = "failed"
)

// Frame is one line of a stream: a token, or the end of the stream.
type Frame struct {
	// Seq is the index of the token in the response, starting at 0.
	Seq  int    `json:"seq"`
	Text string `json:"text,omitempty"`
	End  End    `json:"end,omitempty"`
	// Reason explains an end other than completed.
	Reason string `json:"reason,omitempty"`
}

// Refusal is the body of an error response to a request that the server did not run.
type Refusal struct {
	Reason string `json:"reason"`
	NotRun bool   `json:"not_run"`
	// Draining is set if the server is draining, and so accepts no new requests.
	Draining bool `json:"leaving,omitempty"`
}

// Load is the load of a model engine as the engine reports it, with a lag.
type Load struct {
	// FreeTokens is the KV cache that is neither used nor reserved, in tokens.
	FreeTokens int `json:"free_tokens"`
	// QueuedPrefillTokens is the number of prompt tokens that are admitted and not yet
	// prefilled.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// QueuedLongTokens is how many of them have a priority below PriorityShort.
	QueuedLongTokens int `json:"queued_long_tokens"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Draining is set if the engine is draining, and so accepts no new requests.
	Draining bool `json:"leaving,omitempty"`
}

// StreamInfo describes a stream that an engine keeps.
type StreamInfo struct {
	Attempt      string `json:"attempt"`
	Request      string `json:"request"`
	Organisation string `json:"organisation"`
	Owner        string `json:"owner"`
	// Tokens is the number of tokens generated so far.
	Tokens     int   `json:"tokens"`
	End        End   `json:"end,omitempty"`
	Attached   bool  `json:"attached"`
	TimeLeftMS int64 `json:"time_left_ms"`
}

// Reservation is a request to an engine to reserve memory for a group of engines that
// process one prompt.
type Reservation struct {
	Tokens int   `json:"tokens"`
	TTLMS  int64 `json:"ttl_ms"`
}
