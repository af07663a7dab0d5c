package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Phase is the progress of a request at one server, as far as it is reported.
type Phase int

// Values of Phase.
const (
	// PhaseUnknown is a phase that this VM's version doesn't support. Such reports are ignored.
	PhaseUnknown Phase = iota
	// PhasePrefill is from sending until the first event.
	PhasePrefill
	// PhaseDecode is from the first event on.
	PhaseDecode
	// PhaseEnded is when the request is no longer at the server.
	PhaseEnded
)

// Report is the state of one attempt, or the health of one server, as VMs send it to each other.
type Report struct {
	// ID identifies the attempt. It is unique within the VM that sent the request.
	ID uint64
	// Server is the server's ID.
	Server string
	Phase  Phase
	// PrefillTime is the estimated time of the prefill at this server.
	PrefillTime time.Duration
	// Memory is the KV memory that the request uses there, in tokens. With HealthUnreportedMemory
	// it is the memory in use that no VM has reported.
	Memory int
	// InterTokenObjective is the longest time between two events that meets the objective, or zero
	// for none.
	InterTokenObjective time.Duration
	// Packable is set for a short request, see placement.Request.Packable.
	Packable bool
	// PrefillOnly is set where the server only prefills a part of the prompt for another server.
	PrefillOnly bool
	// Age is the time since the request was sent or, with HealthConnectionLost and
	// HealthLostThroughVM, since the connection was lost: zero in the first report of it. HealthRateLimited and HealthNoRateLimit
	// define it for themselves.
	Age time.Duration
	// Pace is the time between the last two events divided by the expected time, or zero before the
	// second event.
	Pace float64
	// Backoff is the remaining duration of the server's backoff.
	Backoff time.Duration
	// PerSecond is the advertised rate limit of the server in requests per second.
	PerSecond float64
	// Health is the outcome to record for the server, or HealthUnreported for a report about an
	// attempt.
	Health Health
	// Organisation is the one whose request it is.
	Organisation fairshare.Organisation
	// Fingerprint is that of the request that Health is about, or None.
	Fingerprint fingerprint.Fingerprint
	// Parts has the fingerprints of the parts that its prompt may share with others, with
	// HealthConnectionLost or HealthLostThroughVM before the first event.
	Parts []fingerprint.Fingerprint
	// Ended is set with HealthConnectionLost and HealthLostThroughVM if the server's process is known to have ended.
	Ended bool
}

// Health is the outcome of one request for a server, or a notice from the server.
type Health int

// Values of Health.
const (
	// HealthUnreported is for reports about attempts, which leave the server's health as it is.
	HealthUnreported Health = iota
	// HealthSucceeded is a successful response.
	HealthSucceeded
	// HealthFailed is a failed request or a timeout.
	HealthFailed
	// HealthClosed is a server that accepts no more requests, see Pool.MarkClosed.
	HealthClosed
	// HealthUnreportedMemory is KV memory in use that no VM has reported. Its amount is the
	// report's Memory.
	HealthUnreportedMemory
	// HealthConnectionLost is a connection that broke during the request.
	HealthConnectionLost
	// HealthDraining is the server's announcement, in a response, that it drains.
	HealthDraining
	// HealthBackoff is the server's request that the reporting VM sends it nothing for the report's
	// Backoff.
	HealthBackoff
	// HealthRateLimited is a rate limit on the requests from all VMs together. The report's Age is
	// the time since it was received.
	HealthRateLimited
	// HealthNoRateLimit is a response without a rate limit after an earlier one had advertised it.
	// The report's Age is the time since the request for that response was sent.
	HealthNoRateLimit
	// HealthLostThroughVM is a connection through another VM that the server ended during the request. It
	// says something of the request, and nothing of the server.
	HealthLostThroughVM
	// HealthReceiverBackoff is HealthBackoff on a connection that led through the VM that receives the report.
	HealthReceiverBackoff
)

// attempt is a request at one server.
type attempt struct {
	Report

	// vm is the name of the VM that sent it.
	vm     string
	sentAt time.Time
	// reportedAt is when that VM last reported it.
	reportedAt time.Time
}

// ActiveRequest is a request of this VM that is in flight at the servers of one plan. Its methods
// are safe for concurrent use.
type ActiveRequest struct {
	pool *Pool
	// attemptIDs has the attempts. The first is at the server that decodes.
	attemptIDs []uint64
	// passTime is the expected duration of one engine pass without prefill, or zero for a service
	// without engines.
	passTime time.Duration
	// lastEventAt is when the last event arrived, and expectedInterval is the time until the next
	// one as estimated then. A zero lastEventAt means that the next event starts a new interval.
	lastEventAt      time.Time
	expectedInterval time.Duration
}

// StartWithID records that a request with a reserved ID is sent to the servers of a plan.
func (pool *Pool) StartWithID(id uint64, plan placement.Plan, request placement.Request) *ActiveRequest {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.startAttempts(id, plan, request)
}

// StartWithinLimits records that a request is sent to the servers of a plan that this VM made
// without the coordinator. It reports false if a server's rate limit has been used up since the
// plan was made: requests planned concurrently all see the same remaining capacity.
func (pool *Pool) StartWithinLimits(plan placement.Plan, request placement.Request) (*ActiveRequest, bool) {
	id := pool.ReserveID()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, planned := range plan.IDs() {
		if server := pool.servers[planned]; server != nil && !pool.withinLimits(server, pool.publisher.Share, now) {
			return nil, false
		}
	}
	return pool.startAttempts(id, plan, request), true
}

func (pool *Pool) startAttempts(id uint64, plan placement.Plan, request placement.Request) *ActiveRequest {
	now := pool.now()
	activeRequest := &ActiveRequest{pool: pool}
	if request.Engine != nil {
		activeRequest.passTime = request.Engine.PassTime(0, 0) + pool.settings.PassTimeMargin
	}
	for _, report := range newReports(id, plan, request) {
		activeRequest.attemptIDs = append(activeRequest.attemptIDs, report.ID)
		started := pool.addAttempt(pool.vm, report, now)
		pool.own[report.ID] = started
		pool.publisher.Publish(report)
	}
	return activeRequest
}

// newReports returns the reports of a request with the given ID, one for each server of a plan.
func newReports(id uint64, plan placement.Plan, request placement.Request) []Report {
	list := make([]Report, 0, 1+len(plan.Helpers))
	list = append(list, Report{
		Server: plan.Server.ID, Phase: PhasePrefill, PrefillTime: plan.PrefillPerServer,
		Memory: request.Memory, InterTokenObjective: request.InterTokenObjective, Packable: plan.Packable,
	})
	for _, helper := range plan.Helpers {
		list = append(list, Report{Server: helper.ID, Phase: PhasePrefill, PrefillTime: plan.PrefillPerServer, PrefillOnly: true})
	}
	for i := range list {
		list[i].ID = id + 1 + uint64(i)
		list[i].Organisation = request.Organisation
		if len(plan.MemoryShares) > 0 {
			list[i].Memory = plan.MemoryShares[i]
		}
	}
	return list
}

// addAttempt adds an attempt to its server, and returns the existing one if the server has it
// already. An attempt at an unknown server is only returned.
func (pool *Pool) addAttempt(vm string, report Report, now time.Time) *attempt {
	server := pool.servers[report.Server]
	if server == nil {
		return &attempt{Report: report, vm: vm, sentAt: now, reportedAt: now}
	}
	for _, known := range server.attempts {
		if known.vm == vm && known.ID == report.ID {
			return known
		}
	}
	added := &attempt{Report: report, vm: vm, sentAt: now, reportedAt: now}
	pool.insertAndCount(server, added, now)
	return added
}

// FinishPrefill records the end of the prefill: helpers without KV memory are released, and the first
// server decodes.
func (activeRequest *ActiveRequest) FinishPrefill() {
	activeRequest.pool.mu.Lock()
	defer activeRequest.pool.mu.Unlock()
	for _, id := range activeRequest.attemptIDs {
		activeRequest.pool.finishPrefill(id)
	}
}

func (pool *Pool) finishPrefill(id uint64) {
	own := pool.own[id]
	if own == nil || own.Phase != PhasePrefill {
		return
	}
	if own.PrefillOnly && own.Memory == 0 {
		pool.finishAttempt(id)
		return
	}
	own.Phase = PhaseDecode
	if server := pool.servers[own.Server]; server != nil {
		server.lastPrefillEnd = pool.now()
	}
	pool.publisher.Publish(own.Report)
	pool.notifyChanged()
}

// RecordEvent records an event, and updates the server's pace by the time since the last one.
func (activeRequest *ActiveRequest) RecordEvent() {
	pool := activeRequest.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	own := pool.own[activeRequest.attemptIDs[0]]
	if own == nil || activeRequest.passTime == 0 {
		return
	}
	now := pool.now()
	server := pool.servers[own.Server]
	if server == nil {
		return
	}
	if !activeRequest.lastEventAt.IsZero() {
		own.Pace = now.Sub(activeRequest.lastEventAt).Seconds() / activeRequest.expectedInterval.Seconds()
		server.updatePace(own.Pace, now, pool.settings)
	}
	activeRequest.lastEventAt = now
	activeRequest.expectedInterval = activeRequest.passTime + server.pendingPrefill()
}

// ResetEventTimer records that events were not received for a while for a reason outside of the
// server, so that the time until the next one doesn't count in its pace.
func (activeRequest *ActiveRequest) ResetEventTimer() {
	activeRequest.pool.mu.Lock()
	defer activeRequest.pool.mu.Unlock()
	activeRequest.lastEventAt = time.Time{}
}

// Finish records that the request is no longer at its servers. Further calls have no effect.
func (activeRequest *ActiveRequest) Finish() {
	activeRequest.pool.mu.Lock()
	defer activeRequest.pool.mu.Unlock()
	for _, id := range activeRequest.attemptIDs {
		activeRequest.pool.finishAttempt(id)
	}
}

func (pool *Pool) finishAttempt(id uint64) {
	own := pool.own[id]
	if own == nil {
		return
	}
	delete(pool.own, id)
	pool.removeAttempt(own)
	report := own.Report
	report.Phase = PhaseEnded
	pool.publisher.Publish(report)
	pool.notifyChanged()
}

// removeAttempt removes an attempt from its server.
func (pool *Pool) removeAttempt(ended *attempt) {
	server := pool.servers[ended.Server]
	if server == nil {
		return
	}
	if ended.Phase == PhasePrefill {
		server.lastPrefillEnd = pool.now()
	}
	server.remove(ended)
}

// OwnReports returns the reports of this VM's requests in flight.
func (pool *Pool) OwnReports() []Report {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	pool.forgetPrefills(now) // reports are sent regularly, by each VM
	reports := make([]Report, 0, len(pool.own))
	for _, own := range pool.own {
		report := own.Report
		report.Age = now.Sub(own.sentAt)
		reports = append(reports, report)
	}
	return reports
}
