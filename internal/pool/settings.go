package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/ejection"
)

// Settings tune the pool.
type Settings struct {
	// ReturnTime is how long after the list's source came back a server that is
	// missing from it is still taken to be there.
	ReturnTime time.Duration `yaml:"return_time" validate:"min=0,max=1m"`
	// EjectAfter is how many failures in a row make a server suspect.
	EjectAfter int `yaml:"eject_after" validate:"min=1"`
	// EjectTime is how long it is suspect at first; each further failure
	// doubles the time up to EjectTimeMax.
	EjectTime    time.Duration `yaml:"eject_time" validate:"min=10ms"`
	EjectTimeMax time.Duration `yaml:"eject_time_max" validate:"min=10ms"`
	// PassSpare is what a pass takes beside its steps and reading: the context of
	// what is written.
	PassSpare time.Duration `yaml:"pass_spare" validate:"min=0"`
	// PaceGain is the weight of one event in a server's pace, PaceHalf the time
	// in which a pace that is not seen any more halves, and SlowTimes the
	// multiple of the usual pace from which on a server is suspect.
	PaceGain  float64       `yaml:"pace_gain" validate:"min=0,max=1"`
	PaceHalf  time.Duration `yaml:"pace_half" validate:"min=100ms"`
	SlowTimes float64       `yaml:"slow_times" validate:"min=1"`
	// OverdueAfter is how long after a prompt should have been read, and
	// OverduePart the part of its reading beyond that, its server counts as held
	// up.
	OverdueAfter time.Duration `yaml:"overdue_after" validate:"min=10ms"`
	OverduePart  float64       `yaml:"overdue_part" validate:"min=0"`
	// HiddenMin is for how long memory counts that a server has in use and no VM told of. It
	// doubles each time that it is so again, up to HiddenMax, which is as long as memory stays
	// set aside without being renewed (reservation.Settings.Hold).
	HiddenMin time.Duration `yaml:"hidden_min" validate:"min=1ms"`
	HiddenMax time.Duration `yaml:"hidden_max" validate:"min=1ms,gtefield=HiddenMin"`
	// RemoteTime is for how long what another VM told holds without being told
	// again.
	RemoteTime time.Duration `yaml:"remote_time" validate:"min=100ms"`
}

// ejection returns when and for how long a server that fails is suspect.
func (settings Settings) ejection() ejection.Limits {
	return ejection.Limits{After: settings.EjectAfter, Time: settings.EjectTime, TimeMax: settings.EjectTimeMax}
}

// overdueAfter is how long after a prompt of that reading should have been read
// its server counts as held up.
func (settings Settings) overdueAfter(work time.Duration) time.Duration {
	return settings.OverdueAfter + time.Duration(settings.OverduePart*float64(work))
}

// DefaultSettings returns the settings for data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		ReturnTime:   2 * time.Second,
		EjectAfter:   2,
		EjectTime:    time.Second,
		EjectTimeMax: 8 * time.Second,
		PassSpare:    30 * time.Millisecond,
		PaceGain:     0.1,
		PaceHalf:     4 * time.Second,
		SlowTimes:    2.2,
		OverdueAfter: 200 * time.Millisecond,
		OverduePart:  0.3,
		HiddenMin:    100 * time.Millisecond,
		HiddenMax:    3500 * time.Millisecond,
		RemoteTime:   1600 * time.Millisecond,
	}
}
