// Package configuration has the configuration that operators publish on the
// log: the organisations with their limits, and the evacuations of data centres.
package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Configuration is an immutable version of the configuration. It may be shared between goroutines.
type Configuration struct {
	// organisations has the organisations by name. The map is never modified once the value is shared.
	organisations map[string]Organisation
	// evacuations has the version of the record that began each evacuation, by data centre. The map is never modified once
	// the value is shared.
	evacuations map[string]statemachine.Version
	// version is the version of the last accepted record. It never decreases from one value to its successors.
	version statemachine.Version
}

// Organisation is a tenant with its limits.
type Organisation struct {
	Name string
	// Weight is its share of the fleet relative to the weights of the other organisations.
	Weight uint32
	// MaxConcurrent is the maximum number of its requests that one entry runs at the same time.
	MaxConcurrent uint32
	// Version is the version of the record that put it.
	Version statemachine.Version
}

// New returns a configuration without organisations and evacuations.
func New() Configuration {
	return Configuration{organisations: map[string]Organisation{}, evacuations: map[string]statemachine.Version{}}
}

// Version returns the version of the last accepted record, or zero if there is none.
func (configuration Configuration) Version() statemachine.Version {
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
	version statemachine.Version, put *wire.PutOrganisation,
) (Configuration, statemachine.Verdict) {
	organisation := put.GetOrganisation()
	if organisation.GetName() == "" || organisation.GetWeight() == 0 || organisation.GetMaxConcurrent() == 0 {
		return configuration, statemachine.Refuse(statemachine.ReasonMalformed)
	}
	current := configuration.organisations[organisation.GetName()]
	if uint64(current.Version) != put.GetExpectedVersion() {
		return configuration, statemachine.Refuse(statemachine.ReasonConflict)
	}
	organisations := maps.Clone(configuration.organisations)
	organisations[organisation.GetName()] = newOrganisation(organisation, version)
	return configuration.withOrganisations(organisations, version), statemachine.Accept(version)
}

// WithoutOrganisation returns the configuration after remove, or the same
// configuration if remove is refused.
func (configuration Configuration) WithoutOrganisation(
	version statemachine.Version, remove *wire.RemoveOrganisation,
) (Configuration, statemachine.Verdict) {
	versionOf := func(organisation Organisation) statemachine.Version { return organisation.Version }
	organisations, verdict := statemachine.Remove(configuration.organisations, remove.GetName(), versionOf, remove.GetExpectedVersion(), version)
	if !verdict.Accepted {
		return configuration, verdict
	}
	return configuration.withOrganisations(organisations, version), verdict
}

func (configuration Configuration) withOrganisations(
	organisations map[string]Organisation, version statemachine.Version,
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
	configuration.version = statemachine.Version(state.GetConfigurationVersion())
	for _, organisation := range state.GetOrganisations() {
		version := statemachine.Version(organisation.GetVersion())
		configuration.organisations[organisation.GetName()] = newOrganisation(organisation, version)
	}
	for _, evacuation := range state.GetEvacuations() {
		configuration.evacuations[evacuation.GetDataCentre()] = statemachine.Version(evacuation.GetVersion())
	}
	return configuration
}

func newOrganisation(organisation *wire.Organisation, version statemachine.Version) Organisation {
	return Organisation{
		Name:          organisation.GetName(),
		Weight:        organisation.GetWeight(),
		MaxConcurrent: organisation.GetMaxConcurrent(),
		Version:       version,
	}
}
