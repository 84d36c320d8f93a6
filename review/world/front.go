package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Ports of the entry instances, each of which has a loopback address of its own.
const (
	frontPort    = 8340
	readyPort    = 8343
	internalPort = 7000
	restartDelay = time.Second // after which the platform restarts a process that has ended
)

// front is one entry instance: a process of the project.
type front struct {
	world    *world
	name     string
	ip       string
	settings string

	mu      sync.Mutex
	process *os.Process
	ended   bool // no restart any more
}

func (w *world) newFront(number int, zone string) (*front, error) {
	f := &front{world: w, name: fmt.Sprintf("front-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", w.network, number+1)}
	f.settings = filepath.Join(w.temporary, f.name+".json")
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "visayas"
	}
	data, err := json.Marshal(map[string]any{
		"node": f.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": f.ip, "zone": zone, "region": "visayas",
		"zones":               zones,
		"listen":              map[string]string{"front": fmt.Sprintf("%s:%d", f.ip, frontPort), "ready": fmt.Sprintf("%s:%d", f.ip, readyPort)},
		"internal_port_range": []int{internalPort, internalPort + 15}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "orders": "rpc",
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_ms": 2000, "evac_ms": 5000, "hold_max_ms": holdMax.Milliseconds(),
			"stop_ms": 900, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 3,
			"move_s": 1.5, "upkeep_s": 2, "fencing": false, "lease_ms": 3000,
		},
		"platform": map[string]any{
			"addr": w.storeAddr, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": storeParts, "append_ms": 2.0,
			"record_bytes": recordBytes, "call_bytes": callBytes, "keep_s": 300, "ttl_min_ms": 1000,
		},
		"cloud": map[string]any{"addr": w.cloudAddr, "rate_per_s": 64.0, "duty_per_s": 64.0},
	})
	if err != nil {
		return nil, err
	}
	return f, os.WriteFile(f.settings, data, 0o600)
}

// supervise runs the process and restarts it when it ends, as the platform does. It keeps its OS thread, so that the
// kernel ends the process with this one.
func (f *front) supervise(command string, log *os.File, done *sync.WaitGroup) {
	defer done.Done()
	runtime.LockOSThread()
	for {
		f.mu.Lock()
		if f.ended {
			f.mu.Unlock()
			return
		}
		run := exec.Command(command, "run")
		run.Stdout, run.Stderr = log, log
		run.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		run.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.world.temporary, "MARIGOLDSHED_BOOT=" + f.settings}
		if err := run.Start(); err != nil {
			f.mu.Unlock()
			f.world.note("%s could not start: %v", f.name, err)
			return
		}
		f.process = run.Process
		f.mu.Unlock()
		err := run.Wait()
		f.mu.Lock()
		f.process = nil
		ended := f.ended
		f.mu.Unlock()
		if !ended {
			f.world.note("%s has ended: %v", f.name, err)
		}
		time.Sleep(restartDelay)
	}
}

func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.process != nil {
		_ = f.process.Signal(s)
	}
}

func (f *front) stop() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.signal(syscall.SIGKILL)
}

// ready reports whether the instance says that it is ready, as the platform's balancer asks.
func (f *front) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", f.ip, readyPort), nil)
	if err != nil {
		return false
	}
	response, err := f.world.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
