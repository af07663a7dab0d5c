package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/ejection"
)

// Settings configure the pool.
type Settings struct {
	// ListRecoveryTime is for how long after the list's source is available again a server that is
	// missing from the list still counts as running.
	ListRecoveryTime time.Duration `yaml:"return_time" validate:"min=0,max=1m"`
	// EjectAfter is the number of consecutive failures that make a server suspect.
	EjectAfter int `yaml:"eject_after" validate:"min=1"`
	// EjectTime is the first period for which a server is suspect. Each further failure doubles it,
	// up to EjectTimeMax.
	EjectTime    time.Duration `yaml:"eject_time" validate:"min=10ms"`
	EjectTimeMax time.Duration `yaml:"eject_time_max" validate:"min=10ms"`
	// PassTimeMargin is the time of an engine pass beyond its steps and prefill: the context of the
	// requests being decoded.
	PassTimeMargin time.Duration `yaml:"pass_spare" validate:"min=0"`
	// PaceWeight is the weight of one event in a server's pace. PaceHalfLife is the half-life of
	// the pace's deviation from one without new events. A server is suspect if its pace exceeds the
	// median of its service by the factor SlowPaceFactor.
	PaceWeight     float64       `yaml:"pace_gain" validate:"min=0,max=1"`
	PaceHalfLife   time.Duration `yaml:"pace_half" validate:"min=100ms"`
	SlowPaceFactor float64       `yaml:"slow_times" validate:"min=1"`
	// A server counts as delayed if a first event is later than estimated by OverdueAfter plus the
	// fraction OverdueFraction of its prefill time.
	OverdueAfter    time.Duration `yaml:"overdue_after" validate:"min=10ms"`
	OverdueFraction float64       `yaml:"overdue_part" validate:"min=0"`
	// HiddenMin is the first period for which KV memory in use that no VM reported counts. Each
	// repetition doubles the period, up to HiddenMax. HiddenMax is as long as a memory reservation
	// stays without renewal (reservation.Settings.TTL).
	HiddenMin time.Duration `yaml:"hidden_min" validate:"min=1ms"`
	HiddenMax time.Duration `yaml:"hidden_max" validate:"min=1ms,gtefield=HiddenMin"`
	// RemoteReportTTL is the time to live of another VM's report without a repetition.
	RemoteReportTTL time.Duration `yaml:"remote_time" validate:"min=100ms"`
}

// ejection returns when a failing server is suspect, and for how long.
func (settings Settings) ejection() ejection.Limits {
	return ejection.Limits{After: settings.EjectAfter, Time: settings.EjectTime, TimeMax: settings.EjectTimeMax}
}

// overdueAfter is the tolerated delay of a first event beyond a prefill of the given duration.
func (settings Settings) overdueAfter(prefillTime time.Duration) time.Duration {
	return settings.OverdueAfter + time.Duration(settings.OverdueFraction*float64(prefillTime))
}

// DefaultSettings returns the settings for data centres within one city.
func DefaultSettings() Settings {
	return Settings{
		ListRecoveryTime: 2 * time.Second,
		EjectAfter:       2,
		EjectTime:        time.Second,
		EjectTimeMax:     8 * time.Second,
		PassTimeMargin:   30 * time.Millisecond,
		PaceWeight:       0.1,
		PaceHalfLife:     4 * time.Second,
		SlowPaceFactor:   2.2,
		OverdueAfter:     200 * time.Millisecond,
		OverdueFraction:  0.3,
		HiddenMin:        100 * time.Millisecond,
		HiddenMax:        3500 * time.Millisecond,
		RemoteReportTTL:  1600 * time.Millisecond,
	}
}
