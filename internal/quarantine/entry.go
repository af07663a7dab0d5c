package quarantine

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Entry is a request that is kept from servers. It is immutable.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	// Until is when it may be tried again.
	Until time.Time
	// Times counts how often it was found to be the cause, from one.
	Times int
}

// duration returns for how long an entry is kept the nth time.
func (settings Settings) duration(times int) time.Duration {
	duration := settings.Time
	for range times - 1 {
		duration = min(2*duration, settings.TimeMax)
	}
	return duration
}
