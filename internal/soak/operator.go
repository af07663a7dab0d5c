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

// Names of a run's configuration.
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

	plainSlots = 6
	plainWork  = 20 * time.Millisecond
	timeout    = 6 * time.Second
)

// key is an API key, and when it was taken away.
type key struct {
	value   string
	revoked time.Time
}

// operator writes configurations and the entries of servers to the store.
type operator struct {
	store *metastore.Store

	mu      sync.Mutex
	version int
	// extra has the routes that later versions added.
	extra []string
	keys  []*key
	// written has the newest value of each key of both topics, empty for one that was dropped.
	written map[written][]byte
	// spoilt has when the entry of each server was, by the server.
	spoilt map[string][]spoilt
	// evacuating counts the wishes in force, and evacuated has each time in which there were some.
	evacuating int
	evacuated  []evacuated
	// centres has the data centre of each server that was listed.
	centres map[string]string
	// twoCentres says that servers are in two of them.
	twoCentres bool
	// left has when the leaving of each server was acknowledged.
	left map[string]time.Time
}

// written names a record.
type written struct {
	topic, key string
}

// spoilt is when the entry of a server was another writer's; it has no end while it still is.
type spoilt struct {
	from, to time.Time
}

// permanentKey is never taken away.
const permanentKey = "key-0"

func newOperator(store *metastore.Store) *operator {
	return &operator{
		store: store, left: make(map[string]time.Time), written: make(map[written][]byte),
		spoilt: make(map[string][]spoilt), centres: make(map[string]string),
		keys: []*key{{value: permanentKey}, {value: "key-1"}, {value: "key-2"}},
	}
}

// configure writes the next version, after change.
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
	for _, name := range operator.extra {
		routes = append(routes, route(name, "safe", servicePlain, false))
	}
	model := platformserver.ProductionModel()
	value, err := json.Marshal(map[string]any{
		"version": operator.version, "routes": routes,
		"services": []any{
			named(servicePlain, nil),
			named(serviceEngines, map[string]any{"engine": map[string]any{
				"slots": model.Slots, "kv_tokens": model.MemoryTokens, "stride": model.StepsPerPass,
				"step_ms": model.StepTime.Seconds() * 1000, "read_per_s": model.PrefillTokensPerSecond,
				"pairs_per_m": model.TimePerMillionPairs.Seconds() * 1000,
			}}),
		},
		"limits": map[string]any{
			"max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
		},
		"tenants": []any{named(organisation, map[string]any{"api_keys": keys})},
	})
	if err != nil {
		panic(err) // names and numbers only
	}
	operator.put("keyed.op", "config", value)
}

// put writes a record, and remembers it. The lock is held.
func (operator *operator) put(topic, key string, value []byte) {
	operator.written[written{topic: topic, key: key}] = value
	operator.store.Put(topic, key, value)
}

// rewrite writes all again that a store which came back older may have lost.
func (operator *operator) rewrite() {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	for name, value := range operator.written {
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
	return named(name, map[string]any{
		"host": host, "path_prefix": "/" + name + "/", "route_kind": kind,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300, "service": service,
		"max_attempts": attempts, "resumable": resumable, "gap_aim_ms": gap,
	})
}

// named returns an object of the configuration with its name.
func named(name string, more map[string]any) map[string]any {
	object := map[string]any{"name": name}
	maps.Copy(object, more)
	return object
}

// addRoute writes a version with one more route, named after the version.
func (operator *operator) addRoute() {
	operator.configure(func() {
		operator.extra = append(operator.extra, fmt.Sprintf("v%d", operator.version))
	})
}

// revoke takes a key away, and puts a new one in its place.
func (operator *operator) revoke() {
	operator.configure(func() {
		operator.keys[len(operator.keys)-1].revoked = time.Now()
		operator.keys = append(operator.keys, &key{value: fmt.Sprintf("key-%d", len(operator.keys))})
	})
}

// someKey returns one of the keys by a number, revoked ones among them.
func (operator *operator) someKey(number int) string {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	return operator.keys[number%len(operator.keys)].value
}

// revokedAt returns when a key was taken away, or zero.
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

// newestRoute returns the route that the newest version with one added, or none.
func (operator *operator) newestRoute() string {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	if len(operator.extra) == 0 {
		return ""
	}
	return operator.extra[len(operator.extra)-1]
}

// list puts the entry of a server into the store.
func (operator *operator) list(identity platformserver.Identity, leaving bool) {
	state := "ready"
	if leaving {
		state = "draining"
	}
	slots := platformserver.ProductionModel().Slots
	if identity.Service == servicePlain {
		slots = plainSlots
	}
	dataCentre := operator.centre(identity)
	value, err := json.Marshal(map[string]any{
		"service": identity.Service, "address": identity.Address, "zone": dataCentre, "slots": slots, "state": state,
		"version": "v1", "cold_left_ms": 0, "call_seq": 0, "born": identity.StartedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // names and numbers only
	}
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.put("keyed.servers", identity.Instance, value)
	operator.centres[identity.Instance] = dataCentre
	if last := len(operator.spoilt[identity.Instance]) - 1; last >= 0 && operator.spoilt[identity.Instance][last].to.IsZero() {
		operator.spoilt[identity.Instance][last].to = time.Now()
	}
	if leaving {
		operator.left[identity.Instance] = time.Now()
	}
}

// spoil puts one of several bad entries in the place of a server's.
func (operator *operator) spoil(identity platformserver.Identity, number int) {
	bad := []string{
		"{", "null", "\x00\xff", `{"service": 7}`, `{"address": "", "state": "ready"}`,
		fmt.Sprintf(`{"service": %q, "address": %q, "zone": %q, "slots": 16, "state": "away"}`, identity.Service, identity.Address, firstCentre),
		fmt.Sprintf(`{"service": %q, "address": "here", "zone": %q, "slots": 16, "state": "ready"}`, identity.Service, firstCentre),
	}
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.put("keyed.servers", identity.Instance, []byte(bad[number%len(bad)]))
	operator.spoilt[identity.Instance] = append(operator.spoilt[identity.Instance], spoilt{from: time.Now()})
}

// drop takes the entry of a server out of the store.
func (operator *operator) drop(identity platformserver.Identity) {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	operator.put("keyed.servers", identity.Instance, nil)
}

// leavings returns when the leaving of each server was acknowledged.
func (operator *operator) leavings() map[string]time.Time {
	operator.mu.Lock()
	defer operator.mu.Unlock()
	copied := make(map[string]time.Time, len(operator.left))
	for instance, at := range operator.left {
		copied[instance] = at
	}
	return copied
}
