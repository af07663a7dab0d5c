// Package coordinator lets one VM, the coordinator, assign servers to the requests of many VMs. It
// handles messages, timers and locks; package dispatch makes the decisions.
//
// Any VM can be the coordinator. All VMs rank the others in the same order and use the first one
// that responds. Requests in flight are reported to the next VMs in the order too, so that one of
// these can take over at once. Two VMs may act as coordinator at the same time while VMs disagree
// about which ones are up. The only effect is that they sometimes assign the same servers.
package coordinator

import (
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Network carries requests and responses to other VMs. Messages may be lost; requests are repeated.
type Network interface {
	// Coordinators returns the VMs that can be the coordinator, the preferred one first. This VM
	// may be among them.
	Coordinators() []string
	// ReportUnresponsive records that a VM did not respond.
	ReportUnresponsive(vm string)
	// SendRequest sends a request for servers to a VM.
	SendRequest(vm string, request dispatch.AssignmentRequest)
	// SendResponse sends a response to a VM.
	SendResponse(vm string, response dispatch.AssignmentResponse)
}

// Servers gives access to the state of the backend servers as known to this VM. It is safe for
// concurrent use. Methods without a comment work like those of dispatch.Servers.
type Servers interface {
	Eligible(service *catalog.Service, tried []string) []placement.Server
	Usage(service *catalog.Service) fairshare.Usage
	BackoffServers(vm string) []string
	AcceptedRate(service string, allowedDataCentres []string, vm string) (float64, bool)
	AllEvacuated(service string, allowedDataCentres []string) bool
	// InPrefill reports whether a request of a VM that got servers may be without an event so far.
	InPrefill(vm string, id uint64) bool
	// Assign records that the servers of a plan are assigned to a request of a VM.
	Assign(vm string, id uint64, plan placement.Plan, request placement.Request)
	// Withdraw removes an assigned request that is not sent.
	Withdraw(vm string, id uint64)
	// Changed returns a channel that is closed when a server may have free capacity again.
	Changed() <-chan struct{}
}

// RetryBudget limits retries over all VMs that use this coordinator.
type RetryBudget interface {
	// Earn adds what one request to a service earns.
	Earn(service string)
	// Spend takes one retry from the budget of a service. It reports false if none is left.
	Spend(service string) bool
	// Left returns how many retries are left in the budget of a service.
	Left(service string) float64
}

// Services returns a service of the active configuration by name, and whether it exists.
type Services func(name string) (*catalog.Service, bool)

// Coordinator requests servers for the caller requests of its VM, and assigns servers to requests
// of all VMs while this VM is the coordinator. It is safe for concurrent use.
type Coordinator struct {
	settings    Settings
	vm          string
	servers     Servers
	services    Services
	retryBudget RetryBudget
	network     Network
	now         func() time.Time

	// decideMu guards queue, lastRequested, decisions and retries.
	decideMu sync.Mutex
	queue    *dispatch.Queue
	// lastRequested has the time of the last message for each queued request.
	lastRequested map[dispatch.Key]time.Time
	// decisions has the recent decisions by key, so that they can be sent again when a response was
	// lost.
	decisions map[dispatch.Key]decision
	// retries has the retries that organisations have taken of each service's budget.
	retries retryShares
	// queued has an element after a request was queued.
	queued chan struct{}

	// pendingMu guards pending and responseTime.
	pendingMu sync.Mutex
	// pending has the response channel of each request of this VM that is not decided yet, by ID.
	pending map[uint64]chan peerResponse
	// responseTime is the moving average of response times.
	responseTime time.Duration
}

// decision is a response with the time at which it was decided.
type decision struct {
	response dispatch.AssignmentResponse
	at       time.Time
}

// peerResponse is a response with the VM that it comes from or goes to.
type peerResponse struct {
	dispatch.AssignmentResponse

	vm string
}

// New returns the coordinator of the VM with the given name. The function now is its clock.
func New(
	settings Settings, vm string, policy placement.Policy, shares fairshare.Settings, servers Servers, services Services,
	retryBudget RetryBudget, network Network, now func() time.Time,
) *Coordinator {
	return &Coordinator{
		settings:      settings,
		vm:            vm,
		servers:       servers,
		services:      services,
		retryBudget:   retryBudget,
		network:       network,
		now:           now,
		queue:         dispatch.New(policy, shares),
		lastRequested: make(map[dispatch.Key]time.Time),
		decisions:     make(map[dispatch.Key]decision),
		retries:       newRetryShares(shares.Enabled),
		queued:        make(chan struct{}, 1),
		pending:       make(map[uint64]chan peerResponse),
	}
}
