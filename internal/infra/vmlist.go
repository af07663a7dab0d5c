package infra

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kinds of VM in the VM list.
const (
	KindSystem  = "system"
	KindEngine  = "engine"
	KindService = "service"
)

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// VM is one line of the VM list.
type VM struct {
	ID         string   `json:"id"`
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Kind       string   `json:"kind"`
	Models     []string `json:"models,omitempty"`
	Leaving    bool     `json:"leaving,omitempty"`
	// ChecksFencing says that the VM refuses orders with an old token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MemoryTokens is how many tokens of KV cache an engine holds.
	MemoryTokens uint64 `json:"memory_tokens,omitempty"`
	// KeeperAddress is where the keeper of a system VM listens, over UDP.
	KeeperAddress string `json:"keeper_address,omitempty"`
}

var _ VMList = (*HTTPVMList)(nil)

// HTTPVMList is the VM list, reached over HTTP.
type HTTPVMList struct {
	client *http.Client
	base   string
}

// NewHTTPVMList returns the VM list of the platform at base.
func NewHTTPVMList(client *http.Client, base string) *HTTPVMList {
	return &HTTPVMList{client: client, base: base}
}

// List implements VMList.
func (httpvmlist *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := getJSON(ctx, httpvmlist.client, httpvmlist.base+"/v1/vms", &vms)
	return vms, errors.Wrap(err, "vm list")
}
