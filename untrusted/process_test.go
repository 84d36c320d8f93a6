package untrusted

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Limits of the instance in its settings file, and what follows from them: peak resident memory, and resident memory with the
// bytes that its sockets have received and it has not read, stay within memoryMB; open descriptors within maxDescriptors.
const (
	memoryMB       = 96
	maxDescriptors = 500
)

const (
	host           = "h.example"
	apiKey         = "key-1"
	otherKey       = "key-2" // of another team
	pathPrefix     = "/one/"
	instanceIP     = "127.0.9.1"
	frontPort      = 8340
	readyPort      = 8343
	peerPort       = 7000
	samplePeriod   = 50 * time.Millisecond
	patience       = 90 * time.Second // after which the process counts as hung
	requestTimeout = 4 * time.Second
)

// call is a request that every client may make, with the status of its answer.
type call struct {
	method, url, host, authorization, contentType, body string

	status int
}

// smallJob is a job of one task.
const smallJob = `{"spec":"x","phases":[{"count":1,"cpu":100,"mem_mb":10,"est_ms":100}]}`

// submission returns the call that submits a job of one task with a key.
func submission(id uint64, key string) call {
	return call{
		method: http.MethodPost, url: fmt.Sprintf("http://%s:%d%s%016x", instanceIP, frontPort, pathPrefix, id), host: host,
		authorization: "Token " + key, body: smallJob, status: http.StatusOK,
	}
}

// question returns the call that asks for the state of a job, which only the owner of its pool can answer.
func question(id uint64, key string) call {
	c := submission(id, key)
	c.method, c.body = http.MethodGet, ""
	return c
}

// program is what a process runs, and a request that it has to answer.
type program struct {
	binary   string
	args     []string
	ordinary call
}

// process is one running instance and the largest use of resources that has been seen.
type process struct {
	program
	command *exec.Cmd
	log     string
	exited  chan struct{}
	client  *http.Client

	mu          sync.Mutex
	peakMB      int // resident memory
	peakTotalMB int // resident memory and bytes that are received and not read
	descriptors int
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "marigoldshed")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return binary
}

// limits are the limits of the instance in its settings file.
type limits struct{ memoryMB, descriptors int }

// startProcess starts an instance with a store of its own and waits until it accepts jobs.
func startProcess(t *testing.T, binary string, l limits) *process {
	t.Helper()
	return startInstance(t, binary, newJobStore(), l)
}

// newJobStore returns a store with a configuration of two teams.
func newJobStore() *store {
	s := newStore()
	s.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r1", "host": host, "path_prefix": pathPrefix, "backend": "p1", "timeout_ms": 3000, "target_latency_ms": 600, "attempts": 3, "stretch": 1.6,
		}},
		"backends": []any{map[string]any{"name": "p1"}},
		"limits":   map[string]any{"max_body_bytes": bodyBytes},
		"tenants": []any{
			map[string]any{"name": "t1", "api_keys": []string{apiKey}, "weight": 10},
			map[string]any{"name": "t2", "api_keys": []string{otherKey}, "weight": 10},
		},
	})
	return s
}

// startInstance starts an instance and waits until it accepts jobs.
func startInstance(t *testing.T, binary string, s *store, l limits) *process {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	data, err := json.Marshal(map[string]any{
		"node": "front-1", "role": "entry", "class": "front", "ip": instanceIP, "zone": "z1", "region": "r", "heartbeat_ms": 300,
		"listen":              map[string]string{"front": fmt.Sprintf("%s:%d", instanceIP, frontPort), "ready": fmt.Sprintf("%s:%d", instanceIP, readyPort)},
		"internal_port_range": []int{peerPort, peerPort + 15}, "orders": "rpc",
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": l.memoryMB, "max_fds": l.descriptors},
		"bounds":   map[string]any{"grace_s": 4, "hold_max_ms": 4000, "status_s": 120, "lease_ms": 1000, "far_x": 3, "cancel_ms": 3000},
		"platform": map[string]any{"addr": strings.TrimPrefix(server.URL, "http://"), "ttl_min_ms": 1000},
		"cloud":    map[string]any{"addr": strings.TrimPrefix(server.URL, "http://")},
	})
	if err != nil {
		t.Fatal(err)
	}
	return startProgram(t, program{
		binary: binary, args: []string{"run", "--settings", writeSettings(t, data)}, ordinary: submission(1, apiKey),
	})
}

func writeSettings(t *testing.T, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startProgram starts a process and waits until it answers its ordinary request.
func startProgram(t *testing.T, runs program) *process {
	t.Helper()
	p := &process{
		program: runs, log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	started := make(chan error)
	go p.run(started)
	if err := <-started; err != nil {
		t.Fatalf("starting the process: %v", err)
	}
	t.Cleanup(p.kill)
	p.awaitOrdinaryRequest(t, "before the load")
	go p.sample(t.Context())
	return p
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// run runs the process. It locks its OS thread because Pdeathsig kills the process when the thread that started it ends,
// which also ends the process when the test is killed.
func (p *process) run(started chan<- error) {
	runtime.LockOSThread()
	defer close(p.exited)
	log, err := os.Create(p.log)
	if err != nil {
		started <- err
		return
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(p.log)}
	err = p.command.Start()
	started <- err
	if err == nil {
		_ = p.command.Wait()
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample records the largest use of resources until the context ends.
func (p *process) sample(ctx context.Context) {
	for ctx.Err() == nil && p.alive() {
		pid := p.command.Process.Pid
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		total := statusField(status, "VmRSS:")<<10 + unreadBytes()
		p.mu.Lock()
		p.peakMB = max(p.peakMB, statusField(status, "VmHWM:")>>10)
		p.peakTotalMB = max(p.peakTotalMB, total>>20)
		p.descriptors = max(p.descriptors, len(descriptors))
		p.mu.Unlock()
		time.Sleep(samplePeriod)
	}
}

// statusField returns a field of /proc/PID/status, in KB.
func statusField(status []byte, name string) int {
	_, rest, _ := strings.Cut(string(status), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(fields[0])
	return n
}

// unreadBytes returns the bytes that sockets on the instance's address have received and the process has not read.
func unreadBytes() int {
	data, _ := os.ReadFile("/proc/net/tcp")
	sum := 0
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], "0109007F:") { // instanceIP
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		if fields[3] != "0A" { // a listening socket shows the length of its queue
			sum += int(n)
		}
	}
	return sum
}

// awaitOrdinaryRequest makes the ordinary request until it is answered.
func (p *process) awaitOrdinaryRequest(t *testing.T, when string) {
	t.Helper()
	p.await(t, p.ordinary, when)
}

// await makes a call until it is answered with its status.
func (p *process) await(t *testing.T, c call, when string) {
	t.Helper()
	last := "no attempt"
	for until := time.Now().Add(patience); time.Now().Before(until) && p.alive(); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequestWithContext(t.Context(), c.method, c.url, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		if c.host != "" {
			request.Host = c.host
		}
		for name, value := range map[string]string{"Authorization": c.authorization, "Content-Type": c.contentType} {
			if value != "" {
				request.Header.Set(name, value)
			}
		}
		response, err := p.client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == c.status {
			return
		}
		last = response.Status
	}
	t.Errorf("no ordinary request was answered %s: %s", when, last)
}

// check fails the test if the process has ended or has exceeded its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	time.Sleep(2 * samplePeriod)
	if !p.alive() {
		data, _ := os.ReadFile(p.log)
		t.Errorf("the process has ended: %s", data[max(0, len(data)-2000):])
	}
	if data, _ := os.ReadFile(p.log); bytes.Contains(data, []byte("panic")) {
		t.Error("the process's log has a panic")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("peak resident memory %d MB, with unread bytes %d MB (limit %d MB), %d descriptors (limit %d)",
		p.peakMB, p.peakTotalMB, memoryMB, p.descriptors, maxDescriptors)
	if p.peakMB > memoryMB || p.peakTotalMB > memoryMB {
		t.Errorf("memory: %d MB resident, %d MB with unread bytes, limit %d MB", p.peakMB, p.peakTotalMB, memoryMB)
	}
	if p.descriptors > maxDescriptors {
		t.Errorf("%d open descriptors, limit %d", p.descriptors, maxDescriptors)
	}
}

// awaitAnswer sends requests to a listener until one is answered.
func (p *process) awaitAnswer(t *testing.T, l listener) {
	t.Helper()
	url := fmt.Sprintf("http://%s:%d%s", instanceIP, l.port, l.path)
	last := "no attempt"
	for until := time.Now().Add(patience); time.Now().Before(until) && p.alive(); time.Sleep(100 * time.Millisecond) {
		response, err := p.client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			return
		}
		last = err.Error()
	}
	t.Errorf("the listener %s gives no answer: %s", l.name, last)
}
