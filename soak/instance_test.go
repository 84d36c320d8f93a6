package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// instance is one process of the program.
type instance struct {
	name     string
	ip       string
	settings string
	binary   string
	proxy    *proxy // to the store
	view     *view  // of the store
	logs     string

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
}

const (
	frontPort = 8340
	readyPort = 8343
	peerPort  = 7000
)

// newInstance writes the settings of an instance on a loopback address of its own.
func newInstance(t *testing.T, binary string, v *view, cloud string, number int) *instance {
	t.Helper()
	store := httptest.NewServer(v)
	t.Cleanup(store.CloseClientConnections)
	i := &instance{
		name: fmt.Sprintf("front-%d", number), ip: instanceIP(number), binary: binary, proxy: newProxy(t, strings.TrimPrefix(store.URL, "http://")), view: v,
	}
	dir := t.TempDir()
	i.settings, i.logs = filepath.Join(dir, "settings.json"), filepath.Join(dir, "log")
	data, err := json.Marshal(map[string]any{
		"node": i.name, "role": "entry", "class": "front", "ip": i.ip, "zone": "z1", "region": "r", "heartbeat_ms": heartbeat.Milliseconds(),
		"listen":              map[string]string{"front": fmt.Sprintf("%s:%d", i.ip, frontPort), "ready": fmt.Sprintf("%s:%d", i.ip, readyPort)},
		"internal_port_range": []int{peerPort, peerPort + 15}, "orders": "rpc",
		// Equal weights would leave the choice of successors to a hash of the addresses, which differ between views.
		"limits":   map[string]any{"cpu_share": 1 - float64(number)/100, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"bounds":   map[string]any{"grace_s": 4, "hold_max_ms": longestLease.Milliseconds(), "status_s": 120, "lease_ms": 1000, "far_x": 3, "cancel_ms": cancelBound.Milliseconds()},
		"platform": map[string]any{"addr": i.proxy.address(), "ttl_min_ms": 1000},
		"cloud":    map[string]any{"addr": cloud},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(i.settings, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return i
}

// start runs the process and restarts it whenever it ends, until stop is called.
func (i *instance) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(i.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	go i.superviseProcess(t, log)
}

// superviseProcess runs and restarts the process. It locks its OS thread because Pdeathsig kills the process when
// the thread that started it ends, which also ends the process when the test is killed.
func (i *instance) superviseProcess(t *testing.T, log *os.File) {
	runtime.LockOSThread()
	for {
		i.mu.Lock()
		if i.stopped {
			i.mu.Unlock()
			return
		}
		command := exec.Command(i.binary, "run", "--settings", i.settings) //nolint:gosec,noctx // the binary was built by this test
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(i.settings)}
		if err := command.Start(); err != nil {
			i.mu.Unlock()
			t.Errorf("starting %s: %v", i.name, err)
			return
		}
		i.command = command
		i.mu.Unlock()
		_ = command.Wait()
		time.Sleep(300 * time.Millisecond)
	}
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(s)
	}
}

func (i *instance) stop() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
}

// panicText returns the start of the process's panic message, or an empty string when it did not panic.
func (i *instance) panicText() string {
	data, err := os.ReadFile(i.logs)
	if err != nil {
		return err.Error()
	}
	at := bytes.Index(data, []byte("panic:"))
	if at < 0 {
		return ""
	}
	return string(data[at:min(len(data), at+600)])
}
