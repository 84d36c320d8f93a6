package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// instance is one process of the program.
type instance struct {
	name, front, ready string
	command            *exec.Cmd
	ended              chan struct{}
}

// freePorts returns the first of some ports in a row that are free on a loopback address.
func freePorts(ip string, count int) (int, error) {
	for first := 20000 + os.Getpid()%20000; first < 60000; first += count {
		free := true
		for n := range count {
			listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", ip, first+n))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, errNotRun
}

func newInstance(w *world, number int, store, cloud string) (*instance, error) {
	ip := fmt.Sprintf("127.0.0.%d", 101+number)
	first, err := freePorts(ip, 18)
	if err != nil {
		return nil, err
	}
	i := &instance{
		name: fmt.Sprintf("front-%d", number+1), front: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1), ended: make(chan struct{}),
	}
	settings := filepath.Join(w.dir, i.name+".json")
	data, err := json.Marshal(map[string]any{
		"node": i.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": ip, "zone": "z1", "region": "r", "zones": map[string]string{"z1": "r"},
		"listen":              map[string]string{"front": i.front, "ready": i.ready},
		"internal_port_range": []int{first + 2, first + 17}, "bootstrap": true, "orders": "rpc", "heartbeat_ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"bounds": map[string]any{
			"grace_s": 6, "hold_max_ms": longestLease.Milliseconds(), "status_s": 120, "lease_ms": 3000, "far_x": 3, "cancel_ms": 3000, "evac_ms": 5000,
			"contact_ms": 3000, "finish_s": 14, "visible_ms": 3000, "max_skew_ms": 5000, "fencing": false, "move_s": 1.5, "upkeep_s": 2,
		},
		"platform": map[string]any{"addr": store, "form": "log", "ttl_min_ms": 1000, "record_bytes": 262144, "call_bytes": 2097152},
		"cloud":    map[string]any{"addr": cloud, "rate_per_s": 64, "duty_per_s": 64},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, i.name+".log")) //nolint:gosec // in the folder of this case
	if err != nil {
		return nil, err
	}
	i.command = exec.Command(w.program, "run") //nolint:gosec,noctx // the program under review
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "MARIGOLDSHED_BOOT=" + settings}
	if err := i.command.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	go func() {
		_ = i.command.Wait()
		_ = log.Close()
		close(i.ended)
	}()
	return i, nil
}

func (i *instance) kill() {
	_ = i.command.Process.Signal(syscall.SIGKILL)
	<-i.ended
}

func (i *instance) awaitReady() bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/ready", http.NoBody)
		if err != nil {
			cancel()
			return false
		}
		response, err := http.DefaultClient.Do(request)
		cancel()
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
