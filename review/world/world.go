package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	sparePool = "admin"
	clientKey = "sjnbanfqasnmgkcuyj8p"
	startWait = 20 * time.Second
)

var (
	zoneNames  = []string{"cebu-a", "cebu-b", "mandaue"}
	poolNames  = []string{"inventory", "orders", "quoting", "reservations"}
	poolSizes  = []int{9, 12, 9, 11}
	frontCount = 8
	spareSize  = 8
)

// queue is a route of the config.
type queue struct{ name, host, prefix, backend string }

// world is one deployment.
type world struct {
	check     *checker
	store     *store
	http      *http.Client
	network   string // first three bytes of the instances' addresses
	temporary string
	storeAddr string
	cloudAddr string
	fronts    []*front
	running   sync.WaitGroup

	gangs struct {
		mu      sync.Mutex
		present map[string][]gangMember
	}

	mu       sync.Mutex
	serial   int
	turn     int
	lastSent time.Time // when a client last handed a job in

	secondKind int // workers of the first service that are of kind b
	machines   []*machine
	queues     []queue
	version    int
}

func (w *world) note(format string, args ...any) { w.check.note(format, args...) }

// newWorld starts the platform and the workers.
func newWorld(recordPath, temporary string, secondKind int) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		secondKind: secondKind,
		check:      &checker{record: file, began: time.Now(), jobs: map[string]*jobInfo{}}, store: newStore(), temporary: temporary,
		http:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		network: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250),
	}
	w.gangs.present = map[string][]gangMember{}
	if w.storeAddr, err = serve(w.store); err != nil {
		return nil, err
	}
	if w.cloudAddr, err = serve(w.machinesHandler()); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, pool := range poolNames {
		w.addMachines(pool, poolSizes[i])
	}
	w.addMachines(sparePool, spareSize)
	for i, pool := range poolNames {
		w.queues = append(w.queues, queue{name: fmt.Sprintf("r-%d", i), host: "pule25.example", prefix: fmt.Sprintf("/puxa%d/", i), backend: pool})
	}
	return w, nil
}

// serve starts an HTTP server of the platform on a free loopback port.
func serve(handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (w *world) addMachines(pool string, count int) {
	for range count {
		n := len(w.machines)
		m := &machine{name: fmt.Sprintf("m-%d", n), pool: pool, kind: "a", zone: zoneNames[n%len(zoneNames)], rack: fmt.Sprintf("r1-%d", n/4)}
		if pool == poolNames[0] && len(w.machines) < w.secondKind {
			m.kind = "b"
		}
		w.machines = append(w.machines, m)
		w.startWorker(m)
	}
}

// writeConfig publishes the next version of the config, as the operator does.
func (w *world) writeConfig() {
	w.mu.Lock()
	w.version += 2
	routes := []map[string]any{}
	for _, q := range w.queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 0, "backend": q.backend, "attempts": 4, "stretch": 1.6, "public": false,
		})
	}
	backends := []map[string]any{}
	for _, pool := range append([]string{sparePool}, poolNames...) {
		backends = append(backends, map[string]any{
			"name": pool, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false,
			"spare": pool == sparePool,
		})
	}
	config := map[string]any{
		"version": w.version, "routes": routes, "backends": backends,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "cugo130", "api_keys": []string{clientKey}, "priority": 1, "weight": 61, "cap": resources(0, 0)},
		},
	}
	version := w.version
	w.mu.Unlock()
	w.store.put("op", "config", config)
	text, _ := json.Marshal(routes)
	w.note("operator: version %d of the config is confirmed; routes %s", version, text)
}

// moveQueue sends a queue to another service from the next version of the config on.
func (w *world) moveQueue(number int, backend string) queue {
	w.mu.Lock()
	w.queues[number].backend = backend
	q := w.queues[number]
	w.mu.Unlock()
	w.writeConfig()
	return q
}

// startFronts starts the entry instances and waits until all are ready.
func (w *world) startFronts(command string) error {
	log, err := os.Create(w.temporary + "/fronts.log")
	if err != nil {
		return err
	}
	for i := range frontCount {
		f, err := w.newFront(i, zoneNames[i%len(zoneNames)])
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	for _, f := range w.fronts {
		w.running.Add(1)
		go f.supervise(command, log, &w.running)
	}
	if !w.await(startWait, w.allReady) {
		return fmt.Errorf("the instances were not ready after %v", startWait)
	}
	w.note("all %d instances are ready", len(w.fronts))
	if !w.await(startWait, w.allOwned) {
		return fmt.Errorf("not every service has an owner after %v", startWait)
	}
	time.Sleep(3 * time.Second)
	return nil
}

func (w *world) allReady() bool {
	for _, f := range w.fronts {
		if !f.ready() {
			return false
		}
	}
	return true
}

func (w *world) allOwned() bool {
	for _, pool := range poolNames {
		if w.ownerOf(pool) == nil {
			return false
		}
	}
	return true
}

// ownerOf returns the instance that gives the orders to a service's workers, by the system's own table in the store.
func (w *world) ownerOf(pool string) *front {
	address := string(w.store.newestValue("owners", 0, pool))
	for _, f := range w.fronts {
		if address == fmt.Sprintf("%s:%d", f.ip, internalPort) {
			return f
		}
	}
	return nil
}

// await waits until a condition holds, and reports whether it did.
func (w *world) await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// kill ends the process of an instance; the platform restarts it.
func (w *world) kill(f *front) {
	w.note("platform: the process of %s is killed", f.name)
	f.signal(syscall.SIGKILL)
}

// close ends all processes.
func (w *world) close() {
	for _, f := range w.fronts {
		f.stop()
	}
	w.running.Wait()
	_ = w.check.record.Close()
}
