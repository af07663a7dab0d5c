package load

import "time"

// Settings describe the load of one run.
type Settings struct {
	// Entries are the addresses that callers use, in place of a balancer.
	Entries []string `yaml:"entries" validate:"min=1,dive,hostname_port"`
	// Engines are the addresses of engines, for classes that are direct.
	Engines []string `yaml:"engines" validate:"dive,hostname_port"`
	// Platform is where the stand-ins tell what really ran. Without it, that
	// part of the check is left out, and said to be.
	Platform string `yaml:"platform" validate:"omitempty,http_url"`
	// Seed fixes arrivals, lengths and prompts.
	Seed uint64 `yaml:"seed"`
	// Duration is how long requests arrive in each phase.
	Duration      time.Duration `yaml:"duration" validate:"min=100ms,max=24h"`
	Organisations []string      `yaml:"organisations" validate:"min=1,dive,required"`
	Classes       []Class       `yaml:"classes" validate:"min=1,dive"`
}

// Class is requests that are alike.
type Class struct {
	Name string `yaml:"name" validate:"required"`
	// Background says that the class is left out of the first phase, which
	// shows the others without it.
	Background bool `yaml:"background"`
	// Service names the plain service to call; empty for prompts.
	Service string `yaml:"service"`
	Model   string `yaml:"model" validate:"required_without=Service"`
	// Direct sends prompts to the engines themselves, to show by comparison
	// what the entries add.
	Direct bool `yaml:"direct"`
	// PerSecond is the rate of arrivals.
	PerSecond float64 `yaml:"per_second" validate:"gt=0"`
	// TokensMin and TokensMax bound the prompt, evenly spread.
	TokensMin int `yaml:"tokens_min" validate:"min=1,max=2000000"`
	TokensMax int `yaml:"tokens_max" validate:"gtefield=TokensMin,max=2000000"`
	// MaxTokens is the length of answers.
	MaxTokens int           `yaml:"max_tokens" validate:"min=1"`
	Time      time.Duration `yaml:"time" validate:"min=20ms"`
	// Unrepeatable requests get a key.
	Unrepeatable bool `yaml:"unrepeatable"`
	// Duplicates is the part of unrepeatable requests that are sent twice at
	// once, to different entries, from 0 to 1.
	Duplicates float64 `yaml:"duplicates" validate:"min=0,max=1"`
	// CutAfter cuts the caller off after so many tokens, to resume elsewhere.
	CutAfter int `yaml:"cut_after" validate:"min=0"`
}
