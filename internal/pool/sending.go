package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Phase says how far a request at a server is.
type Phase int

// Phases.
const (
	// PhaseNone: nothing that this VM understands.
	PhaseNone Phase = iota
	// PhaseReading: no event has come yet.
	PhaseReading
	// PhaseWriting: events come.
	PhaseWriting
	// PhaseOver: the request is not at the server any more.
	PhaseOver
)

// Report is what VMs tell each other of one request at one server.
type Report struct {
	// ID is unique to the VM that has the request.
	ID uint64
	// Server is the server's ID.
	Server string
	Phase  Phase
	// Work is the reading that the server does.
	Work time.Duration
	// Memory is the KV memory that the request takes there, in tokens.
	Memory int
	// Gap is the longest pause between events that is in time.
	Gap time.Duration
	// Tight says that the request counts as one with tight pauses.
	Tight bool
	// Helps says that the server only reads a part of the prompt.
	Helps bool
	// Age is how long ago the request was sent or, with HealthLost, the server was lost. It is zero where that
	// is told for the first time. Healths of limits say what it is with them.
	Age time.Duration
	// Pace is how long events took beside what was expected, or zero when none
	// were seen.
	Pace float64
	// Rest is for how long a server that rests still does, from now.
	Rest time.Duration
	// PerSecond is how many requests a second a server takes that is limited.
	PerSecond float64
	// Health is how the server did for a request that is over, when that is told.
	Health Health
	// Fingerprint is that of the request that Health is told of, or none.
	Fingerprint fingerprint.Fingerprint
}

// Health is how a server did for one request.
type Health int

// Healths.
const (
	// HealthUntold: nothing is said of the server.
	HealthUntold Health = iota
	// HealthGood: it answered.
	HealthGood
	// HealthFailed: it failed the request or was silent.
	HealthFailed
	// HealthClosed: it takes nothing more.
	HealthClosed
	// HealthNotFree: it has KV memory in use that no VM told of, as much as the report says.
	HealthNotFree
	// HealthLost: the connection broke while it had the request.
	HealthLost
	// HealthLeaving: it said in an answer that it leaves.
	HealthLeaving
	// HealthResting: it wants nothing from the VM that tells for as long as the report says.
	HealthResting
	// HealthLimited: it named a limit on the requests from all VMs together, which was heard so long ago as the
	// report's age says.
	HealthLimited
	// HealthUnlimited: it named a limit before, and not in an answer that was asked for so long ago as the report's
	// age says.
	HealthUnlimited
)

// sending is a request at a server.
type sending struct {
	Report

	// vm is the VM that sent it.
	vm     string
	sentAt time.Time
	// toldAt is when the VM last told of it.
	toldAt time.Time
}

// Use is a request of this VM at the servers of one plan.
type Use struct {
	pool *Pool
	// ids has the sendings, the one at the server that writes first.
	ids []uint64
	// pass is how long a pass of the server takes when nothing is read.
	pass time.Duration
	// last is when the last event came, and expected how long the next one may
	// take as it was then.
	last     time.Time
	expected time.Duration
}

// StartAs notes that a request with a number that was reserved goes to the servers of a plan.
func (pool *Pool) StartAs(id uint64, plan placement.Plan, request placement.Request) *Use {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.start(id, plan, request)
}

// StartWithin notes that a request goes to the servers of a plan that a VM made by itself. It reports false if one of them got
// as much as its limit lets through since the VM looked: requests that look in the same moment all see the same room.
func (pool *Pool) StartWithin(plan placement.Plan, request placement.Request) (*Use, bool) {
	id := pool.ReserveID()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, planned := range plan.IDs() {
		if server := pool.servers[planned]; server != nil && !pool.withinLimits(server, pool.publisher.Share, now) {
			return nil, false
		}
	}
	return pool.start(id, plan, request), true
}

func (pool *Pool) start(id uint64, plan placement.Plan, request placement.Request) *Use {
	now := pool.now()
	use := &Use{pool: pool}
	if request.Engine != nil {
		use.pass = request.Engine.PassTime(0, 0) + pool.settings.PassSpare
	}
	for _, report := range reports(id, plan, request) {
		use.ids = append(use.ids, report.ID)
		started := pool.add(pool.vm, report, now)
		pool.own[report.ID] = started
		pool.publisher.Publish(report)
	}
	return use
}

// reports returns what is told of a request with that number at the servers of a plan.
func reports(id uint64, plan placement.Plan, request placement.Request) []Report {
	list := make([]Report, 0, 1+len(plan.Helpers))
	list = append(list, Report{
		Server: plan.Server.ID, Phase: PhaseReading, Work: plan.Part,
		Memory: request.Memory, Gap: request.Gap, Tight: plan.Tight,
	})
	for _, helper := range plan.Helpers {
		list = append(list, Report{Server: helper.ID, Phase: PhaseReading, Work: plan.Part, Helps: true})
	}
	for i := range list {
		list[i].ID = id + 1 + uint64(i)
		if len(plan.Shares) > 0 {
			list[i].Memory = plan.Shares[i]
		}
	}
	return list
}

// add puts a request at its server, if it was not there yet.
func (pool *Pool) add(vm string, report Report, now time.Time) *sending {
	server := pool.servers[report.Server]
	if server == nil {
		return &sending{Report: report, vm: vm, sentAt: now, toldAt: now}
	}
	for _, known := range server.sendings {
		if known.vm == vm && known.ID == report.ID {
			return known
		}
	}
	added := &sending{Report: report, vm: vm, sentAt: now, toldAt: now}
	pool.place(server, added, now)
	return added
}

// Read notes that the prompt is read: helpers are free, the server writes.
func (use *Use) Read() {
	use.pool.mu.Lock()
	defer use.pool.mu.Unlock()
	for _, id := range use.ids {
		use.pool.read(id)
	}
}

func (pool *Pool) read(id uint64) {
	own := pool.own[id]
	if own == nil || own.Phase != PhaseReading {
		return
	}
	if own.Helps && own.Memory == 0 {
		pool.over(id)
		return
	}
	own.Phase = PhaseWriting
	if server := pool.servers[own.Server]; server != nil {
		server.lastRead = pool.now()
	}
	pool.publisher.Publish(own.Report)
	pool.wake()
}

// Event notes that an event came, and learns from the time since the last one
// how slow the server is.
func (use *Use) Event() {
	pool := use.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	own := pool.own[use.ids[0]]
	if own == nil || use.pass == 0 {
		return
	}
	now := pool.now()
	server := pool.servers[own.Server]
	if server == nil {
		return
	}
	if !use.last.IsZero() {
		own.Pace = now.Sub(use.last).Seconds() / use.expected.Seconds()
		server.learnPace(own.Pace, now, pool.settings)
	}
	use.last = now
	use.expected = use.pass + server.reading()
}

// Interrupted notes that events were not read for a while, so that the time to the next one says nothing of the server.
func (use *Use) Interrupted() {
	use.pool.mu.Lock()
	defer use.pool.mu.Unlock()
	use.last = time.Time{}
}

// Over notes that the request is at its servers no more.
func (use *Use) Over() {
	use.pool.mu.Lock()
	defer use.pool.mu.Unlock()
	for _, id := range use.ids {
		use.pool.over(id)
	}
}

func (pool *Pool) over(id uint64) {
	own := pool.own[id]
	if own == nil {
		return
	}
	delete(pool.own, id)
	pool.end(own)
	report := own.Report
	report.Phase = PhaseOver
	pool.publisher.Publish(report)
	pool.wake()
}

// end takes a sending off its server.
func (pool *Pool) end(ended *sending) {
	server := pool.servers[ended.Server]
	if server == nil {
		return
	}
	if ended.Phase == PhaseReading {
		server.lastRead = pool.now()
	}
	server.remove(ended)
}

// Own returns the requests of this VM at servers.
func (pool *Pool) Own() []Report {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	reports := make([]Report, 0, len(pool.own))
	for _, own := range pool.own {
		report := own.Report
		report.Age = now.Sub(own.sentAt)
		reports = append(reports, report)
	}
	return reports
}
