// Command _cases2 has the stand-ins for the cases of the second review: the platform's store, backend servers and
// clients. It starts mw-gateway as the deploy file does.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// clientKey is the key of the only tenant.
const clientKey = "n2ctnfzs989anu6wsjnb"

// world is one deployment: the store, servers and VMs.
type world struct {
	dir    string
	store  *metastore.Store
	addr   string
	record *os.File
	start  time.Time

	// peerPort is the first port of port_range, the same on all VMs.
	peerPort int

	// vmMu is held while processes are started or ended.
	vmMu   sync.Mutex
	closed bool

	mu      sync.Mutex
	runs    map[string]int
	vms     []*vm
	servers []*server
	entries entries
	closers []func()
}

// vm is one process of mw-gateway.
type vm struct {
	name, ip, front, ready string
	file                   string
	process                *exec.Cmd
	done                   chan struct{}
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	world := &world{dir: dir, store: metastore.New(), record: file, start: time.Now(), runs: make(map[string]int), entries: entries{ready: make(map[*vm]bool)}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world.addr = listener.Addr().String()
	world.peerPort = freePorts("127.0.0.1", 1)[0]
	server := &http.Server{Handler: world.store}
	go func() { _ = server.Serve(listener) }()
	world.closers = append(world.closers, func() { _ = server.Close() })
	go world.closeOnSignal()
	return world, nil
}

// closeOnSignal ends all processes and exits when this process is told to end.
func (world *world) closeOnSignal() {
	ending := make(chan os.Signal, 1)
	signal.Notify(ending, os.Interrupt, syscall.SIGTERM)
	<-ending
	world.close()
	os.Exit(2)
}

// log writes a line to the record, with the seconds since the start.
func (world *world) log(format string, args ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	fmt.Fprintf(world.record, "%8.3f %s\n", time.Since(world.start).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a server has begun to work on a request.
func (world *world) ran(server, id string) {
	world.mu.Lock()
	world.runs[id]++
	world.mu.Unlock()
	world.log("server %s runs %s", server, id)
}

func (world *world) close() {
	world.vmMu.Lock()
	world.closed = true
	for _, vm := range world.vms {
		_ = vm.process.Process.Signal(syscall.SIGCONT)
		_ = vm.process.Process.Kill()
		<-vm.done
	}
	world.vmMu.Unlock()
	for _, closer := range world.closers {
		closer()
	}
	_ = world.record.Close()
	_ = os.RemoveAll(world.dir)
}

// put writes a record of the operator or of a server to the store.
func (world *world) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	world.store.Put(topic, key, data)
}

type object = map[string]any

// configure puts a configuration with the given routes and services in force.
func (world *world) configure(version int, routes, services []object) {
	world.put("keyed.op", "config", object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "hule930", "api_keys": []string{clientKey}, "priority": 1}},
	})
	world.log("operator: configuration %d", version)
}

// freePorts returns free ports of an address below those that the system gives to outgoing connections.
func freePorts(ip string, count int) []int {
	var ports []int
	for len(ports) < count {
		port := 20000 + rand.IntN(12000)
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		if !slices.Contains(ports, port) {
			ports = append(ports, port)
		}
	}
	return ports
}

// addVM writes the settings of a VM and starts it.
func (world *world) addVM(number, memoryMB int, seeds []string) *vm {
	ip := fmt.Sprintf("127.77.1.%d", number)
	ports := freePorts(ip, 3)
	added := &vm{name: fmt.Sprintf("front-%d", number), ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	added.file = filepath.Join(world.dir, added.name+".json")
	data, err := json.Marshal(object{
		"node_name": added.name, "role": "gateway", "machine_class": "front", "ip": ip, "zone": "hall-a", "region": "lagos",
		"zones":        object{"hall-a": "lagos"},
		"listen_addrs": object{"front": added.front, "ready": added.ready, "control": fmt.Sprintf("%s:%d", ip, ports[2])},
		"port_range":   []int{world.peerPort, world.peerPort}, "seeds": seeds, "bootstrap": true,
		"limits":       object{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": 1200,
		"bounds": object{
			"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "revoke_fail_closed": true, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 104, "hold_max_ms": 20000,
		},
		"platform_config": object{"address": world.addr, "form": "log", "writes_per_s": 400, "reads_per_s": 2000},
	})
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(added.file, data, 0o600); err != nil {
		panic(err)
	}
	world.vms = append(world.vms, added)
	world.startVM(added)
	return added
}

// rewriteSettings replaces a text in the settings file of a VM.
func (vm *vm) rewriteSettings(before, after string) {
	data, err := os.ReadFile(vm.file)
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(vm.file, []byte(strings.Replace(string(data), before, after, 1)), 0o600); err != nil {
		panic(err)
	}
}

// startVM starts the process of a VM with the command of the deploy file. It reports false once the world is closed.
func (world *world) startVM(vm *vm) bool {
	world.vmMu.Lock()
	defer world.vmMu.Unlock()
	if world.closed {
		return false
	}
	command := exec.Command("target/mw-gateway", "--config", "deploy/gateway.yaml")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTWINCH_NODE_FILE=" + vm.file}
	output := &logWriter{}
	if name := os.Getenv("GATEWAY_LOG"); name != "" {
		file, _ := os.OpenFile(name+"."+vm.name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		command.Stdout, command.Stderr = file, file
	} else {
		command.Stdout, command.Stderr = output, output
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	done := make(chan struct{})
	vm.process, vm.done = command, done
	world.log("platform starts %s, process %d", vm.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		world.log("process of %s has ended: %v; last output: %.600s", vm.name, err, output.tail())
		close(done)
	}()
	return true
}

// ended returns a channel that is closed when the process has ended.
func (world *world) ended(vm *vm) <-chan struct{} {
	world.vmMu.Lock()
	defer world.vmMu.Unlock()
	return vm.done
}

// awaitReady waits until a VM reports that it is ready.
func (vm *vm) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + vm.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// rss returns the resident memory of the process of a VM in MB.
func (vm *vm) rss() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// logWriter keeps the end of what a process writes.
type logWriter struct {
	mu   sync.Mutex
	data []byte
}

func (writer *logWriter) Write(data []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.data = append(writer.data, data...)
	writer.data = writer.data[max(0, len(writer.data)-4096):]
	return len(data), nil
}

func (writer *logWriter) tail() string {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	lines := bytes.Split(bytes.TrimSpace(writer.data), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-2):], []byte(" | ")))
}

// server is a backend server of a service.
type server struct {
	world   *world
	id      string
	address string
	service string
	// forgets says whether the server forgets connections that rested.
	forgets *atomic.Bool
	// answer handles a request that runs.
	answer func(writer http.ResponseWriter, request *http.Request)
}

// addServer starts a backend server and its entry in the store.
func (world *world) addServer(number int, service string, slots int, answer func(http.ResponseWriter, *http.Request)) *server {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.77.2.%d:0", number))
	if err != nil {
		panic(err)
	}
	forgetting := forgettingListener{Listener: listener, forgets: &atomic.Bool{}, rest: 300 * time.Millisecond, reset: func() {
		world.log("server %d has forgotten a connection that rested; what was sent on it is reset and does not run", number)
	}}
	added := &server{forgets: forgetting.forgets, world: world, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), address: listener.Addr().String(), service: service, answer: answer}
	world.servers = append(world.servers, added)
	http := &http.Server{Handler: added}
	go func() { _ = http.Serve(forgetting) }()
	world.closers = append(world.closers, func() { _ = http.Close() })
	world.put("keyed.servers", added.id, object{
		"service": service, "address": added.address, "zone": "hall-a", "version": "1", "slots": slots, "state": "ready", "cold_left_ms": 0, "call_seq": 0,
	})
	return added
}

// ServeHTTP implements http.Handler, as a server of the pages.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		writer.Header().Set("Instance-Id", server.id)
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.world.ran(server.id, id)
	writer.Header().Set("Response-Seal", "seal."+server.id+"."+id)
	server.answer(writer, request)
}
