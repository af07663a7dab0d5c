package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Names and values in the configuration of a run.
const (
	serviceEngines = "engines"
	servicePlain   = "plain"
	host           = "soak.example"
	organisation   = "register"

	routeStream = "chat"
	routeLong   = "audit"
	routeOnce   = "bill"
	routeSafe   = "look"
	routeUnsafe = "pay"

	plainSlots   = 6
	plainWork    = 20 * time.Millisecond
	routeTimeout = 6 * time.Second
)

// key is an API key and when it was revoked, or zero.
type key struct {
	value   string
	revoked time.Time
}

// operator writes configurations, evacuations and server entries to the store. It may be used concurrently.
type operator struct {
	store *metastore.Store

	mu      sync.Mutex
	version int
	// addedRoutes are the routes that versions after the first added.
	addedRoutes []string
	keys        []*key
	// records holds the newest value of each key of both topics, nil for a deleted one.
	records map[recordName][]byte
	// corruptions holds the spans in which each server's entry was malformed, by server ID.
	corruptions map[string][]corruption
	// activeEvacuations counts the evacuations in force, and evacuations holds each span in which there was one.
	activeEvacuations int
	evacuations       []evacuation
	// dataCentres holds the data centre of each server that ever had an entry, by server ID.
	dataCentres map[string]string
	// twoDataCentres spreads the servers over two data centres instead of one.
	twoDataCentres bool
	// drainingSince holds when the store acknowledged the draining state of each server, by server ID.
	drainingSince map[string]time.Time
}

// recordName identifies a record in the store.
type recordName struct {
	topic, key string
}

// corruption is a span in which the entry of a server was malformed. A zero end means that it still is.
type corruption struct {
	from, to time.Time
}

// permanentKey is an API key that is never revoked.
const permanentKey = "key-0"

func newOperator(store *metastore.Store) *operator {
	return &operator{
		store: store, drainingSince: make(map[string]time.Time), records: make(map[recordName][]byte),
		corruptions: make(map[string][]corruption), dataCentres: make(map[string]string),
		keys: []*key{{value: permanentKey}, {value: "key-1"}, {value: "key-2"}},
	}
}

// configure calls change, unless it is nil, and writes the next version of the configuration. change is called with the
// lock held.
func (operator *operator) configure(change func()) {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.version++
	if change != nil {
		change()
	}
	var keys []string
	for _, key := range operator.keys {
		if key.revoked.IsZero() {
			keys = append(keys, key.value)
		}
	}
	routes := []any{
		route(routeStream, "stream", serviceEngines, true), route(routeLong, "stream", serviceEngines, true),
		route(routeOnce, "stream", serviceEngines, false), route(routeSafe, "safe", servicePlain, false),
		route(routeUnsafe, "unsafe", servicePlain, false),
	}
	for _, name := range operator.addedRoutes {
		routes = append(routes, route(name, "safe", servicePlain, false))
	}
	model := platformserver.ProductionModel()
	value, err := json.Marshal(map[string]any{
		"version": operator.version, "routes": routes,
		"services": []any{
			withName(servicePlain, nil),
			withName(serviceEngines, map[string]any{"engine": map[string]any{
				"slots": model.Slots, "kv_tokens": model.MemoryTokens, "stride": model.StepsPerPass,
				"step_ms": model.StepTime.Seconds() * 1000, "read_per_s": model.PrefillTokensPerSecond,
				"pairs_per_m": model.TimePerMillionPairs.Seconds() * 1000,
			}}),
		},
		"limits": map[string]any{
			"max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
		},
		"tenants": []any{
			withName(organisation, map[string]any{"api_keys": keys}),
			withName(crowdingOrganisation, map[string]any{"api_keys": []string{crowdingKey}}),
		},
	})
	if err != nil {
		panic(err) // names and numbers always encode
	}
	operator.put("keyed.op", "config", value)
}

// put writes a record to the store and to records; a nil value deletes it. The lock must be held.
func (operator *operator) put(topic, key string, value []byte) {
	operator.records[recordName{topic: topic, key: key}] = value
	operator.store.Put(topic, key, value)
}

// rewriteAll writes every record again, as a store rollback may have lost some.
func (operator *operator) rewriteAll() {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	for name, value := range operator.records {
		operator.store.Put(name.topic, name.key, value)
	}
}

func route(name, kind, service string, resumable bool) map[string]any {
	gap, attempts := 250, 2
	if name == routeLong {
		gap = 1000
	}
	if kind == "unsafe" {
		attempts = 1
	}
	return withName(name, map[string]any{
		"host": host, "path_prefix": "/" + name + "/", "route_kind": kind,
		"timeout_ms": routeTimeout.Milliseconds(), "target_latency_ms": 300, "service": service,
		"max_attempts": attempts, "resumable": resumable, "gap_aim_ms": gap,
	})
}

// withName returns a configuration object with that name and the given members.
func withName(name string, more map[string]any) map[string]any {
	object := map[string]any{"name": name}
	maps.Copy(object, more)
	return object
}

// addRoute writes a configuration version with one more route, named after the version.
func (operator *operator) addRoute() {
	operator.configure(func() {
		operator.addedRoutes = append(operator.addedRoutes, fmt.Sprintf("v%d", operator.version))
	})
}

// revoke revokes the newest key and adds a new one.
func (operator *operator) revoke() {
	operator.configure(func() {
		operator.keys[len(operator.keys)-1].revoked = time.Now()
		operator.keys = append(operator.keys, &key{value: fmt.Sprintf("key-%d", len(operator.keys))})
	})
}

// keyByNumber returns the key at a number modulo the count of keys, revoked ones included.
func (operator *operator) keyByNumber(number int) string {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	return operator.keys[number%len(operator.keys)].value
}

// revokedAt returns when a key was revoked, or zero.
func (operator *operator) revokedAt(value string) time.Time {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	for _, key := range operator.keys {
		if key.value == value {
			return key.revoked
		}
	}
	return time.Time{}
}

// newestRoute returns the route that was added last, or an empty string.
func (operator *operator) newestRoute() string {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	if len(operator.addedRoutes) == 0 {
		return ""
	}
	return operator.addedRoutes[len(operator.addedRoutes)-1]
}

// putServerEntry writes the entry of a server, in the state draining or ready.
func (operator *operator) putServerEntry(identity platformserver.Identity, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	slots := platformserver.ProductionModel().Slots
	if identity.Service == servicePlain {
		slots = plainSlots
	}
	dataCentre := operator.assignDataCentre(identity)
	value, err := json.Marshal(map[string]any{
		"service": identity.Service, "address": identity.Address, "zone": dataCentre, "slots": slots, "state": state,
		"version": "v1", "cold_left_ms": 0, "call_seq": 0, "born": identity.StartedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // names and numbers always encode
	}
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.put("keyed.servers", identity.Instance, value)
	operator.dataCentres[identity.Instance] = dataCentre
	if last := len(operator.corruptions[identity.Instance]) - 1; last >= 0 && operator.corruptions[identity.Instance][last].to.IsZero() {
		operator.corruptions[identity.Instance][last].to = time.Now()
	}
	if draining {
		operator.drainingSince[identity.Instance] = time.Now()
	}
}

// corruptEntry replaces a server's entry by one of several malformed ones, chosen by number.
func (operator *operator) corruptEntry(identity platformserver.Identity, number int) {
	malformed := []string{
		"{", "null", "\x00\xff", `{"service": 7}`, `{"address": "", "state": "ready"}`,
		fmt.Sprintf(`{"service": %q, "address": %q, "zone": %q, "slots": 16, "state": "away"}`, identity.Service, identity.Address, firstDataCentre),
		fmt.Sprintf(`{"service": %q, "address": "here", "zone": %q, "slots": 16, "state": "ready"}`, identity.Service, firstDataCentre),
	}
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.put("keyed.servers", identity.Instance, []byte(malformed[number%len(malformed)]))
	operator.corruptions[identity.Instance] = append(operator.corruptions[identity.Instance], corruption{from: time.Now()})
}

// removeServerEntry deletes the entry of a server from the store.
func (operator *operator) removeServerEntry(identity platformserver.Identity) {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.put("keyed.servers", identity.Instance, nil)
}

// drainStarts returns a copy of drainingSince.
func (operator *operator) drainStarts() map[string]time.Time {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	copied := make(map[string]time.Time, len(operator.drainingSince))
	for instance, at := range operator.drainingSince {
		copied[instance] = at
	}
	return copied
}
