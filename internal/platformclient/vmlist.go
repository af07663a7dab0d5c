package platformclient

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kinds of VM: those of this system, those with model engines, and those with other services.
const (
	KindSystem  = "system"
	KindEngine  = "engine"
	KindService = "service"
)

// VMList is the platform's list of running and draining VMs. It is eventually consistent: VMs appear and disappear late.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// VM is one entry of the VM list.
type VM struct {
	ID         string   `json:"id"`
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Kind       string   `json:"kind"`
	Models     []string `json:"models,omitempty"`
	// Draining is set if the VM is draining before a planned shutdown.
	Draining bool `json:"leaving,omitempty"`
	// ChecksFencing is set if the VM rejects commands with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MemoryTokens is the capacity of an engine's KV cache, in tokens.
	MemoryTokens uint64 `json:"memory_tokens,omitempty"`
	// KeeperAddress is the UDP address of the keeper process of a system VM.
	KeeperAddress string `json:"keeper_address,omitempty"`
}

var _ VMList = (*HTTPVMList)(nil)

// HTTPVMList implements VMList over HTTP.
type HTTPVMList struct {
	client *http.Client
	base   string
}

// NewHTTPVMList returns a client of the VM list at the base URL of the platform.
func NewHTTPVMList(client *http.Client, base string) *HTTPVMList {
	return &HTTPVMList{client: client, base: base}
}

// List implements VMList.
func (httpvmlist *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := getJSON(ctx, httpvmlist.client, httpvmlist.base+"/v1/vms", &vms)
	return vms, errors.Wrap(err, "vm list")
}
