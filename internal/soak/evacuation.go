package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Data centres of a run.
const (
	firstDataCentre  = "north"
	secondDataCentre = "south"
)

// evacuation is a span in which the servers of a data centre must get no requests. A zero end means that it is in force.
type evacuation struct {
	dataCentre string
	from, to   time.Time
}

// assignDataCentre returns the data centre of a server: the first one, or, in runs with two, by the parity of the last
// byte of its address.
func (operator *operator) assignDataCentre(identity platformserver.Identity) string {
	address, err := netip.ParseAddrPort(identity.Address)
	if operator.twoDataCentres && err == nil && address.Addr().As4()[3]%2 == 0 {
		return secondDataCentre
	}
	return firstDataCentre
}

// evacuate begins or ends an evacuation of a data centre. Evacuations may overlap; the data centre is back in service when
// the last one has ended.
func (operator *operator) evacuate(dataCentre string, begin bool) {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	key := "evacuate/" + dataCentre
	if begin {
		operator.activeEvacuations++
		if operator.activeEvacuations == 1 {
			operator.put("keyed.op", key, []byte("{}"))
			operator.evacuations = append(operator.evacuations, evacuation{dataCentre: dataCentre, from: time.Now()})
		}
		return
	}
	operator.activeEvacuations--
	if operator.activeEvacuations == 0 {
		operator.evacuations[len(operator.evacuations)-1].to = time.Now()
		operator.put("keyed.op", key, nil)
	}
}

// endedEvacuations returns the evacuations that have ended.
func (operator *operator) endedEvacuations() []evacuation {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(operator.evacuations), func(evacuation evacuation) bool { return evacuation.to.IsZero() })
}

// dataCentreOf returns the data centre of a server that had an entry in the store, or an empty string.
func (operator *operator) dataCentreOf(instance string) string {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	return operator.dataCentres[instance]
}
