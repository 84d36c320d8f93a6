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
	"sync/atomic"
	"syscall"
	"time"
)

// storeMode says how the platform's log treats one instance.
type storeMode struct {
	silent, refuse, losesAnswers bool
	delay                        time.Duration
}

// node is one instance of the program under review.
type node struct {
	world       *world
	name        string
	front       string
	ready       string
	peer        string
	settings    string
	log         string
	binary      string
	storeMode   atomic.Value
	lostAnswers atomic.Int64
	command     *exec.Cmd
	exited      chan struct{}
}

// listen listens on a port of the loopback address, or on any free one.
func listen(port int) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

func serveOn(handler http.Handler) (string, error) {
	listener, err := listen(0)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePorts returns the first of a range of free ports.
func freePorts(count int) (int, error) {
	for range 100 {
		first, err := listen(0)
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		held := []net.Listener{first}
		for i := 1; i < count; i++ {
			next, err := listen(port + i)
			if err != nil {
				break
			}
			held = append(held, next)
		}
		for _, l := range held {
			_ = l.Close()
		}
		if len(held) == count {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

type nodeConfig struct {
	number int
	zones  []string
	cloud  string
	advice string
	folder string
	binary string
}

func (w *world) addNode(c nodeConfig) (*node, error) {
	n := &node{world: w, name: fmt.Sprintf("front-%d", c.number), binary: c.binary}
	n.storeMode.Store(storeMode{})
	address, err := serveOn(w.store.handler(n))
	if err != nil {
		return nil, err
	}
	port, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	n.front, n.ready, n.peer = at(0), at(1), at(2)
	zones := map[string]string{}
	for _, z := range c.zones {
		zones[z] = "r"
	}
	data, err := json.Marshal(map[string]any{
		"node": n.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": "127.0.0.1",
		"zone": c.zones[c.number%len(c.zones)], "region": "r", "zones": zones,
		"listen":              map[string]string{"front": n.front, "ready": n.ready},
		"internal_port_range": []int{port + 2, port + 3}, "seeds": []string{}, "bootstrap": true,
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"orders": "rpc", "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_ms": 2000,
			"evac_ms": 5000, "recovery_s": 12, "hold_max_ms": 10000, "stop_ms": 900, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 3, "checkpoint_s": 1, "restore_ms": 100, "notice_ms": 4500,
			"move_s": 1.5, "upkeep_s": 2, "fencing": false, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
		},
		"advice": c.advice,
		"platform": map[string]any{
			"addr": address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": partCount, "append_ms": 2.0,
			"record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
		"cloud": map[string]any{"addr": c.cloud, "rate_per_s": 64.0, "duties": []string{}, "duty_per_s": 64.0},
	})
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(c.folder, n.name+".json")
	n.log = filepath.Join(c.folder, n.name+".log")
	w.nodes = append(w.nodes, n)
	return n, os.WriteFile(n.settings, data, 0o600)
}

// start starts the process.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(n.binary, "run") //nolint:gosec,noctx // the program under review
	n.command.Stdout, n.command.Stderr = log, log
	n.command.Env = []string{"MARIGOLDSHED_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH")}
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.exited = make(chan struct{})
	if err := n.command.Start(); err != nil {
		return err
	}
	go n.wait(n.command, n.exited, log)
	n.world.say("%s started", n.name)
	return nil
}

func (n *node) wait(command *exec.Cmd, exited chan struct{}, log *os.File) {
	err := command.Wait()
	_ = log.Close()
	n.world.say("%s ended: %v", n.name, err)
	close(exited)
}

func (n *node) signal(s syscall.Signal) {
	n.world.say("%s gets %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/ready") //nolint:noctx // it has a time-out
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.isReady()
		}
		if all {
			return true
		}
	}
	return false
}
