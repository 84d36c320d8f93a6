package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Settings of a small deployment, as the pages give them.
const (
	heartbeat    = 1500 * time.Millisecond
	longestLease = 6 * time.Second
	moveTime     = 1500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	callTimeout  = 3 * time.Second
	apiKey       = "key-1"
	host         = "h.example"
	prefix       = "/jobs/"
	poolName     = "p1"
	spareName    = "spare"
)

// world holds the stand-ins and the processes of one case.
type world struct {
	dir       string
	program   string
	trouble   bool
	started   time.Time
	store     *store
	cloud     *cloud
	instances []*instance
	client    *http.Client

	mu     sync.Mutex
	record *os.File
	done   map[string]bool // tasks that have ended done
	cause  map[string]int  // by task, runs that ended failed or with their worker
}

func newWorld(program, path string, trouble bool) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path) //nolint:gosec // the caller's choice
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, program: program, trouble: trouble, started: time.Now(), record: record, done: map[string]bool{}, cause: map[string]int{},
		client: &http.Client{Timeout: callTimeout + time.Second},
	}
	w.store = newStore()
	w.cloud = &cloud{world: w}
	return w, nil
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) recordDone(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[task] = true
}

func (w *world) recordCause(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cause[task]++
}

// causes returns how many runs of a task have ended failed or with their worker.
func (w *world) causes(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cause[task]
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	w.cloud.close()
	_ = os.RemoveAll(w.dir) //nolint:gosec // the folder of this case
	_ = w.record.Close()
}

// serve serves a handler on a free loopback port and returns its address.
func serve(h http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// configure writes the operators' configuration: one queue, one pool and the spare pool.
func (w *world) configure() {
	w.store.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r1", "host": host, "path_prefix": prefix, "backend": poolName, "timeout_ms": 3000,
			"target_latency_ms": 600, "attempts": 4, "stretch": 1.6, "priority": 0,
		}},
		"backends": []any{map[string]any{"name": poolName}, map[string]any{"name": spareName, "spare": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{apiKey}, "weight": 10, "cap": resources(0, 0)}},
	})
}

// start starts the instances and waits until all are ready.
func (w *world) start(count int) error {
	w.configure()
	storeAddress, err := serve(w.store)
	if err != nil {
		return err
	}
	cloudAddress, err := serve(w.cloud)
	if err != nil {
		return err
	}
	for n := range count {
		i, err := newInstance(w, n, storeAddress, cloudAddress)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	for _, i := range w.instances {
		if !i.awaitReady() {
			return fmt.Errorf("%w: %s is not ready", errNotRun, i.name)
		}
	}
	w.note("%d instances are ready", count)
	return nil
}

// call sends one request to an instance; status 0 means that no complete answer came.
func (w *world) call(i *instance, method, id string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+prefix+id, bytes.NewReader(data)) //nolint:gosec // a loopback address of this case
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Marigoldshed-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := w.client.Do(request) //nolint:gosec // a loopback address of this case
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var answer map[string]any
	_ = json.Unmarshal(text, &answer)
	return response.StatusCode, answer
}

func resources(cpu, mb int) map[string]int { return map[string]int{"cpu": cpu, "mem_mb": mb, "gpu": 0} }
