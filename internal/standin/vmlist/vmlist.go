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

	"github.com/mastwinch/mastwinch/internal/platform"
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
	frozen []platform.VM
	// history has the changed lists, oldest first.
	history []version
}

type version struct {
	since time.Time
	vms   []platform.VM
}

// New returns a list that shows vms, and changes after lag.
func New(lag time.Duration, vms []platform.VM) *VMList {
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
func (vmlist *VMList) Put(vm platform.VM) {
	vmlist.change(func(vms []platform.VM) []platform.VM {
		return append(without(vms, vm.ID), vm)
	})
}

// Remove takes the VM with that ID from the list.
func (vmlist *VMList) Remove(id string) {
	vmlist.change(func(vms []platform.VM) []platform.VM {
		return without(vms, id)
	})
}

// Leave marks the VM with that ID as leaving.
func (vmlist *VMList) Leave(id string) {
	vmlist.change(func(vms []platform.VM) []platform.VM {
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

func (vmlist *VMList) change(apply func([]platform.VM) []platform.VM) {
	vmlist.mu.Lock()
	defer vmlist.mu.Unlock()
	latest := vmlist.history[len(vmlist.history)-1].vms
	vmlist.history = append(vmlist.history, version{since: time.Now(), vms: apply(latest)})
}

// visible returns the newest list that is older than the lag.
func (vmlist *VMList) visible() []platform.VM {
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

func without(vms []platform.VM, id string) []platform.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm platform.VM) bool { return vm.ID == id })
}
