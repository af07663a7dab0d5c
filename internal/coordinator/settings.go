package coordinator

import "time"

// Settings configure the exchange of requests and responses with the coordinator, and its passes
// over the queue.
type Settings struct {
	// AnswerMin and AnswerMax bound the response timeout, after which the request is repeated.
	// Between them the timeout is ResponseTimeFactor times the average of recent response times, so
	// that a VM whose own CPU is overloaded does not take the coordinator for unresponsive.
	AnswerMin          time.Duration `yaml:"answer_min" validate:"min=1ms"`
	AnswerMax          time.Duration `yaml:"answer_max" validate:"min=1ms,gtefield=AnswerMin"`
	ResponseTimeFactor float64       `yaml:"answer_times" validate:"min=1"`
	// ResponseTimeWeight is the weight of one response in the moving average of response times.
	ResponseTimeWeight float64 `yaml:"answer_gain" validate:"min=0.01,max=1"`
	// MaxMissedResponses is the number of consecutive requests without a response after which
	// another VM is used. With 2, a single datagram lost on a bad link (one in forty) does not
	// cause a change.
	MaxMissedResponses int `yaml:"misses" validate:"min=1"`
	// RepeatInterval is the interval at which a VM repeats a queued request. It detects by this
	// that the coordinator is down.
	RepeatInterval time.Duration `yaml:"renew" validate:"min=1ms"`
	// QueuedRequestTTL is the time after which the coordinator drops a queued request that its VM
	// does not repeat. It must be several times RepeatInterval.
	QueuedRequestTTL time.Duration `yaml:"lapse" validate:"min=1ms"`
	// DecisionTTL is the time for which a decision is kept, to be sent again when the response was
	// lost.
	DecisionTTL time.Duration `yaml:"remember" validate:"min=1ms"`
	// DispatchInterval is the interval between passes over the queue while no server state changes,
	// and MinDispatchInterval the minimum time between any two passes.
	DispatchInterval    time.Duration `yaml:"look" validate:"min=1ms"`
	MinDispatchInterval time.Duration `yaml:"pause" validate:"min=0"`
	// DispatchPauseFactor is the pause after a pass over the queue, as a multiple of its duration.
	// A value of 2 limits passes to a third of one core.
	DispatchPauseFactor float64 `yaml:"rest_times" validate:"min=0"`
}

// DefaultSettings returns settings for data centres in one city with a round-trip time of 3 ms.
func DefaultSettings() Settings {
	return Settings{
		AnswerMin:           25 * time.Millisecond,
		AnswerMax:           200 * time.Millisecond,
		ResponseTimeFactor:  4,
		ResponseTimeWeight:  0.2,
		MaxMissedResponses:  2,
		RepeatInterval:      100 * time.Millisecond,
		QueuedRequestTTL:    500 * time.Millisecond,
		DecisionTTL:         2 * time.Second,
		DispatchInterval:    20 * time.Millisecond,
		MinDispatchInterval: 2 * time.Millisecond,
		DispatchPauseFactor: 2,
	}
}
