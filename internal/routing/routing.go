// Package routing decides which backend servers get a request. A policy is a
// pure function of an immutable snapshot, the request and a random number: it
// does no I/O and reads no clock.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Server is what is known of one backend server.
type Server struct {
	ID         string
	Address    string
	DataCentre string
	Models     []string
	// Memory is the KV memory of an engine, in tokens.
	Memory int
	// Free is the KV memory that is neither used nor promised, in tokens, as
	// reported, less what was sent there since. It may be negative.
	Free int
	// QueuedShort is the prompt tokens of short requests not yet computed:
	// exact for this entry's, and as reported for others'.
	QueuedShort int
	// QueuedLong is the same for long requests.
	QueuedLong int
	// LongRank is the place of an engine in the order in which engines are
	// given to long prompts, the same at every entry.
	LongRank int
	// PrefillRate is the prompt tokens that the server computes in a second as
	// seen from its answers, what was queued there before counted in. Zero
	// means that it is not known.
	PrefillRate float64
	// Outstanding is how many requests of this entry run there.
	Outstanding int
	// Leaving says that nothing new may go there.
	Leaving bool
	// Ejected says that recent answers were errors.
	Ejected bool
}

// Snapshot is the backend servers of one kind at one moment. It is not
// changed once made.
type Snapshot struct {
	// Servers is ordered by ID.
	Servers []Server
	// LongBacklog is the sum of QueuedLong over all servers.
	LongBacklog int
}

// NewSnapshot returns a snapshot of servers, which are ordered by ID.
func NewSnapshot(servers []Server) Snapshot {
	snapshot := Snapshot{Servers: servers}
	for i := range servers {
		snapshot.LongBacklog += servers[i].QueuedLong
	}
	return snapshot
}

// Request is what a decision needs to know of a request.
type Request struct {
	Model string
	// Tokens is the length of the prompt with what is already generated.
	Tokens int
	// MaxTokens is how many more tokens may be generated.
	MaxTokens int
	// TimeLeft is what is left of the stated time.
	TimeLeft time.Duration
	// Tried has servers that already failed this request.
	Tried []string
}

// Need is the KV memory for the whole request, in tokens.
func (request Request) Need() int {
	return request.Tokens + request.MaxTokens
}

// mayUse reports whether the request may go to the server at all.
func (request *Request) mayUse(server *Server) bool {
	return !server.Leaving &&
		slices.Contains(server.Models, request.Model) &&
		!slices.Contains(request.Tried, server.ID)
}

// Refusal says why no server was chosen.
type Refusal string

// Refusals.
const (
	RefusalNone     Refusal = ""
	RefusalNoServer Refusal = "no server"
	RefusalTooLong  Refusal = "prompt too long"
	RefusalNoTime   Refusal = "stated time cannot be met"
)

// Decision is the servers that get a request, or why none does.
type Decision struct {
	// Servers has one server, or the engines of a group by ID. It is empty
	// exactly when Refusal is set.
	Servers []Server
	Refusal Refusal
	// Reason explains the choice in the log.
	Reason string
	// Long says that the request counts as a long one.
	Long bool
}

// Policy chooses among the servers of a snapshot.
type Policy interface {
	Decide(snapshot Snapshot, request Request, random *rand.Rand) Decision
}

// usable returns the servers that may get the request at all. Ejected ones
// count only when there are no others.
func usable(snapshot Snapshot, request *Request) []Server {
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

func refuse(refusal Refusal, reason string) Decision {
	return Decision{Refusal: refusal, Reason: reason}
}

func choose(server Server, reason string) Decision {
	return Decision{Servers: []Server{server}, Reason: reason}
}
