package engine

import "time"

// Settings are the parameters of the engine's cost model, which docs/STANDIN.md
// explains.
type Settings struct {
	// BlockTokens is the unit of KV memory and of prefix caching.
	BlockTokens int `yaml:"block_tokens" validate:"min=1"`
	// MemoryTokens is the KV memory of one engine, in tokens.
	MemoryTokens int `yaml:"memory_tokens" validate:"min=1"`
	// StepTokens is the maximum number of tokens computed in one step.
	StepTokens int `yaml:"step_tokens" validate:"min=1"`
	// DecodeSlots is the maximum number of streams that decode in one step.
	DecodeSlots int `yaml:"decode_slots" validate:"min=1"`
	// StepBase is the time of an empty step.
	StepBase time.Duration `yaml:"step_base" validate:"min=0"`
	// PrefillToken is the time to compute one prompt token.
	PrefillToken time.Duration `yaml:"prefill_token" validate:"min=0"`
	// PrefillPairNS is the time, in nanoseconds, that each token of context
	// adds to each prompt token computed.
	PrefillPairNS float64 `yaml:"prefill_pair_ns" validate:"min=0"`
	// DecodeToken is the time to generate one token.
	DecodeToken time.Duration `yaml:"decode_token" validate:"min=0"`
	// DecodeContextNS is the time, in nanoseconds, that each token of context
	// adds to each token generated.
	DecodeContextNS float64 `yaml:"decode_context_ns" validate:"min=0"`
	// LoadLag is the age of load reports.
	LoadLag time.Duration `yaml:"load_lag" validate:"min=0"`
	// CacheEventLag is the delay with which cache events are published.
	CacheEventLag time.Duration `yaml:"cache_event_lag" validate:"min=0"`
	// CacheEventLoss is the fraction (0 to 1) of cache events that are missing
	// from a response.
	CacheEventLoss float64 `yaml:"cache_event_loss" validate:"min=0,max=1"`
	// TransferToken is the time to export or import the KV memory of a token.
	TransferToken time.Duration `yaml:"transfer_token" validate:"min=0"`
	// DetachGrace is the time after which a stream without readers is cancelled.
	DetachGrace time.Duration `yaml:"detach_grace" validate:"min=0"`
	// EndedRetention is the time for which an ended stream can still be read.
	EndedRetention time.Duration `yaml:"keep_ended" validate:"min=0"`
}

// DefaultSettings returns parameters of an engine that is about twenty times as
// fast as a real one, so that a test run takes seconds.
func DefaultSettings() Settings {
	return Settings{
		BlockTokens:     256,
		MemoryTokens:    448 << 10,
		StepTokens:      4096,
		DecodeSlots:     64,
		StepBase:        1500 * time.Microsecond,
		PrefillToken:    4 * time.Microsecond,
		PrefillPairNS:   0.004,
		DecodeToken:     30 * time.Microsecond,
		DecodeContextNS: 0.5,
		LoadLag:         200 * time.Millisecond,
		CacheEventLag:   300 * time.Millisecond,
		CacheEventLoss:  0.02,
		TransferToken:   200 * time.Nanosecond,
		DetachGrace:     10 * time.Second,
		EndedRetention:  30 * time.Second,
	}
}

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// PromptTokens returns the length of a prompt in tokens, rounded up.
func PromptTokens(prompt []byte) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}
