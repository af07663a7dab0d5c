package load

import "time"

// Settings configures a load run.
type Settings struct {
	// Entries are the addresses of the entries. Requests are spread over them,
	// as by a load balancer.
	Entries []string `yaml:"entries" validate:"min=1,dive,hostname_port"`
	// Engines are the addresses of engines, for direct classes.
	Engines []string `yaml:"engines" validate:"dive,hostname_port"`
	// Platform is the URL of the simulated platform, which provides the record of
	// executions. If it is empty, executions aren't checked, and the report is
	// marked as unverified.
	Platform string `yaml:"platform" validate:"omitempty,http_url"`
	// Seed is the seed of all random choices: arrivals, lengths and prompts.
	Seed uint64 `yaml:"seed"`
	// Duration is the time for which requests arrive in each phase.
	Duration      time.Duration `yaml:"duration" validate:"min=100ms,max=24h"`
	Organisations []string      `yaml:"organisations" validate:"min=1,dive,required"`
	Classes       []Class       `yaml:"classes" validate:"min=1,dive"`
}

// Class configures a class of similar requests.
type Class struct {
	Name string `yaml:"name" validate:"required"`
	// Background excludes the class from the first phase, so that the report
	// shows the effect of the class on the others.
	Background bool `yaml:"background"`
	// Service is the name of the plain service to call, or empty for prompts.
	Service string `yaml:"service"`
	Model   string `yaml:"model" validate:"required_without=Service"`
	// Direct makes callers send prompts directly to engines, to measure the
	// overhead of the entries by comparison.
	Direct bool `yaml:"direct"`
	// PerSecond is the average arrival rate in requests per second.
	PerSecond float64 `yaml:"per_second" validate:"gt=0"`
	// TokensMin and TokensMax bound the length of prompts, which is distributed
	// uniformly.
	TokensMin int `yaml:"tokens_min" validate:"min=1,max=2000000"`
	TokensMax int `yaml:"tokens_max" validate:"gtefield=TokensMin,max=2000000"`
	// MaxTokens is the length of responses.
	MaxTokens int `yaml:"max_tokens" validate:"min=1"`
	// Time is the time from submission to the caller's deadline.
	Time time.Duration `yaml:"time" validate:"min=20ms"`
	// Unrepeatable requests must not run more than once. They get an idempotency
	// key.
	Unrepeatable bool `yaml:"unrepeatable"`
	// Duplicates is the fraction (0 to 1) of unrepeatable requests that are sent
	// twice at once, to different entries.
	Duplicates float64 `yaml:"duplicates" validate:"min=0,max=1"`
	// CutAfter is the number of tokens after which a caller disconnects once and
	// resumes at another entry, or zero to disable this.
	CutAfter int `yaml:"cut_after" validate:"min=0"`
}
