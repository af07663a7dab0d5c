package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Evacuation is a data centre whose backend servers get nothing new, in the operators' interface.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
}

// EvacuationPlan is what an evacuation would do now.
type EvacuationPlan struct {
	DataCentre string `json:"data_centre"`
	// Version is that of the evacuation, or zero where none is in force.
	Version uint64      `json:"version"`
	Kinds   []KindsPlan `json:"kinds"`
}

// KindsPlan is what it would do to the backend servers of one kind.
type KindsPlan struct {
	Kind string `json:"kind"`
	// There is how many are listed in the data centre, and Left how many others get requests then.
	There int `json:"there"`
	Left  int `json:"left"`
}

// evacuated returns whether the backend servers of a data centre get nothing new now.
func (entry *Entry) evacuated() func(dataCentre string) bool {
	return entry.configuration().Evacuated
}

// configuration returns the configuration in force, which does not change any more.
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
	plan := entry.planEvacuation(mux.Vars(r)["name"])
	if plan.Version == 0 && len(plan.Kinds) == 0 {
		writeProblem(w, http.StatusNotFound, "name", "has no backend servers")
		return
	}
	writeJSON(w, http.StatusOK, plan)
}

func (entry *Entry) handleBeginEvacuation(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if plan := entry.planEvacuation(name); plan.Version == 0 && len(plan.Kinds) == 0 {
		writeProblem(w, http.StatusNotFound, "name", "has no backend servers")
		return
	}
	entry.change(w, r, &wire.Record{Body: &wire.Record_BeginEvacuation{BeginEvacuation: &wire.BeginEvacuation{DataCentre: name}}})
}

func (entry *Entry) handleEndEvacuation(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	entry.change(w, r, &wire.Record{Body: &wire.Record_EndEvacuation{EndEvacuation: &wire.EndEvacuation{
		DataCentre: mux.Vars(r)["name"], ExpectedVersion: version,
	}}})
}

func (entry *Entry) planEvacuation(dataCentre string) EvacuationPlan {
	current := entry.configuration()
	plan := EvacuationPlan{DataCentre: dataCentre}
	for _, evacuation := range current.Evacuations() {
		if evacuation.DataCentre == dataCentre {
			plan.Version = uint64(evacuation.Version)
		}
	}
	for _, there := range entry.fleet.CountsIn(dataCentre) {
		if there.Kind == infra.KindSystem {
			continue
		}
		left := 0
		others := func(at string) bool { return at == dataCentre || current.Evacuated(at) }
		for _, server := range entry.fleet.Snapshot(there.Kind, others).Servers {
			if !server.Leaving {
				left++
			}
		}
		plan.Kinds = append(plan.Kinds, KindsPlan{Kind: there.Kind, There: there.Count, Left: left})
	}
	return plan
}
