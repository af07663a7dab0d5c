package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Evacuation is the JSON form, in the admin API, of a data centre whose backend servers get no new requests.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
}

// EvacuationPlan describes the effect that an evacuation of a data centre would have at present.
type EvacuationPlan struct {
	DataCentre string `json:"data_centre"`
	// Version is the version of the evacuation in force, or zero if there is none.
	Version uint64     `json:"version"`
	Kinds   []KindPlan `json:"kinds"`
}

// KindPlan is the effect of an evacuation on the backend servers of one kind.
type KindPlan struct {
	Kind string `json:"kind"`
	// InDataCentre is the number of listed servers in the data centre, and Remaining the number of servers in other data
	// centres that would still get requests.
	InDataCentre int `json:"there"`
	Remaining    int `json:"left"`
}

// configuration returns the configuration in force. The returned value is immutable.
func (entry *Entry) configuration() configuration.Configuration {
	var current configuration.Configuration
	entry.replica.View(func(state *state.State) { current = state.Configuration })
	return current
}

func (entry *Entry) handleListEvacuations(w http.ResponseWriter, _ *http.Request) {
	evacuations := entry.configuration().Evacuations()
	list := make([]Evacuation, 0, len(evacuations))
	for _, evacuation := range evacuations {
		list = append(list, Evacuation{DataCentre: evacuation.DataCentre, Version: uint64(evacuation.Version)})
	}
	writeJSON(w, http.StatusOK, list)
}

func (entry *Entry) handlePlanEvacuation(w http.ResponseWriter, r *http.Request) {
	if plan, known := entry.planEvacuation(w, r); known {
		writeJSON(w, http.StatusOK, plan)
	}
}

func (entry *Entry) handleBeginEvacuation(w http.ResponseWriter, r *http.Request) {
	plan, known := entry.planEvacuation(w, r)
	if !known {
		return
	}
	entry.proposeChange(w, r, &wire.Record{Body: &wire.Record_BeginEvacuation{BeginEvacuation: &wire.BeginEvacuation{
		DataCentre: plan.DataCentre,
	}}})
}

func (entry *Entry) handleEndEvacuation(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	entry.proposeChange(w, r, &wire.Record{Body: &wire.Record_EndEvacuation{EndEvacuation: &wire.EndEvacuation{
		DataCentre: mux.Vars(r)["name"], ExpectedVersion: version,
	}}})
}

// planEvacuation returns the plan for the data centre named in the request. If the data centre has no backend servers
// and is not evacuated, it writes an error response and reports false.
func (entry *Entry) planEvacuation(w http.ResponseWriter, r *http.Request) (EvacuationPlan, bool) {
	current := entry.configuration()
	plan := EvacuationPlan{DataCentre: mux.Vars(r)["name"]}
	plan.Version = uint64(current.Evacuation(plan.DataCentre).Version)
	evacuated := func(dataCentre string) bool { return dataCentre == plan.DataCentre || current.Evacuated(dataCentre) }
	for _, kind := range []string{platformclient.KindEngine, platformclient.KindService} {
		planned := KindPlan{Kind: kind}
		for _, server := range entry.fleet.Snapshot(kind, evacuated).Servers {
			switch {
			case server.DataCentre == plan.DataCentre:
				planned.InDataCentre++
			case !server.Draining:
				planned.Remaining++
			}
		}
		if planned.InDataCentre > 0 {
			plan.Kinds = append(plan.Kinds, planned)
		}
	}
	if plan.Version == 0 && len(plan.Kinds) == 0 {
		writeProblem(w, http.StatusNotFound, "name", "has no backend servers")
		return EvacuationPlan{}, false
	}
	return plan, true
}
