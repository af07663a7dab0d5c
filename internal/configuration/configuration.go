// Package configuration has the configuration that operators publish on the
// log: the organisations with their limits, and the evacuations of data centres.
package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Configuration is an immutable version of the configuration. It may be shared between goroutines.
type Configuration struct {
	// organisations has the organisations by name. The map is never modified once the value is shared.
	organisations map[string]Organisation
	// evacuations has the version of the record that began each evacuation, by data centre. The map is never modified once
	// the value is shared.
	evacuations map[string]fold.Version
	// version is the version of the last accepted record. It never decreases from one value to its successors.
	version fold.Version
}

// Organisation is a tenant with its limits.
type Organisation struct {
	Name string
	// Weight is its share of the fleet relative to the weights of the other organisations.
	Weight uint32
	// MaxConcurrent is the maximum number of its requests that one entry runs at the same time.
	MaxConcurrent uint32
	// Version is the version of the record that put it.
	Version fold.Version
}

// New returns a configuration without organisations and evacuations.
func New() Configuration {
	return Configuration{organisations: map[string]Organisation{}, evacuations: map[string]fold.Version{}}
}

// Version returns the version of the last accepted record, or zero if there is none.
func (configuration Configuration) Version() fold.Version {
	return configuration.version
}

// Organisation returns the organisation called name. It reports false if there is none.
func (configuration Configuration) Organisation(name string) (Organisation, bool) {
	organisation, ok := configuration.organisations[name]
	return organisation, ok
}

// Organisations returns all organisations, sorted by name.
func (configuration Configuration) Organisations() []Organisation {
	return slices.SortedFunc(maps.Values(configuration.organisations), func(a, b Organisation) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// WithOrganisation returns the configuration after put, or the same configuration
// if put is refused.
func (configuration Configuration) WithOrganisation(
	version fold.Version, put *wire.PutOrganisation,
) (Configuration, fold.Verdict) {
	organisation := put.GetOrganisation()
	if organisation.GetName() == "" || organisation.GetWeight() == 0 || organisation.GetMaxConcurrent() == 0 {
		return configuration, fold.Refuse(fold.ReasonMalformed)
	}
	current := configuration.organisations[organisation.GetName()]
	if uint64(current.Version) != put.GetExpectedVersion() {
		return configuration, fold.Refuse(fold.ReasonConflict)
	}
	organisations := maps.Clone(configuration.organisations)
	organisations[organisation.GetName()] = newOrganisation(organisation, version)
	return configuration.withOrganisations(organisations, version), fold.Accept(version)
}

// WithoutOrganisation returns the configuration after remove, or the same
// configuration if remove is refused.
func (configuration Configuration) WithoutOrganisation(
	version fold.Version, remove *wire.RemoveOrganisation,
) (Configuration, fold.Verdict) {
	versionOf := func(organisation Organisation) fold.Version { return organisation.Version }
	organisations, verdict := fold.Remove(configuration.organisations, remove.GetName(), versionOf, remove.GetExpectedVersion(), version)
	if !verdict.Accepted {
		return configuration, verdict
	}
	return configuration.withOrganisations(organisations, version), verdict
}

func (configuration Configuration) withOrganisations(
	organisations map[string]Organisation, version fold.Version,
) Configuration {
	configuration.organisations = organisations
	configuration.version = version
	return configuration
}

// Encode writes the configuration into state. The order of the lists is fixed, so that equal configurations have equal
// encodings.
func (configuration Configuration) Encode(state *wire.State) {
	state.ConfigurationVersion = uint64(configuration.version)
	for _, organisation := range configuration.Organisations() {
		state.Organisations = append(state.Organisations, &wire.Organisation{
			Name:          organisation.Name,
			Weight:        organisation.Weight,
			MaxConcurrent: organisation.MaxConcurrent,
			Version:       uint64(organisation.Version),
		})
	}
	for _, evacuation := range configuration.Evacuations() {
		state.Evacuations = append(state.Evacuations, &wire.Evacuation{
			DataCentre: evacuation.DataCentre, Version: uint64(evacuation.Version),
		})
	}
}

// Decode returns the configuration that Encode wrote into state.
func Decode(state *wire.State) Configuration {
	configuration := New()
	configuration.version = fold.Version(state.GetConfigurationVersion())
	for _, organisation := range state.GetOrganisations() {
		version := fold.Version(organisation.GetVersion())
		configuration.organisations[organisation.GetName()] = newOrganisation(organisation, version)
	}
	for _, evacuation := range state.GetEvacuations() {
		configuration.evacuations[evacuation.GetDataCentre()] = fold.Version(evacuation.GetVersion())
	}
	return configuration
}

func newOrganisation(organisation *wire.Organisation, version fold.Version) Organisation {
	return Organisation{
		Name:          organisation.GetName(),
		Weight:        organisation.GetWeight(),
		MaxConcurrent: organisation.GetMaxConcurrent(),
		Version:       version,
	}
}
