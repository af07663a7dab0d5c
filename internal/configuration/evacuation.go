package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Evacuation is the evacuation of a data centre: its backend servers are assigned no new requests.
type Evacuation struct {
	DataCentre string
	// Version is the version of the record that began it.
	Version statemachine.Version
}

// Evacuations returns all evacuations, sorted by data centre.
func (configuration Configuration) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(configuration.evacuations))
	for dataCentre, version := range configuration.evacuations {
		list = append(list, Evacuation{DataCentre: dataCentre, Version: version})
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// Evacuation returns the evacuation of a data centre, with version zero if it is not evacuated.
func (configuration Configuration) Evacuation(dataCentre string) Evacuation {
	return Evacuation{DataCentre: dataCentre, Version: configuration.evacuations[dataCentre]}
}

// Evacuated reports whether the backend servers of a data centre are assigned no new requests.
func (configuration Configuration) Evacuated(dataCentre string) bool {
	_, evacuated := configuration.evacuations[dataCentre]
	return evacuated
}

// WithEvacuation returns the configuration after begin, or the same configuration if begin is refused.
func (configuration Configuration) WithEvacuation(
	version statemachine.Version, begin *wire.BeginEvacuation,
) (Configuration, statemachine.Verdict) {
	dataCentre := begin.GetDataCentre()
	if dataCentre == "" {
		return configuration, statemachine.Refuse(statemachine.ReasonMalformed)
	}
	if configuration.Evacuated(dataCentre) {
		return configuration, statemachine.Refuse(statemachine.ReasonConflict)
	}
	evacuations := maps.Clone(configuration.evacuations)
	evacuations[dataCentre] = version
	return configuration.withEvacuations(evacuations, version), statemachine.Accept(version)
}

// WithoutEvacuation returns the configuration after end, or the same configuration if end is refused.
func (configuration Configuration) WithoutEvacuation(
	version statemachine.Version, end *wire.EndEvacuation,
) (Configuration, statemachine.Verdict) {
	versionOf := func(began statemachine.Version) statemachine.Version { return began }
	evacuations, verdict := statemachine.Remove(configuration.evacuations, end.GetDataCentre(), versionOf, end.GetExpectedVersion(), version)
	if !verdict.Accepted {
		return configuration, verdict
	}
	return configuration.withEvacuations(evacuations, version), verdict
}

func (configuration Configuration) withEvacuations(
	evacuations map[string]statemachine.Version, version statemachine.Version,
) Configuration {
	configuration.evacuations = evacuations
	configuration.version = version
	return configuration
}
