package coordinator

import "time"

// Settings tune how VMs ask one of them for servers.
type Settings struct {
	// AnswerMin and AnswerMax bound how long an answer may take before the request
	// is asked for again. Between them it is AnswerTimes as long as answers took
	// lately, so that a VM whose own processor is late does not blame the other one.
	AnswerMin   time.Duration `yaml:"answer_min" validate:"min=1ms"`
	AnswerMax   time.Duration `yaml:"answer_max" validate:"min=1ms,gtefield=AnswerMin"`
	AnswerTimes float64       `yaml:"answer_times" validate:"min=1"`
	// AnswerGain is the weight of one answer in what answers took lately.
	AnswerGain float64 `yaml:"answer_gain" validate:"min=0.01,max=1"`
	// Misses is how many asks in a row may stay unanswered before another VM is
	// asked. Two, since one datagram in forty is lost on a bad link.
	Misses int `yaml:"misses" validate:"min=1"`
	// Renew is the time between asks for a request that waits: so it learns that
	// the VM which decides is gone.
	Renew time.Duration `yaml:"renew" validate:"min=1ms"`
	// Lapse is after how long without being asked again a request is dropped whose
	// VM said nothing. It is some times Renew.
	Lapse time.Duration `yaml:"lapse" validate:"min=1ms"`
	// Remember is for how long a decision is told again when its answer was lost.
	Remember time.Duration `yaml:"remember" validate:"min=1ms"`
	// Look is the time between looks at what waits when nothing changes, and Pause
	// the least time between any two.
	Look  time.Duration `yaml:"look" validate:"min=1ms"`
	Pause time.Duration `yaml:"pause" validate:"min=0"`
	// RestTimes is the multiple of the time that a look at all that waits took for
	// which there is none: a third of one core at most goes into looks.
	RestTimes float64 `yaml:"rest_times" validate:"min=0"`
}

// DefaultSettings returns settings for data centres of one city, 3 ms apart both ways.
func DefaultSettings() Settings {
	return Settings{
		AnswerMin:   25 * time.Millisecond,
		AnswerMax:   200 * time.Millisecond,
		AnswerTimes: 4,
		AnswerGain:  0.2,
		Misses:      2,
		Renew:       100 * time.Millisecond,
		Lapse:       500 * time.Millisecond,
		Remember:    2 * time.Second,
		Look:        20 * time.Millisecond,
		Pause:       2 * time.Millisecond,
		RestTimes:   2,
	}
}
