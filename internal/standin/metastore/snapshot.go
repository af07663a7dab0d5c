package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEpoch is the response header with the store's epoch, the number of its rollbacks so far.
const headerEpoch = "Store-Era"

// Snapshot is a copy of the store's contents at one point in time.
type Snapshot struct {
	topics map[string]*topic
}

// Snapshot returns a copy of the store's current contents.
func (store *Store) Snapshot() Snapshot {
	store.mu.Lock()
	defer store.mu.Unlock()
	return Snapshot{topics: cloneTopics(store.topics)}
}

// Restore rolls the store back to a snapshot: later writes are lost, their offsets are assigned again, and the epoch
// is incremented.
func (store *Store) Restore(snapshot Snapshot) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topics = cloneTopics(snapshot.topics)
	store.epoch++
	close(store.changed)
	store.changed = make(chan struct{})
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	cloned := make(map[string]*topic, len(topics))
	for name, original := range topics {
		cloned[name] = &topic{
			first: original.first, records: slices.Clone(original.records),
			newest: maps.Clone(original.newest), values: maps.Clone(original.values),
		}
	}
	return cloned
}

// epochWriter adds the store's epoch to the response header, as of the time when the response is written.
type epochWriter struct {
	http.ResponseWriter

	store   *Store
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (epochWriter *epochWriter) WriteHeader(status int) {
	epochWriter.setEpoch()
	epochWriter.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (epochWriter *epochWriter) Write(data []byte) (int, error) {
	epochWriter.setEpoch()
	return epochWriter.ResponseWriter.Write(data) //nolint:wrapcheck // the writer's own errors
}

func (epochWriter *epochWriter) setEpoch() {
	if epochWriter.written {
		return
	}
	epochWriter.written = true
	epochWriter.store.mu.Lock()
	defer epochWriter.store.mu.Unlock()
	epochWriter.Header().Set(headerEpoch, strconv.FormatInt(epochWriter.store.epoch, 10))
}
