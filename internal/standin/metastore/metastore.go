// Package metastore stands in for the users' platform's store: keyed topics
// with a log each, spoken over its published protocol, with its faults.
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

// Fault is how the store misbehaves.
type Fault string

// Faults.
const (
	FaultNone Fault = ""
	// FaultBusy answers 503 and does nothing.
	FaultBusy Fault = "busy"
	// FaultSilent takes calls and says nothing.
	FaultSilent Fault = "silent"
	// FaultReset closes connections without an answer.
	FaultReset Fault = "reset"
	// FaultLost does what is asked and closes without an answer.
	FaultLost Fault = "lost"
)

// Sizes of the raw form.
const (
	lengthBytes = 4
	// pageItems is the most items of a page of newest records.
	pageItems = 500
	// maxCallBytes bounds the body of a call.
	maxCallBytes = 2 << 20
)

// record is one record of a keyed topic.
type record struct {
	key string
	// value is empty when the key was dropped.
	value []byte
}

// topic is the only partition of a topic.
type topic struct {
	// first is the offset of the oldest record kept.
	first   int64
	records []record
	newest  map[string]int64
	values  map[string][]byte
}

func (topic *topic) end() int64 {
	return topic.first + int64(len(topic.records))
}

// Store is a stand-in for the platform's store.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// era is how often it came back older than it was.
	era   int64
	fault Fault
	calls int
	// changed is closed, and replaced, when a record was added.
	changed chan struct{}
	// healed is closed when a silent store speaks again.
	healed chan struct{}
}

var _ http.Handler = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[string]*topic), changed: make(chan struct{}), healed: make(chan struct{})}
}

// SetFault makes the store misbehave from now on.
func (store *Store) SetFault(fault Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
	close(store.healed)
	store.healed = make(chan struct{})
}

// Calls returns how many calls came.
func (store *Store) Calls() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}

// Put adds a record; an empty value drops the key.
func (store *Store) Put(name, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.put(name, record{key: key, value: value})
}

// Trim forgets the history of a topic. The newest records stay.
func (store *Store) Trim(name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	topic.first = topic.end()
	topic.records = nil
}

// Keys returns the keys of a topic in order.
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
	// The body is read first, since net/http does not notice a caller that
	// leaves before.
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxCallBytes))
	if err != nil {
		return
	}
	store.mu.Lock()
	store.calls++
	fault, healed := store.fault, store.healed
	store.mu.Unlock()
	writer = &dated{ResponseWriter: writer, store: store}
	switch fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		select {
		case <-healed:
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
	since := request.URL.Query().Get("since_rev")
	store.mu.Lock()
	topic := store.topic(request.URL.Query().Get("topic"))
	page.End = topic.end()
	for _, key := range topic.keys() {
		if key <= since {
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
	if fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, map[string]int64{"offset": offset, "end": end})
}

func writeRecords(writer http.ResponseWriter, end, first int64, records []record) {
	raw := binary.BigEndian.AppendUint64(nil, uint64(end))  //nolint:gosec // an offset
	raw = binary.BigEndian.AppendUint64(raw, uint64(first)) //nolint:gosec // an offset
	for _, record := range records {
		length := 1 + len(record.key) + len(record.value)
		raw = binary.BigEndian.AppendUint32(raw, uint32(length)) //nolint:gosec // bounded by maxCallBytes
		raw = append(raw, byte(len(record.key)))                 //nolint:gosec // keys are short
		raw = append(raw, record.key...)
		raw = append(raw, record.value...)
	}
	_, _ = writer.Write(raw) // a caller that is gone needs no answer
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // as above
}
