// Package vmlist simulates the platform's HTTP API that lists VMs. A change
// becomes visible only after a configured lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/platformclient"
)

// Faults are failure modes that can be changed at run time.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// Frozen serves the list as it was when the fault was set, without later changes.
	Frozen bool `json:"frozen"`
}

// VMList is a simulated VM list. It is safe for concurrent use.
type VMList struct {
	lag time.Duration

	mu     sync.Mutex
	faults Faults
	frozen []platformclient.VM
	// history has the versions of the list, oldest first, from the one currently
	// visible.
	history []version
}

// version is the list as it was changed at one time.
type version struct {
	since time.Time
	vms   []platformclient.VM
}

// New returns a list of the given VMs whose changes become visible after lag.
func New(lag time.Duration, vms []platformclient.VM) *VMList {
	return &VMList{
		lag:     lag,
		history: []version{{vms: slices.Clone(vms)}},
	}
}

// Register adds the list's HTTP route to router.
func (vmlist *VMList) Register(router *mux.Router) {
	router.HandleFunc("/v1/vms", vmlist.handleList).Methods(http.MethodGet)
}

// Put adds a VM, or replaces the one with the same ID.
func (vmlist *VMList) Put(vm platformclient.VM) {
	vmlist.change(func(vms []platformclient.VM) []platformclient.VM {
		return append(withoutVM(vms, vm.ID), vm)
	})
}

// Remove removes the VM with the given ID, if there is one.
func (vmlist *VMList) Remove(id string) {
	vmlist.change(func(vms []platformclient.VM) []platformclient.VM {
		return withoutVM(vms, id)
	})
}

// MarkDraining marks the VM with the given ID as draining.
func (vmlist *VMList) MarkDraining(id string) {
	vmlist.change(func(vms []platformclient.VM) []platformclient.VM {
		changed := slices.Clone(vms)
		for i := range changed {
			changed[i].Draining = changed[i].Draining || changed[i].ID == id
		}
		return changed
	})
}

// SetFaults replaces all faults.
func (vmlist *VMList) SetFaults(faults Faults) {
	vmlist.mu.Lock()
	defer vmlist.mu.Unlock()
	if !vmlist.faults.Frozen {
		vmlist.frozen = vmlist.visible()
	}
	vmlist.faults = faults
}

func (vmlist *VMList) change(apply func([]platformclient.VM) []platformclient.VM) {
	vmlist.mu.Lock()
	defer vmlist.mu.Unlock()
	latest := vmlist.history[len(vmlist.history)-1].vms
	vmlist.history = append(vmlist.history, version{since: time.Now(), vms: apply(latest)})
}

// visible returns the newest list that is older than the lag, or the initial
// list. It drops older versions. The caller must hold the mutex.
func (vmlist *VMList) visible() []platformclient.VM {
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

func withoutVM(vms []platformclient.VM, id string) []platformclient.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm platformclient.VM) bool { return vm.ID == id })
}
