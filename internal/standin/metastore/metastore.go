// Package metastore simulates the platform's metadata store for tests: an HTTP
// server of keyed topics with a log each that implements the store's published
// protocol, with switchable faults.
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is a failure mode of the store.
type Fault string

// Failure modes of the store; FaultNone is normal operation.
const (
	FaultNone Fault = ""
	// FaultBusy responds 503 without executing the call.
	FaultBusy Fault = "busy"
	// FaultNoResponse accepts calls and doesn't respond until the fault changes,
	// then closes the connection.
	FaultNoResponse Fault = "silent"
	// FaultReset closes the connection without executing the call.
	FaultReset Fault = "reset"
	// FaultLostResponse executes appends but closes the connection without a
	// response. Reads succeed.
	FaultLostResponse Fault = "lost"
)

// Limits of the store, and sizes of its binary encoding of records.
const (
	lengthBytes = 4
	// pageItems is the maximum number of items in a page of newest records.
	pageItems = 500
	// maxCallBytes is the maximum size of a call's body.
	maxCallBytes = 2 << 20
)

// record is one record of a keyed topic.
type record struct {
	key string
	// value is empty if the record deletes the key.
	value []byte
}

// topic is a topic's log, which has a single partition, and its latest records by key.
type topic struct {
	// first is the offset of the oldest retained record.
	first   int64
	records []record
	// newest has the offset of the latest record of each key, and values the
	// value of each key that isn't deleted.
	newest map[string]int64
	values map[string][]byte
}

func (topic *topic) end() int64 {
	return topic.first + int64(len(topic.records))
}

// Store is a simulated platform store. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// epoch is the store's epoch, that is, the number of rollbacks so far.
	epoch int64
	fault Fault
	calls int
	// changed is closed and replaced when a record is added or the store is
	// rolled back.
	changed chan struct{}
	// faultChanged is closed and replaced when the fault is set.
	faultChanged chan struct{}
}

var _ http.Handler = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[string]*topic), changed: make(chan struct{}), faultChanged: make(chan struct{})}
}

// SetFault replaces the failure mode for subsequent calls.
func (store *Store) SetFault(fault Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
	close(store.faultChanged)
	store.faultChanged = make(chan struct{})
}

// Calls returns the number of HTTP calls received, including failed ones.
func (store *Store) Calls() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}

// Put appends a record to the named topic. An empty value deletes the key.
func (store *Store) Put(name, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.put(name, record{key: key, value: value})
}

// Trim removes all records from a topic's log. The latest value of each key is kept.
func (store *Store) Trim(name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	topic.first = topic.end()
	topic.records = nil
}

// Keys returns the keys of the named topic in ascending order, without deleted ones.
func (store *Store) Keys(name string) []string {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.topic(name).keys()
}

func (topic *topic) keys() []string {
	keys := make([]string, 0, len(topic.values))
	for key := range topic.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (store *Store) topic(name string) *topic {
	found := store.topics[name]
	if found == nil {
		found = &topic{newest: make(map[string]int64), values: make(map[string][]byte)}
		store.topics[name] = found
	}
	return found
}

func (store *Store) put(name string, added record) {
	topic := store.topic(name)
	topic.newest[added.key] = topic.end()
	topic.records = append(topic.records, added)
	topic.values[added.key] = added.value
	if len(added.value) == 0 {
		delete(topic.values, added.key)
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	// The body is read first because net/http doesn't detect that the client
	// has disconnected before the body is read.
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxCallBytes))
	if err != nil {
		return
	}
	store.mu.Lock()
	store.calls++
	fault, faultChanged := store.fault, store.faultChanged
	store.mu.Unlock()
	writer = &epochWriter{ResponseWriter: writer, store: store}
	switch fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		select {
		case <-faultChanged:
		case <-request.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	switch request.Method + " " + request.URL.Path {
	case "GET /log-newest":
		store.serveNewest(writer, request)
	case "GET /log-read":
		store.serveRead(writer, request)
	case "POST /log-append":
		store.serveAppend(writer, request, body, fault)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *Store) serveNewest(writer http.ResponseWriter, request *http.Request) {
	type item struct {
		Key    string `json:"key_file"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items     []item `json:"items"`
		MorePages bool   `json:"more_pages"`
		End       int64  `json:"end"`
	}{Items: []item{}}
	lastKey := request.URL.Query().Get("since_rev")
	store.mu.Lock()
	topic := store.topic(request.URL.Query().Get("topic"))
	page.End = topic.end()
	for _, key := range topic.keys() {
		if key <= lastKey {
			continue
		}
		if len(page.Items) == pageItems {
			page.MorePages = true
			break
		}
		value := base64.StdEncoding.EncodeToString(topic.values[key])
		page.Items = append(page.Items, item{Key: key, Value: value, Offset: topic.newest[key]})
	}
	store.mu.Unlock()
	writeJSON(writer, http.StatusOK, page)
}

func (store *Store) serveRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms")) // absent means no wait
	timeout := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timeout.Stop()
	for {
		store.mu.Lock()
		topic, changed := store.topic(query.Get("topic")), store.changed
		first, end := topic.first, topic.end()
		var found []record
		if from >= first && from <= end {
			found = slices.Clone(topic.records[from-first:])
		}
		store.mu.Unlock()
		if from < first || from > end {
			writeJSON(writer, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if len(found) > 0 || milliseconds <= 0 {
			writeRecords(writer, end, first, found)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			milliseconds = 0
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) serveAppend(writer http.ResponseWriter, request *http.Request, body []byte, fault Fault) {
	name := request.URL.Query().Get("topic")
	store.mu.Lock()
	offset := store.topic(name).end()
	for len(body) > lengthBytes {
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if length > len(body) || 1+int(body[0]) > length {
			break
		}
		keyEnd := 1 + int(body[0])
		store.put(name, record{key: string(body[1:keyEnd]), value: body[keyEnd:length]})
		body = body[length:]
	}
	end := store.topic(name).end()
	store.mu.Unlock()
	if fault == FaultLostResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, map[string]int64{"offset": offset, "end": end})
}

func writeRecords(writer http.ResponseWriter, end, first int64, records []record) {
	raw := binary.BigEndian.AppendUint64(nil, uint64(end))  //nolint:gosec // offsets aren't negative
	raw = binary.BigEndian.AppendUint64(raw, uint64(first)) //nolint:gosec // offsets aren't negative
	for _, record := range records {
		length := 1 + len(record.key) + len(record.value)
		raw = binary.BigEndian.AppendUint32(raw, uint32(length)) //nolint:gosec // bounded by maxCallBytes
		raw = append(raw, byte(len(record.key)))                 //nolint:gosec // keys are short
		raw = append(raw, record.key...)
		raw = append(raw, record.value...)
	}
	_, _ = writer.Write(raw) // fails only if the client has disconnected
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // fails only if the client has disconnected
}
