package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/mastwinch/mastwinch/internal/pool"
)

// Status is what a VM knows of the servers and of who decides, for operators.
type Status struct {
	VM string `json:"vm"`
	// Members is how many VMs are heard, and Coordinators has those that may decide, the one that does first.
	Members      int      `json:"members"`
	Coordinators []string `json:"coordinators"`
	// Epoch counts how often the store came back older, and EpochSeconds is how long ago this VM saw it do so, or zero.
	Epoch        int64               `json:"epoch"`
	EpochSeconds float64             `json:"epoch_seconds,omitempty"`
	Servers      []pool.ServerStatus `json:"servers"`
	// Kept has the requests that are kept from servers.
	Kept []KeptStatus `json:"kept,omitempty"`
}

// KeptStatus is a request that is kept from servers, since they crash under it.
type KeptStatus struct {
	Fingerprint string  `json:"fingerprint"`
	Seconds     float64 `json:"seconds"`
	// Times counts how often it was found to be the cause.
	Times int `json:"times"`
}

// Status returns what this VM knows now.
func (gateway *Gateway) Status() Status {
	now := gateway.now()
	members, _ := gateway.exchange.Members()
	current, _ := gateway.epochs.Current()
	status := Status{
		VM: gateway.site.VM, Members: members, Coordinators: gateway.exchange.Coordinators(),
		Epoch: int64(current), Servers: gateway.pool.Status(),
	}
	if rose := gateway.epochs.Rose(); !rose.IsZero() {
		status.EpochSeconds = now.Sub(rose).Seconds()
	}
	for _, entry := range gateway.quarantine.Entries() {
		status.Kept = append(status.Kept, KeptStatus{
			Fingerprint: strconv.FormatUint(uint64(entry.Fingerprint), 10), Seconds: entry.Until.Sub(now).Seconds(), Times: entry.Times,
		})
	}
	return status
}

func (gateway *Gateway) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	gateway.clock.Sync()
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(gateway.Status()); err != nil {
		gateway.logger.Debug("status not written", "error", err)
	}
}
