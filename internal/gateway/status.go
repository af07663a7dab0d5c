package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/mastwinch/mastwinch/internal/pool"
)

// Status is the state of this VM as reported to operators: the servers, the coordinators and the
// quarantined requests.
type Status struct {
	VM string `json:"vm"`
	// Members is the number of VMs whose heartbeats are received. Coordinators has the VMs that may
	// be coordinator, the current one first.
	Members      int      `json:"members"`
	Coordinators []string `json:"coordinators"`
	// Epoch counts how often the store was restored to an older state. EpochSeconds is how long ago
	// this VM observed the last time, or zero if it observed none.
	Epoch        int64               `json:"epoch"`
	EpochSeconds float64             `json:"epoch_seconds,omitempty"`
	Servers      []pool.ServerStatus `json:"servers"`
	// Quarantined has the quarantined requests, which are sent to no server.
	Quarantined []QuarantinedStatus `json:"kept,omitempty"`
	// OverShares has the organisations furthest over their shares of the servers.
	OverShares []OverShareStatus `json:"over_shares,omitempty"`
	// SettingsProblems says what is wrong with the settings file as it is now.
	SettingsProblems []string `json:"settings_problems,omitempty"`
}

// QuarantinedStatus is a quarantined request: servers crash while processing it.
type QuarantinedStatus struct {
	Fingerprint string  `json:"fingerprint"`
	Seconds     float64 `json:"seconds"`
	// Times counts how often the request was found to crash servers.
	Times int `json:"times"`
}

// Status returns the current state. It is safe for concurrent use.
func (gateway *Gateway) Status() Status {
	now := gateway.now()
	members, _ := gateway.exchange.Members()
	current, _ := gateway.epochs.Current()
	status := Status{
		VM: gateway.site.VM, Members: members, Coordinators: gateway.exchange.Coordinators(),
		Epoch: int64(current), Servers: gateway.pool.Status(),
		OverShares: gateway.overShares(), SettingsProblems: gateway.settingsState.Load().problems(),
	}
	if rose := gateway.epochs.IncreasedAt(); !rose.IsZero() {
		status.EpochSeconds = now.Sub(rose).Seconds()
	}
	for _, entry := range gateway.quarantine.Entries() {
		status.Quarantined = append(status.Quarantined, QuarantinedStatus{
			Fingerprint: strconv.FormatUint(uint64(entry.Fingerprint), 10), Seconds: entry.Until.Sub(now).Seconds(), Times: entry.Times,
		})
	}
	return status
}

func (gateway *Gateway) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	gateway.clock.Sync()
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(gateway.Status()); err != nil {
		gateway.logger.Debug("writing the status failed", "error", err)
	}
}
