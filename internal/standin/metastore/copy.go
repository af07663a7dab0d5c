package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEra tells in each answer how often the store came back older than it was.
const headerEra = "Store-Era"

// Copy is what a store had at one moment.
type Copy struct {
	topics map[string]*topic
}

// Copy returns what the store has now.
func (store *Store) Copy() Copy {
	store.mu.Lock()
	defer store.mu.Unlock()
	return Copy{topics: cloneTopics(store.topics)}
}

// Return lets the store come back from a copy: what was written since is gone, offsets are given out again, and the
// era rises.
func (store *Store) Return(older Copy) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topics = cloneTopics(older.topics)
	store.era++
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

// dated adds the era in which an answer is given to its head.
type dated struct {
	http.ResponseWriter

	store   *Store
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (dated *dated) WriteHeader(status int) {
	dated.date()
	dated.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (dated *dated) Write(data []byte) (int, error) {
	dated.date()
	return dated.ResponseWriter.Write(data) //nolint:wrapcheck // the writer's own errors
}

func (dated *dated) date() {
	if dated.written {
		return
	}
	dated.written = true
	dated.store.mu.Lock()
	defer dated.store.mu.Unlock()
	dated.Header().Set(headerEra, strconv.FormatInt(dated.store.era, 10))
}
