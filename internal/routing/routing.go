// Package routing decides which backend servers process a request. A policy decides
// by an immutable snapshot, the request and a source of random numbers. It does no
// I/O and reads no clock.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Server is the state of one backend server as observed by an entry process.
type Server struct {
	ID         string
	Address    string
	DataCentre string
	Models     []string
	// Memory is the size of an engine's KV cache, in tokens.
	Memory int
	// Free is the KV cache that is neither used nor reserved, in tokens, as last
	// reported, less the memory of requests sent since. It may be negative.
	Free int
	// QueuedShort is the number of prompt tokens of short requests that are not yet
	// prefilled: exact for requests of this entry process, and as reported by the server
	// for those of others.
	QueuedShort int
	// QueuedLong is the same for long requests.
	QueuedLong int
	// LongRank is the rank of an engine, from 0, in the order in which engines are
	// assigned to long prompts. It is the same at every entry process.
	LongRank int
	// PrefillRate is the number of prompt tokens that the server prefills per second, as
	// measured from the time to the first token of its responses, with the tokens queued
	// before included. Zero means that it has not been measured.
	PrefillRate float64
	// Outstanding is the number of this entry process's requests in flight to the server.
	Outstanding int
	// Draining is set when the server is draining, and so must not receive new requests.
	Draining bool
	// Ejected is set while the server is avoided because of consecutive failures.
	Ejected bool
}

// Snapshot is the state of the backend servers of one kind at one time. It must not
// be modified.
type Snapshot struct {
	// Servers is sorted by ID.
	Servers []Server
	// LongBacklog is the sum of QueuedLong over all servers.
	LongBacklog int
}

// NewSnapshot returns a snapshot of servers, which must be sorted by ID.
func NewSnapshot(servers []Server) Snapshot {
	snapshot := Snapshot{Servers: servers}
	for i := range servers {
		snapshot.LongBacklog += servers[i].QueuedLong
	}
	return snapshot
}

// Request has the properties of a request that routing depends on.
type Request struct {
	Model string
	// Tokens is the length of the prompt and of the output generated so far, in tokens.
	Tokens int
	// MaxTokens is the maximum number of further tokens to generate.
	MaxTokens int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Tried has the IDs of the servers that already failed this request.
	Tried []string
}

// RequiredMemory returns the KV cache that the whole request needs, in tokens.
func (request Request) RequiredMemory() int {
	return request.Tokens + request.MaxTokens
}

// mayUse reports whether the request may be sent to the server, regardless of
// load, memory and ejection.
func (request *Request) mayUse(server *Server) bool {
	return !server.Draining &&
		slices.Contains(server.Models, request.Model) &&
		!slices.Contains(request.Tried, server.ID)
}

// Refusal is the reason why no server was chosen.
type Refusal string

// Reasons for refusal.
const (
	RefusalNone     Refusal = ""
	RefusalNoServer Refusal = "no server"
	RefusalTooLong  Refusal = "prompt too long"
	RefusalDeadline Refusal = "stated time cannot be met"
)

// Decision has the servers that are to process a request, or the reason why none is.
type Decision struct {
	// Servers has one server, or the engines of a group sorted by ID. It is empty if and
	// only if Refusal is set.
	Servers []Server
	Refusal Refusal
	// Reason explains the decision, for log lines.
	Reason string
	// Long is set if the request is handled as a long prompt.
	Long bool
}

// Policy chooses the servers for a request from a snapshot. It must be safe for
// concurrent use.
type Policy interface {
	Decide(snapshot Snapshot, request Request, random *rand.Rand) Decision
}

// eligibleServers returns the servers to which the request may be sent. It returns
// ejected servers only if there are no others.
func eligibleServers(snapshot Snapshot, request *Request) []Server {
	var healthy, ejected []Server
	for i := range snapshot.Servers {
		server := &snapshot.Servers[i]
		switch {
		case !request.mayUse(server):
		case server.Ejected:
			ejected = append(ejected, *server)
		default:
			healthy = append(healthy, *server)
		}
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// refuse returns a decision without servers.
func refuse(refusal Refusal, reason string) Decision {
	return Decision{Refusal: refusal, Reason: reason}
}

// choose returns a decision for one server.
func choose(server Server, reason string) Decision {
	return Decision{Servers: []Server{server}, Reason: reason}
}
