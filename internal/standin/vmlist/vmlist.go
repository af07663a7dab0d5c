// Package vmlist stands in for the platform's list of VMs. A change shows in
// the list only after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/infra"
)

// Faults that can be switched while the list runs.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// Frozen keeps showing the list as it was.
	Frozen bool `json:"frozen"`
}

// VMList is the stand-in.
type VMList struct {
	lag time.Duration

	mu     sync.Mutex
	faults Faults
	frozen []infra.VM
	// history has the changed lists, oldest first.
	history []version
}

type version struct {
	since time.Time
	vms   []infra.VM
}

// New returns a list that shows vms, and changes after lag.
func New(lag time.Duration, vms []infra.VM) *VMList {
	return &VMList{
		lag:     lag,
		history: []version{{vms: slices.Clone(vms)}},
	}
}

// Register adds the route of the list to router.
func (vmlist *VMList) Register(router *mux.Router) {
	router.HandleFunc("/v1/vms", vmlist.handleList).Methods(http.MethodGet)
}

// Put adds vm, or replaces the one with its ID.
func (vmlist *VMList) Put(vm infra.VM) {
	vmlist.change(func(vms []infra.VM) []infra.VM {
		return append(without(vms, vm.ID), vm)
	})
}

// Remove takes the VM with that ID from the list.
func (vmlist *VMList) Remove(id string) {
	vmlist.change(func(vms []infra.VM) []infra.VM {
		return without(vms, id)
	})
}

// Leave marks the VM with that ID as leaving.
func (vmlist *VMList) Leave(id string) {
	vmlist.change(func(vms []infra.VM) []infra.VM {
		changed := slices.Clone(vms)
		for i := range changed {
			changed[i].Leaving = changed[i].Leaving || changed[i].ID == id
		}
		return changed
	})
}

// SetFaults replaces the faults.
func (vmlist *VMList) SetFaults(faults Faults) {
	vmlist.mu.Lock()
	defer vmlist.mu.Unlock()
	if !vmlist.faults.Frozen {
		vmlist.frozen = vmlist.visible()
	}
	vmlist.faults = faults
}

func (vmlist *VMList) change(apply func([]infra.VM) []infra.VM) {
	vmlist.mu.Lock()
	defer vmlist.mu.Unlock()
	latest := vmlist.history[len(vmlist.history)-1].vms
	vmlist.history = append(vmlist.history, version{since: time.Now(), vms: apply(latest)})
}

// visible returns the newest list that is older than the lag.
func (vmlist *VMList) visible() []infra.VM {
	cutoff := time.Now().Add(-vmlist.lag)
	for len(vmlist.history) > 1 && vmlist.history[1].since.Before(cutoff) {
		vmlist.history = vmlist.history[1:]
	}
	return vmlist.history[0].vms
}

func (vmlist *VMList) handleList(w http.ResponseWriter, _ *http.Request) {
	vmlist.mu.Lock()
	vms := vmlist.visible()
	if vmlist.faults.Frozen {
		vms = vmlist.frozen
	}
	outage := vmlist.faults.Outage
	vmlist.mu.Unlock()
	if outage {
		http.Error(w, "VM list unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vms)
}

func without(vms []infra.VM, id string) []infra.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm infra.VM) bool { return vm.ID == id })
}
