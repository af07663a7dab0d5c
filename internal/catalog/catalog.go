// Package catalog is the operator's configuration as the gateway uses it:
// routes, services, organisations by their keys, and limits. A catalog is
// immutable; a new version is a new catalog.
package catalog

import (
	"crypto/sha256"
	"strings"
)

// Configuration is one version of what the operator set.
type Configuration struct {
	// Version rises with each change, by uneven steps.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalog answers questions about one configuration.
type Catalog struct {
	configuration Configuration
	// byHost has the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	// byKey has the organisations by the hash of each key, so that looking a
	// key up takes no time that depends on other keys.
	byKey map[[sha256.Size]byte]*Organisation
}

// New returns the catalog of a configuration, which it keeps.
func New(configuration Configuration) *Catalog {
	catalog := &Catalog{
		configuration: configuration,
		byHost:        make(map[string][]*Route),
		services:      make(map[string]*Service, len(configuration.Services)),
		byKey:         make(map[[sha256.Size]byte]*Organisation),
	}
	for i := range configuration.Services {
		service := &catalog.configuration.Services[i]
		service.ShortestGap = shortestGap(configuration.Routes, service.Name)
		catalog.services[service.Name] = service
	}
	for i := range configuration.Organisations {
		organisation := &catalog.configuration.Organisations[i]
		for _, key := range organisation.Keys {
			catalog.byKey[sha256.Sum256([]byte(key))] = organisation
		}
	}
	for i := range configuration.Routes {
		route := &catalog.configuration.Routes[i]
		host := normalHost(route.Host)
		catalog.byHost[host] = append(catalog.byHost[host], route)
	}
	for _, routes := range catalog.byHost {
		sortByPrefix(routes)
	}
	return catalog
}

// Version returns the version of the configuration.
func (catalog *Catalog) Version() int64 {
	return catalog.configuration.Version
}

// Limits returns what bounds clients.
func (catalog *Catalog) Limits() Limits {
	return catalog.configuration.Limits
}

// Route returns the route of the host with the longest prefix of path.
func (catalog *Catalog) Route(host, path string) (*Route, bool) {
	for _, route := range catalog.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Routes returns all routes.
func (catalog *Catalog) Routes() []Route {
	return catalog.configuration.Routes
}

// Service returns the service of that name.
func (catalog *Catalog) Service(name string) (*Service, bool) {
	service, ok := catalog.services[name]
	return service, ok
}

// Services returns all services.
func (catalog *Catalog) Services() []Service {
	return catalog.configuration.Services
}

// Organisation returns the organisation that holds key.
func (catalog *Catalog) Organisation(key string) (*Organisation, bool) {
	organisation, ok := catalog.byKey[sha256.Sum256([]byte(key))]
	return organisation, ok
}

// HasOrganisations reports whether requests need a key.
func (catalog *Catalog) HasOrganisations() bool {
	return len(catalog.configuration.Organisations) > 0
}

// normalHost is the host without its port, in lower case.
func normalHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
