// Package standin runs simulated backend servers and a simulated platform (log
// service, VM list, weight store) in one process, for tests and load runs. Faults
// can be injected at run time over HTTP.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
	"github.com/mastwinch/mastwinch/internal/standin/logservice"
	"github.com/mastwinch/mastwinch/internal/standin/service"
	"github.com/mastwinch/mastwinch/internal/standin/vmlist"
	"github.com/mastwinch/mastwinch/internal/standin/weights"
)

// Timing of the health checks of the system's VMs for the VM list.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

// Standin has all simulated services and backend servers of one process.
type Standin struct {
	settings   Settings
	logger     *slog.Logger
	executions *execution.Log
	log        *logservice.LogService
	vms        *vmlist.VMList
	weights    *weights.Store
	// servers has all backend servers by ID, including stopped ones. It isn't
	// changed after New.
	servers map[string]*server
}

// New returns the simulated services and servers that the settings describe. They
// are started by Run.
func New(settings Settings, logger *slog.Logger) *Standin {
	standin := &Standin{
		settings:   settings,
		logger:     logger,
		executions: execution.New(),
		log:        logservice.New(settings.Log),
		weights:    weights.New(settings.Weights.BytesPerSecond, settings.Weights.Sizes),
		servers:    make(map[string]*server),
	}
	host, _, _ := net.SplitHostPort(settings.Address)
	for _, group := range settings.Engines {
		standin.addEngines(host, group)
	}
	for _, group := range settings.Services {
		standin.addServices(host, group)
	}
	vms := make([]platformclient.VM, 0, len(standin.servers))
	for _, server := range standin.servers {
		vms = append(vms, server.vm)
	}
	standin.vms = vmlist.New(settings.VMList.Lag, vms)
	return standin
}

func (standin *Standin) addEngines(host string, group EngineGroup) {
	for i := range group.Count {
		vm := platformclient.VM{
			ID:            fmt.Sprintf("%s-%02d", group.Name, i),
			Address:       net.JoinHostPort(host, strconv.Itoa(group.FirstPort+i)),
			DataCentre:    group.DataCentre,
			Kind:          platformclient.KindEngine,
			Models:        group.Models,
			ChecksFencing: group.ChecksFencing,
			MemoryTokens:  uint64(standin.settings.Engine.MemoryTokens), //nolint:gosec // checked to be positive
		}
		standin.servers[vm.ID] = &server{vm: vm, build: func() instance {
			return instance{engine: engine.New(
				vm.ID, vm.Models, vm.ChecksFencing, standin.settings.Engine, standin.executions, standin.engine,
				standin.weights.Fetch,
			)}
		}}
	}
}

func (standin *Standin) addServices(host string, group ServiceGroup) {
	for i := range group.Count {
		vm := platformclient.VM{
			ID:            fmt.Sprintf("%s-%02d", group.Name, i),
			Address:       net.JoinHostPort(host, strconv.Itoa(group.FirstPort+i)),
			DataCentre:    group.DataCentre,
			Kind:          platformclient.KindService,
			Models:        []string{group.Service},
			ChecksFencing: group.ChecksFencing,
		}
		standin.servers[vm.ID] = &server{vm: vm, build: func() instance {
			return instance{service: service.New(vm.ID, vm.ChecksFencing, group.Duration, standin.executions)}
		}}
	}
}

// engine returns the running engine with the given ID, or nil.
func (standin *Standin) engine(id string) *engine.Engine {
	server := standin.servers[id]
	if server == nil {
		return nil
	}
	return server.engine()
}

// Run starts all servers and serves the platform's API until ctx is done. It
// returns an error if an address can't be listened on.
func (standin *Standin) Run(ctx context.Context) error {
	for _, server := range standin.servers {
		err := server.start(ctx)
		if err != nil {
			return err
		}
		defer server.kill()
	}
	for _, vm := range standin.settings.SystemVMs {
		go standin.probe(ctx, vm)
	}
	http := &http.Server{Addr: standin.settings.Address, Handler: standin.Handler()} //nolint:gosec // for tests, on loopback
	stop := context.AfterFunc(ctx, func() { _ = http.Close() })
	defer stop()
	standin.logger.Info("serving simulated platform and backend servers", "address", standin.settings.Address, "backend_servers", len(standin.servers))
	err := http.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve simulated platform")
}

// Handler returns the HTTP handler of the platform's API and of the
// administrative endpoints for faults, executions and loads.
func (standin *Standin) Handler() http.Handler {
	router := mux.NewRouter()
	standin.log.Register(router)
	standin.vms.Register(router)
	standin.weights.Register(router)
	router.HandleFunc("/admin/faults", standin.handleFaults).Methods(http.MethodPost)
	router.HandleFunc("/admin/executions", standin.handleExecutions).Methods(http.MethodGet)
	router.HandleFunc("/admin/loads", standin.handleLoads).Methods(http.MethodGet)
	return router
}

// probe checks the health of a VM of the system until ctx is done, and lists it
// in the VM list while it is healthy.
func (standin *Standin) probe(ctx context.Context, vm SystemVM) {
	client := &http.Client{Timeout: probeTimeout}
	listed := false
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		healthy := isHealthy(ctx, client, "http://"+vm.Address+"/healthz")
		switch {
		case healthy && !listed:
			standin.vms.Put(platformclient.VM{
				ID:            vm.ID,
				Address:       vm.Address,
				DataCentre:    vm.DataCentre,
				Kind:          platformclient.KindSystem,
				KeeperAddress: vm.KeeperAddress,
			})
		case !healthy && listed:
			standin.vms.Remove(vm.ID)
		}
		listed = healthy
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// isHealthy reports whether a GET request to the URL returns status 200.
func isHealthy(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (standin *Standin) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&faults)
	if err == nil {
		err = standin.apply(r.Context(), faults)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	standin.logger.Info("faults changed", "faults", faults)
}

// apply changes the faults, then kills, starts and drains servers, in this order.
// It returns an error if a server to kill, start or drain is unknown or can't be
// started; unknown IDs of faults are ignored.
func (standin *Standin) apply(ctx context.Context, faults Faults) error {
	if faults.Log != nil {
		standin.log.SetFaults(*faults.Log)
	}
	if faults.VMList != nil {
		standin.vms.SetFaults(*faults.VMList)
	}
	for id, fault := range faults.Engine {
		if engine := standin.engine(id); engine != nil {
			engine.SetFaults(fault)
		}
	}
	for id, fault := range faults.Service {
		if server := standin.servers[id]; server != nil && server.service() != nil {
			server.service().SetFaults(fault)
		}
	}
	return errors.CombineErrors(
		standin.forEach(ctx, faults.Kill, standin.kill),
		errors.CombineErrors(
			standin.forEach(ctx, faults.Start, standin.start),
			standin.forEach(ctx, faults.Drain, standin.drain),
		),
	)
}

// forEach applies a function to the servers with the given IDs, until the first
// error.
func (standin *Standin) forEach(ctx context.Context, ids []string, apply func(context.Context, *server) error) error {
	for _, id := range ids {
		server := standin.servers[id]
		if server == nil {
			return errors.Newf("no backend server %q", id)
		}
		err := apply(ctx, server)
		if err != nil {
			return err
		}
	}
	return nil
}

func (standin *Standin) kill(_ context.Context, server *server) error {
	server.kill()
	standin.vms.Remove(server.vm.ID)
	return nil
}

func (standin *Standin) start(ctx context.Context, server *server) error {
	standin.vms.Put(server.vm)
	return server.start(ctx)
}

func (standin *Standin) drain(_ context.Context, server *server) error {
	server.drain()
	standin.vms.MarkDraining(server.vm.ID)
	return nil
}

func (standin *Standin) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(standin.executions.All())
}

// handleLoads returns the current load of all running engines, without the lag of
// load reports.
func (standin *Standin) handleLoads(w http.ResponseWriter, _ *http.Request) {
	loads := make(map[string]backend.Load)
	for id := range standin.servers {
		if engine := standin.engine(id); engine != nil {
			loads[id] = engine.CurrentLoad()
		}
	}
	_ = json.NewEncoder(w).Encode(loads)
}
