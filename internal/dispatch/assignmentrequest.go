package dispatch

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// AssignmentRequest is sent by a VM to the coordinator to get backend servers assigned to one
// caller's request. TimeToObjective and TimeToCallerDeadline count from the moment of sending, so
// that the clocks of VMs need not agree.
type AssignmentRequest struct {
	// ID is unique to the VM.
	ID      uint64
	Service string
	// Tokens is the length of the prompt. Memory is the KV memory, in tokens, that the prompt and
	// its answer take together.
	Tokens int
	Memory int
	// InterTokenObjective is the longest pause between events of the answer that meets the
	// objective.
	InterTokenObjective time.Duration
	// Objective is the time within which the first event is due, from the arrival of the request.
	Objective time.Duration
	// TimeToObjective is the time left until the first event is due. It is negative when the
	// objective has been missed.
	TimeToObjective time.Duration
	// TimeToCallerDeadline is how long the caller still waits for the request.
	TimeToCallerDeadline time.Duration
	DataCentre           string
	// Tried lists the IDs of the servers that failed the request.
	Tried []string
	// AllowedDataCentres restricts the assignment to servers in these data centres. Empty means
	// any.
	AllowedDataCentres []string
	// Cancelled reports that the request no longer needs servers. All fields but ID are unset then.
	Cancelled bool
	// Retry reports that the request may have reached servers before, so that sending it to others
	// takes a retry from the retry budget.
	Retry bool
	// Organisation is the one whose request it is.
	Organisation fairshare.Organisation
	// Priority is the priority of the request among those to the same service. Zero is the most
	// urgent; VMs whose version doesn't state it send zero.
	Priority int
	// Counted reports that an earlier message for the same request was sent, so that the request
	// must not earn a retry a second time.
	Counted bool
	// Contained has the fingerprints of the request and parts of its prompt under which servers were lost,
	// of which only one request may be in flight at a time.
	Contained []fingerprint.Fingerprint
}

// Decision is the outcome of an AssignmentRequest.
type Decision int

// Decisions of the coordinator.
const (
	// DecisionQueued means that the request waits for servers.
	DecisionQueued Decision = iota
	// DecisionAssigned means that servers are assigned to the request.
	DecisionAssigned
	// DecisionUnknownService means that the coordinator has no such service in its configuration.
	DecisionUnknownService
	// DecisionRefused means that the request gets no servers: none are expected to be free for it in
	// time, the operator has evacuated all of them, the retry budget does not allow another
	// attempt, or its organisation has used up its share of the servers.
	DecisionRefused
)

// AssignmentResponse is the coordinator's response to an AssignmentRequest.
type AssignmentResponse struct {
	// ID is the ID of the AssignmentRequest.
	ID       uint64
	Decision Decision
	// Servers lists the IDs of the assigned servers. The first one decodes the answer.
	Servers []string
	// PrefillPerServer is the prefill time of each server.
	PrefillPerServer time.Duration
	// MemoryShares is the KV memory to reserve at each server, in tokens, in the order of Servers.
	// It is nil when the first server's own memory is enough.
	MemoryShares []int
	// PredictedTTFT is the predicted time to first token, from now.
	PredictedTTFT time.Duration
	Packable      bool
	// RateLimited reports that the first server advertised a request rate limit. The VM must report
	// a response of that server that advertises none.
	RateLimited bool
	Reason      string
	// RetryAfter is the delay after which the caller of a refused request may retry, or zero when
	// it is unknown.
	RetryAfter time.Duration
	// ShareRatio is set for a request that is refused since its organisation uses more than its share
	// of the servers: the use as a multiple of the share.
	ShareRatio float64
}

// Final reports whether the coordinator sends no further response for the request.
func (response AssignmentResponse) Final() bool {
	return response.Decision == DecisionAssigned || response.Decision == DecisionRefused
}

// Response returns the response that carries the assignment to its VM.
func (assignment Assignment) Response() AssignmentResponse {
	plan := assignment.Plan
	return AssignmentResponse{
		ID: assignment.ID, Decision: DecisionAssigned, Servers: plan.IDs(), PrefillPerServer: plan.PrefillPerServer, MemoryShares: plan.MemoryShares,
		PredictedTTFT: plan.PredictedTTFT, Packable: plan.Packable, RateLimited: plan.Server.RateLimited, Reason: string(plan.Reason),
	}
}
