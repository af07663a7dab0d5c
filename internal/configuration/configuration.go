// Package configuration is the aggregate of what operators publish: the
// organisations with their limits, and data centres that are evacuated.
package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Configuration is an immutable version of the configuration.
type Configuration struct {
	// organisations is never changed once the value is shared.
	organisations map[string]Organisation
	// evacuations has the version of the record that began each, by its data centre. It is never changed once the value is shared.
	evacuations map[string]fold.Version
	// version never decreases from one value to its successors.
	version fold.Version
}

// Organisation is a tenant with its limits.
type Organisation struct {
	Name string
	// Weight is its part of the fleet relative to the others' weights.
	Weight uint32
	// MaxConcurrent is how many requests one entry runs for it at a time.
	MaxConcurrent uint32
	// Version is that of the record which put it.
	Version fold.Version
}

// New returns the empty configuration.
func New() Configuration {
	return Configuration{organisations: map[string]Organisation{}, evacuations: map[string]fold.Version{}}
}

// Version returns the version of the last accepted record.
func (configuration Configuration) Version() fold.Version {
	return configuration.version
}

// Organisation returns the organisation of that name.
func (configuration Configuration) Organisation(name string) (Organisation, bool) {
	organisation, ok := configuration.organisations[name]
	return organisation, ok
}

// Organisations returns all organisations by name.
func (configuration Configuration) Organisations() []Organisation {
	return slices.SortedFunc(maps.Values(configuration.organisations), func(a, b Organisation) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// WithOrganisation returns the configuration after put, if it is accepted.
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

// WithoutOrganisation returns the configuration after remove, if it is
// accepted.
func (configuration Configuration) WithoutOrganisation(
	version fold.Version, remove *wire.RemoveOrganisation,
) (Configuration, fold.Verdict) {
	put := func(organisation Organisation) fold.Version { return organisation.Version }
	organisations, verdict := fold.Remove(configuration.organisations, remove.GetName(), put, remove.GetExpectedVersion(), version)
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

// Encode writes the configuration into state, in a fixed order.
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
