// Package coordinator lets one VM decide for many which servers their requests get. It
// carries asks and answers, and keeps time and locks; what is decided is in package
// dispatch.
//
// Any VM can decide. All VMs rank the others alike and ask the first that answers; what
// is under way is told to the next ones too, so that they can go on at once. Two that
// decide at the same time, because VMs disagree about who is there, take the same servers
// now and then, and nothing worse.
package coordinator

import (
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Network carries asks and answers to other VMs. What is lost is asked again.
type Network interface {
	// Coordinators returns the VMs that may be asked, the best one first. This VM may be
	// among them.
	Coordinators() []string
	// Doubt notes that a VM did not answer.
	Doubt(vm string)
	Ask(vm string, ask dispatch.Ask)
	Answer(vm string, answer dispatch.Answer)
}

// Servers is what this VM believes of the servers.
type Servers interface {
	Open(service *catalog.Service, tried []string) []placement.Server
	Resting(vm string) []string
	TakesPerSecond(service string, keptTo []string, vm string) (float64, bool)
	AllEvacuated(service string, keptTo []string) bool
	Assign(vm string, id uint64, plan placement.Plan, request placement.Request)
	Withdraw(vm string, id uint64)
	Changed() <-chan struct{}
}

// Retries grants that requests go to servers once more, over all VMs that ask.
type Retries interface {
	// Earn notes a request for a service.
	Earn(service string)
	// Spend takes a grant, if there is one.
	Spend(service string) bool
}

// Services finds a service in the configuration in force.
type Services func(name string) (*catalog.Service, bool)

// Coordinator is this VM's part: it asks for its own requests, and decides for those of
// others when it is asked.
type Coordinator struct {
	settings Settings
	vm       string
	servers  Servers
	services Services
	retries  Retries
	network  Network
	now      func() time.Time

	deciding sync.Mutex
	queue    *dispatch.Queue
	// renewed has when each request that waits was asked for last.
	renewed map[dispatch.Key]time.Time
	// given has what was decided lately.
	given map[dispatch.Key]given
	// wake has an element when something waits.
	wake chan struct{}

	asking sync.Mutex
	// open has the asks of this VM that are not over.
	open map[uint64]chan addressed
	// took is how long answers took lately.
	took time.Duration
}

// given is a decision.
type given struct {
	answer dispatch.Answer
	at     time.Time
}

// addressed is an answer and the VM that it comes from or goes to.
type addressed struct {
	dispatch.Answer

	vm string
}

// New returns the part of the VM with that name.
func New(
	settings Settings, vm string, policy placement.Policy, servers Servers, services Services, retries Retries,
	network Network, now func() time.Time,
) *Coordinator {
	return &Coordinator{
		settings: settings,
		vm:       vm,
		servers:  servers,
		services: services,
		retries:  retries,
		network:  network,
		now:      now,
		queue:    dispatch.New(policy),
		renewed:  make(map[dispatch.Key]time.Time),
		given:    make(map[dispatch.Key]given),
		wake:     make(chan struct{}, 1),
		open:     make(map[uint64]chan addressed),
	}
}
