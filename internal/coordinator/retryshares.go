package coordinator

import (
	"maps"
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// retryWindow is the time over which the retries of an organisation count. It is about as long as
// the window in which retries are limited.
const retryWindow = 10 * time.Second

// retryShares divides the retry budget of each service among organisations. It answers the load of
// one organisation whose requests fail in great numbers, and which would use up the budget of all.
type retryShares struct {
	enabled bool
	// taken has the retries that organisations have taken, by service.
	taken map[string]map[fairshare.Organisation]fairshare.Rate
}

func newRetryShares(enabled bool) retryShares {
	return retryShares{enabled: enabled, taken: make(map[string]map[fairshare.Organisation]fairshare.Rate)}
}

// allow reports whether an organisation may take another retry of a service's budget, of which the
// given number is left. An organisation that is the only one to take any has no limit.
func (retryshares retryShares) allow(service string, organisation fairshare.Organisation, left float64, now time.Time) bool {
	taken := retryshares.taken[service]
	_, known := taken[organisation]
	if !retryshares.enabled || len(taken) == 0 || known && len(taken) == 1 {
		return true
	}
	return fairshare.MayTake(taken[organisation].Recent(retryWindow, now), left)
}

// record records that an organisation took a retry of a service's budget.
func (retryshares retryShares) record(service string, organisation fairshare.Organisation, now time.Time) {
	taken := retryshares.taken[service]
	if taken == nil {
		taken = make(map[fairshare.Organisation]fairshare.Rate)
		retryshares.taken[service] = taken
	}
	taken[organisation] = taken[organisation].WithAmount(1, retryWindow, now)
}

// forgetIdle forgets organisations that have taken no retry for a while.
func (retryshares retryShares) forgetIdle(now time.Time) {
	for service, taken := range retryshares.taken {
		maps.DeleteFunc(taken, func(_ fairshare.Organisation, rate fairshare.Rate) bool { return rate.Idle(retryWindow, now) })
		if len(taken) == 0 {
			delete(retryshares.taken, service)
		}
	}
}
