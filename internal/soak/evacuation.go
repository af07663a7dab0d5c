package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Data centres of a run.
const (
	firstCentre  = "north"
	secondCentre = "south"
)

// evacuated is a time in which a data centre was to get nothing; it has no end while that lasts.
type evacuated struct {
	dataCentre string
	from, to   time.Time
}

// centre returns the data centre of a server: all are in the first one, or every other one by its address.
func (operator *operator) centre(identity platformserver.Identity) string {
	address, err := netip.ParseAddrPort(identity.Address)
	if operator.twoCentres && err == nil && address.Addr().As4()[3]%2 == 0 {
		return secondCentre
	}
	return firstCentre
}

// evacuate begins the evacuation of a data centre, or ends it. It ends when all that began it ended it.
func (operator *operator) evacuate(dataCentre string, wished bool) {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	key := "evacuate/" + dataCentre
	if wished {
		operator.evacuating++
		if operator.evacuating == 1 {
			operator.put("keyed.op", key, []byte("{}"))
			operator.evacuated = append(operator.evacuated, evacuated{dataCentre: dataCentre, from: time.Now()})
		}
		return
	}
	operator.evacuating--
	if operator.evacuating == 0 {
		operator.evacuated[len(operator.evacuated)-1].to = time.Now()
		operator.put("keyed.op", key, nil)
	}
}

// evacuations returns each evacuation that ended.
func (operator *operator) evacuations() []evacuated {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(operator.evacuated), func(evacuated evacuated) bool { return evacuated.to.IsZero() })
}

// dataCentreOf returns the data centre of a server that was listed.
func (operator *operator) dataCentreOf(instance string) string {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	return operator.centres[instance]
}
