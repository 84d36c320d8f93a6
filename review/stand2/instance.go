package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
	name, front, ready, peers string
	world                     *world
	settings                  string
	command                   *exec.Cmd
	ended                     chan struct{}
}

// freePorts returns the first of some ports in a row that are free on a loopback address.
func freePorts(ip string, count int) (int, error) {
	for range 200 {
		first := 20000 + rand.IntN(12000)
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
		name: fmt.Sprintf("front-%d", number+1), front: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1), peers: fmt.Sprintf("%s:%d", ip, first+2),
		world: w, settings: filepath.Join(w.dir, fmt.Sprintf("front-%d.json", number+1)),
	}
	data, err := json.Marshal(map[string]any{
		"node": i.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": ip, "zone": "z1", "region": "r", "zones": map[string]string{"z1": "r", "z2": "r", "z3": "r"},
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
	if err := os.WriteFile(i.settings, data, 0o600); err != nil { //nolint:gosec // in the folder of this case
		return nil, err
	}
	return i, i.start()
}

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.world.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // in the folder of this case
	if err != nil {
		return err
	}
	command, ended := exec.Command(i.world.program, "run"), make(chan struct{}) //nolint:gosec,noctx // the program under review
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.world.dir, "MARIGOLDSHED_BOOT=" + i.settings}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	i.command, i.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// restart kills the process and starts it again after a second.
func (i *instance) restart() error {
	i.world.note("%s is killed", i.name)
	i.kill()
	time.Sleep(time.Second)
	i.world.note("%s starts again", i.name)
	return i.start()
}

func (i *instance) kill() {
	_ = i.command.Process.Signal(syscall.SIGKILL)
	<-i.ended
}

func (i *instance) awaitReady() bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/ready", http.NoBody) //nolint:gosec // a loopback address of this case
		if err != nil {
			cancel()
			return false
		}
		response, err := http.DefaultClient.Do(request) //nolint:gosec // a loopback address of this case
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
