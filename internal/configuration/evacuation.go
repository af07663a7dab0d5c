package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Evacuation is a data centre whose backend servers get nothing new.
type Evacuation struct {
	DataCentre string
	// Version is that of the record which began it.
	Version fold.Version
}

// Evacuations returns all evacuations by their data centres.
func (configuration Configuration) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(configuration.evacuations))
	for dataCentre, version := range configuration.evacuations {
		list = append(list, Evacuation{DataCentre: dataCentre, Version: version})
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// Evacuation returns the evacuation of a data centre, with version zero where there is none.
func (configuration Configuration) Evacuation(dataCentre string) Evacuation {
	return Evacuation{DataCentre: dataCentre, Version: configuration.evacuations[dataCentre]}
}

// Evacuated reports whether the backend servers of a data centre get nothing new.
func (configuration Configuration) Evacuated(dataCentre string) bool {
	_, evacuated := configuration.evacuations[dataCentre]
	return evacuated
}

// WithEvacuation returns the configuration after begin, if it is accepted.
func (configuration Configuration) WithEvacuation(
	version fold.Version, begin *wire.BeginEvacuation,
) (Configuration, fold.Verdict) {
	dataCentre := begin.GetDataCentre()
	if dataCentre == "" {
		return configuration, fold.Refuse(fold.ReasonMalformed)
	}
	if configuration.Evacuated(dataCentre) {
		return configuration, fold.Refuse(fold.ReasonConflict)
	}
	evacuations := maps.Clone(configuration.evacuations)
	evacuations[dataCentre] = version
	return configuration.withEvacuations(evacuations, version), fold.Accept(version)
}

// WithoutEvacuation returns the configuration after end, if it is accepted.
func (configuration Configuration) WithoutEvacuation(
	version fold.Version, end *wire.EndEvacuation,
) (Configuration, fold.Verdict) {
	itself := func(began fold.Version) fold.Version { return began }
	evacuations, verdict := fold.Remove(configuration.evacuations, end.GetDataCentre(), itself, end.GetExpectedVersion(), version)
	if !verdict.Accepted {
		return configuration, verdict
	}
	return configuration.withEvacuations(evacuations, version), verdict
}

func (configuration Configuration) withEvacuations(
	evacuations map[string]fold.Version, version fold.Version,
) Configuration {
	configuration.evacuations = evacuations
	configuration.version = version
	return configuration
}
