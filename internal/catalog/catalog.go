// Package catalog indexes the operator's configuration for the gateway: routes, services,
// organisations by key, and caller limits. A catalog is immutable: each version of the
// configuration has its own.
package catalog

import (
	"crypto/sha256"
	"strings"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	// Version increases with each change, not necessarily by one.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalog indexes one configuration. It is immutable and safe for concurrent use.
type Catalog struct {
	configuration Configuration
	// byHost has the routes by normalised host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	// byKey has the organisations by the hash of each key, so that the duration of a lookup reveals
	// nothing about other keys.
	byKey map[[sha256.Size]byte]*Organisation
}

// New returns the catalog of a configuration. It keeps the configuration's slices, and sets the
// fields of services that are derived from routes.
func New(configuration Configuration) *Catalog {
	catalog := &Catalog{
		configuration: configuration,
		byHost:        make(map[string][]*Route),
		services:      make(map[string]*Service, len(configuration.Services)),
		byKey:         make(map[[sha256.Size]byte]*Organisation),
	}
	for i := range configuration.Services {
		service := &catalog.configuration.Services[i]
		service.ShortestInterTokenObjective = shortestInterTokenObjective(configuration.Routes, service.Name)
		service.FirstPriority, service.LastPriority = priorities(configuration.Routes, service.Name)
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
		host := normaliseHost(route.Host)
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

// Limits returns the limits on caller connections and requests.
func (catalog *Catalog) Limits() Limits {
	return catalog.configuration.Limits
}

// Route returns the route of a host with the longest prefix that matches the path, and false if
// none matches.
func (catalog *Catalog) Route(host, path string) (*Route, bool) {
	for _, route := range catalog.byHost[normaliseHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Routes returns all routes. The caller must not modify them.
func (catalog *Catalog) Routes() []Route {
	return catalog.configuration.Routes
}

// Service returns the service of that name, and false if there is none.
func (catalog *Catalog) Service(name string) (*Service, bool) {
	service, ok := catalog.services[name]
	return service, ok
}

// Services returns all services. The caller must not modify them.
func (catalog *Catalog) Services() []Service {
	return catalog.configuration.Services
}

// Organisation returns the organisation that the key belongs to, and false for an unknown key.
func (catalog *Catalog) Organisation(key string) (*Organisation, bool) {
	organisation, ok := catalog.byKey[sha256.Sum256([]byte(key))]
	return organisation, ok
}

// Organisations returns all organisations. The caller must not modify them.
func (catalog *Catalog) Organisations() []Organisation {
	return catalog.configuration.Organisations
}

// HasOrganisations reports whether any organisation is configured, so that requests need a key
// unless their route allows anonymous ones.
func (catalog *Catalog) HasOrganisations() bool {
	return len(catalog.configuration.Organisations) > 0
}

// normaliseHost returns the host without its port, in lower case.
func normaliseHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
