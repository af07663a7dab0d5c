package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// Ports of all machines. Each process and stand-in has a loopback address of its own.
const (
	portFront  = 18227
	portReady  = 18220
	portPeer   = 17340
	portStore  = 18223
	portServer = 18080
)

// What the configuration holds.
const (
	host        = "register.example"
	service     = "registry-app"
	tenant      = "register"
	key         = "key-of-register"
	pathSafe    = "/receipt/"
	pathUnsafe  = "/lookup/"
	healthPath  = "/health"
	routeTimeMS = 4000
)

// world is the platform's store, the servers, the gateways and the record of one run.
type world struct {
	gateway, config string
	// dir is the temporary folder for settings files and logs.
	dir string
	// second is the second byte of all loopback addresses.
	second    int
	store     *metastore.Store
	record    *record
	processes []*exec.Cmd
	closers   []func()
}

// newWorld starts the store, writes the configuration, and opens the record in recordDir.
func newWorld(gateway, config, recordDir string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(filepath.Join(recordDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	world := &world{gateway: gateway, config: config, dir: dir, store: metastore.New(), record: record}
	listener, err := world.takeAddresses()
	if err != nil {
		world.close()
		return nil, err
	}
	server := &http.Server{Handler: world.store}
	go func() { _ = server.Serve(listener) }()
	world.closers = append(world.closers, func() { _ = server.Close() })
	return world, world.configure()
}

// takeAddresses chooses loopback addresses that nobody uses, and returns the listener of the store.
func (world *world) takeAddresses() (net.Listener, error) {
	var err error
	for range 50 {
		world.second = 16 + rand.IntN(200)
		var listener net.Listener
		if listener, err = net.Listen("tcp4", world.address(0, 1, portStore)); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

func (world *world) address(group, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", world.second, group, number, port)
}

// configure writes the first configuration to the store.
func (world *world) configure() error {
	route := func(name, path, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "route_kind": kind, "service": service, "priority": 1,
			"timeout_ms": routeTimeMS, "target_latency_ms": 300, "max_attempts": attempts,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version":  3,
		"routes":   []any{route("receipt", pathSafe, "safe", 2), route("lookup", pathUnsafe, "unsafe", 1)},
		"services": []any{map[string]any{"name": service, "health_path": healthPath, "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}}},
	})
	if err != nil {
		return err
	}
	world.store.Put("keyed.op", "config", value)
	return nil
}

// list writes the entry of a server to the store.
func (world *world) list(id, address string) error {
	value, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "suva-a", "version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0, "call_seq": 0,
	})
	if err != nil {
		return err
	}
	world.store.Put("keyed.servers", id, value)
	return nil
}

// startGateways starts the gateways of count machines, and waits until all are ready and know each other.
func (world *world) startGateways(count int) error {
	for number := range count {
		if err := world.startGateway(number + 1); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for number := range count {
		for !world.isReady(number+1, count) {
			if time.Now().After(deadline) {
				return errors.New("gateways are not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (world *world) startGateway(number int) error {
	ip := fmt.Sprintf("127.%d.1.%d", world.second, number)
	name := fmt.Sprintf("front-suva-a-%d", number)
	settings, err := json.Marshal(map[string]any{
		"node_name": name, "role": "gateway", "machine_class": "front", "ip": ip, "zone": "suva-a", "region": "viti-central",
		"zones":        map[string]string{"suva-a": "viti-central"},
		"listen_addrs": map[string]string{"front": world.address(1, number, portFront), "ready": world.address(1, number, portReady)},
		"port_range":   []int{portPeer, portPeer + 15},
		"seeds":        []string{world.address(1, 1, portReady)}, "bootstrap": true,
		"limits":       map[string]any{"memory_mb": 284, "link_mbps": 1000.0, "max_fds": 4200},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{
			"drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 8, "revoke_ms": 5000, "revoke_fail_closed": true,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 100, "hold_max_ms": 20000,
		},
		"platform_config": map[string]any{"address": world.address(0, 1, portStore)},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(world.dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(world.dir, name+".log"))
	if err != nil {
		return err
	}
	world.closers = append(world.closers, func() { _ = output.Close() })
	command := exec.Command(world.gateway, "--config", world.config)
	command.Env = append(os.Environ(), "MASTWINCH_NODE_FILE="+file)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	world.processes = append(world.processes, command)
	return nil
}

// isReady reports whether a gateway is ready and receives the heartbeats of all others.
func (world *world) isReady(number, members int) bool {
	base := "http://" + world.address(1, number, portReady)
	response, err := http.Get(base + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	response, err = http.Get(base + "/status")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	var status struct {
		Members int `json:"members"`
	}
	return json.Unmarshal(data, &status) == nil && status.Members >= members
}

// close ends all processes and stand-ins, and removes the temporary folder unless KEEP is set.
func (world *world) close() {
	for _, process := range world.processes {
		_ = process.Process.Kill()
	}
	for _, process := range world.processes {
		_ = process.Wait()
	}
	for _, closer := range world.closers {
		closer()
	}
	world.record.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", world.dir)
		return
	}
	_ = os.RemoveAll(world.dir)
}

// hasTrouble reports whether the case is played with its disruption.
func hasTrouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// record writes what was sent, answered and run, in the order in which it happened.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (record *record) add(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, args...))
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	_ = record.file.Close()
}
