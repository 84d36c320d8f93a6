package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The usual size is what CI has time for; by hand: go test ./soak -soak.seeds 50 -soak.first 1000 -soak.for 20s -timeout 2h.
var (
	seeds  = flag.Int("soak.seeds", 1, "seeds to play")
	first  = flag.Uint64("soak.first", 1, "first seed")
	length = flag.Duration("soak.for", 8*time.Second, "time of harm in each")
	keep   = flag.String("soak.logs", "", "directory for the logs of seeds that broke a promise")
)

// regressions are seeds that ever broke a promise, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

const (
	instances  = 3
	callers    = 6
	tries      = 5
	patience   = 3 * time.Second
	finishTime = 45 * time.Second // for all accepted jobs once the harm is over
	key        = "key-1"
)

// TestSoak does random harm to three instances under load and checks what callers and workers see.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "marigoldshed")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..") //nolint:gosec // a path of this test
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression %d", r.seed), func(t *testing.T) { play(t, binary, r.seed) })
	}
	for n := range *seeds {
		seed := *first + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

// scene is one play.
type scene struct {
	store     *store
	fleet     *fleet
	ledger    *ledger
	instances []*instance
	client    *http.Client
	random    *rand.Rand // of the harm; used by one goroutine
}

func play(t *testing.T, binary string, seed uint64) {
	s := &scene{
		store: newStore(seed), ledger: newLedger(), random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Timeout: patience + 500*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	s.fleet = newFleet(t, s.store, s.ledger, seed)
	store := httptest.NewServer(s.store)
	cloud := httptest.NewServer(s.fleet.handler(t))
	t.Cleanup(func() { store.CloseClientConnections(); cloud.CloseClientConnections() })
	s.configure()
	for n := range instances {
		i := newInstance(t, binary, strings.TrimPrefix(store.URL, "http://"), strings.TrimPrefix(cloud.URL, "http://"), n)
		s.instances = append(s.instances, i)
		i.start(t)
		t.Cleanup(i.stop)
	}
	s.awaitReady(t)
	ctx, cancel := context.WithTimeout(t.Context(), *length)
	defer cancel()
	longRunning := s.submitLongRunning()
	var wait sync.WaitGroup
	for n := range callers {
		wait.Go(func() { s.call(ctx, rand.New(rand.NewPCG(seed, uint64(10+n)))) })
	}
	harm := s.harm(ctx, t)
	wait.Wait()
	s.heal()
	s.finish(t, longRunning)
	s.judge(t, seed, harm)
}

func (s *scene) configure() {
	route := func(name, prefix, pool string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "backend": pool, "timeout_ms": 3000, "target_latency_ms": 600, "attempts": 3, "stretch": 1.6,
		}
	}
	s.store.put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{route("r1", "/one/", "p1"), route("r2", "/two/", "p2")},
		"backends": []any{map[string]any{"name": "p1"}, map[string]any{"name": "p2"}, map[string]any{"name": spare, "spare": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{key}, "weight": 10, "cap": resources(0, 0)}},
	})
}

func (s *scene) awaitReady(t *testing.T) {
	t.Helper()
	for _, i := range s.instances {
		ready := false
		for until := time.Now().Add(15 * time.Second); !ready && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			status, _ := s.ask(t.Context(), http.MethodGet, fmt.Sprintf("http://%s:%d/ready", i.ip, readyPort), nil)
			ready = status == http.StatusOK
		}
		if !ready {
			t.Fatalf("%s is not ready", i.name)
		}
	}
}

// ask sends one call; status 0 is no answer.
func (s *scene) ask(ctx context.Context, method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Marigoldshed-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	response, err := s.client.Do(request) //nolint:gosec // an address of this test
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

func (s *scene) url(i *instance, j *job) string {
	return fmt.Sprintf("http://%s:%d%s%s", i.ip, frontPort, j.prefix, j.id)
}

// call hands in one job after the other.
func (s *scene) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		j := &job{id: fmt.Sprintf("%016x", random.Uint64()), prefix: []string{"/one/", "/two/"}[random.IntN(2)], done: map[string]bool{}}
		j.spec = "spec of " + j.id
		j.phases = []phase{{Count: 1 + random.IntN(5), CPU: 300 + random.IntN(700), MemMB: 200, EstMS: 200 + random.IntN(500)}}
		if random.IntN(2) == 0 {
			j.phases = append(j.phases, phase{Count: 1 + random.IntN(3), CPU: 500, MemMB: 100, EstMS: 200, After: []int{0}})
		}
		s.handIn(j, random)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// handIn tries at one instance after the other, as a caller does whose answers get lost.
func (s *scene) handIn(j *job, random *rand.Rand) {
	s.ledger.add(j)
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "phases": j.phases})
	verdict := refused
	for range tries {
		status, _ := s.ask(context.Background(), http.MethodPost, s.url(s.instances[random.IntN(len(s.instances))], j), body)
		switch status {
		case http.StatusOK:
			s.ledger.answered(j, accepted)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			verdict = unsure
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.ledger.answered(j, verdict)
}

func (s *scene) submitLongRunning() *job {
	j := &job{
		id: "00000000000000aa", prefix: "/one/", spec: "lasts", done: map[string]bool{},
		phases: []phase{{Count: 3, CPU: 500, MemMB: 500, Lasts: true}},
	}
	s.handIn(j, rand.New(rand.NewPCG(1, 1)))
	return j
}

// harm does one thing after the other, some of them at the same time, and returns what it did.
func (s *scene) harm(ctx context.Context, t *testing.T) []string {
	var did []string
	began := time.Now()
	for ctx.Err() == nil {
		i := s.instances[s.random.IntN(len(s.instances))]
		pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
		name, do, undo := s.pick(t, i)
		did = append(did, fmt.Sprintf("%5.2f s  %s for %v", time.Since(began).Seconds(), name, pause))
		do()
		time.AfterFunc(pause, undo)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(s.random.IntN(1800)) * time.Millisecond):
		}
	}
	return did
}

func (s *scene) pick(t *testing.T, i *instance) (name string, do, undo func()) {
	nothing := func() {}
	signal := func(sig syscall.Signal) func() { return func() { i.signal(sig) } }
	proxied := func(h harm) func() { return func() { i.proxy.set(h) } }
	switch s.random.IntN(16) {
	case 0:
		return i.name + " is killed", signal(syscall.SIGKILL), nothing
	case 1:
		return i.name + " stands still", signal(syscall.SIGSTOP), signal(syscall.SIGCONT)
	case 2:
		return i.name + " is told to stop", signal(syscall.SIGTERM), nothing
	case 3:
		return i.name + " hears the store late", proxied(delayed), proxied(none)
	case 4:
		return i.name + " is cut from the store", proxied(mute), proxied(none)
	case 5:
		return i.name + " reaches the store and hears nothing", proxied(oneWay), proxied(none)
	case 6:
		return i.name + " has its connections to the store reset", proxied(reset), proxied(none)
	case 7:
		return "the store refuses", func() { s.store.set(refusing) }, func() { s.store.set(serving) }
	case 8:
		return "the store is silent", func() { s.store.set(silent) }, func() { s.store.set(serving) }
	case 9:
		return "answers of the store are lost", func() { s.store.set(losing) }, func() { s.store.set(serving) }
	case 10:
		return "orders to workers are late or unanswered", func() { s.fleet.setLate(0.08) }, func() { s.fleet.setLate(0) }
	case 11, 12:
		var undone func()
		return "a worker is cut off and runs on", func() { undone = s.fleet.cut() }, func() { undone() }
	case 13, 14:
		return i.name + " and some workers are cut off, and another is told to stop", func() { s.cutOff(i) }, func() { s.rejoin(i) }
	}
	return "a worker crashes", func() { s.fleet.crash(t) }, nothing
}

// Times of a cut between data centres.
const (
	takeoverTime = 1800 * time.Millisecond // until others have taken over what the instance owned
	cutTime      = 7 * time.Second         // longer than leases go on, beside the time of any harm
)

// cutOff cuts an instance off from the store, together with workers that it still reaches and its successors do not.
func (s *scene) cutOff(cut *instance) {
	cut.proxy.set(mute)
	s.fleet.bind()
	n := slices.Index(s.instances, cut)
	other := s.instances[(n+1+s.random.IntN(len(s.instances)-1))%len(s.instances)]
	time.AfterFunc(takeoverTime, func() { other.signal(syscall.SIGTERM) })
}

func (s *scene) rejoin(cut *instance) {
	time.Sleep(cutTime)
	s.fleet.unbind()
	cut.proxy.set(none)
}

func (s *scene) heal() {
	time.Sleep(3 * time.Second) // until everything that was begun is undone
	s.store.set(serving)
	s.fleet.setLate(0)
	s.fleet.unbind()
	for _, i := range s.instances {
		i.proxy.set(none)
		i.signal(syscall.SIGCONT)
	}
}

// finish waits until every accepted job is shown as ended and the long-running job's tasks run.
func (s *scene) finish(t *testing.T, longRunning *job) {
	t.Helper()
	left := s.ledger.accepted()
	until := time.Now().Add(finishTime)
	for len(left) > 0 && time.Now().Before(until) {
		var next []*job
		for n, j := range left {
			if !s.ended(t, j, longRunning, s.instances[n%len(s.instances)]) {
				next = append(next, j)
			}
		}
		left = next
		time.Sleep(100 * time.Millisecond)
	}
	for _, j := range left {
		t.Errorf("LOST: accepted job %s has not ended %v after the harm", j.id, finishTime)
	}
}

func (s *scene) ended(t *testing.T, j, longRunning *job, i *instance) bool {
	t.Helper()
	if j == longRunning {
		return s.ledger.missing(j) == 0
	}
	status, body := s.ask(t.Context(), http.MethodGet, s.url(i, j), nil)
	if status == http.StatusGone {
		t.Errorf("LOST: accepted job %s is not known", j.id)
		return true
	}
	if status != http.StatusOK {
		return false
	}
	var answer struct{ State string }
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	if answer.State == "failed" || answer.State == "cancelled" {
		t.Errorf("LOST: job %s is shown as %s without cause", j.id, answer.State)
	}
	if answer.State == "completed" {
		s.ledger.mu.Lock()
		defer s.ledger.mu.Unlock()
		for step, p := range j.phases {
			for n := range p.Count {
				if !j.done[fmt.Sprintf("%s.0.%d.%d", j.id, step, n)] {
					t.Errorf("MIXED: job %s is shown as completed, and task %d.%d is not done", j.id, step, n)
				}
			}
		}
	}
	return answer.State != "queued" && answer.State != "running"
}

// judge reports broken promises with what was done.
func (s *scene) judge(t *testing.T, seed uint64, harm []string) {
	t.Helper()
	s.ledger.mu.Lock()
	for n, b := range s.ledger.broken {
		if n < 20 {
			t.Error(b)
		}
	}
	taken, refusals := 0, 0
	for _, j := range s.ledger.jobs {
		switch j.answer {
		case accepted:
			taken++
		case refused:
			refusals++
		case unsure:
		}
	}
	t.Logf("%d jobs, %d accepted, %d refused, %d starts, %d faults", len(s.ledger.jobs), taken, refusals, s.ledger.starts, len(harm))
	if taken == 0 {
		t.Error("no job was accepted")
	}
	s.ledger.mu.Unlock()
	for _, i := range s.instances {
		if text := i.panicked(); text != "" {
			t.Errorf("%s broke down: %s", i.name, text)
		}
	}
	if !t.Failed() {
		return
	}
	t.Log(strings.Join(harm, "\n"))
	if *keep == "" {
		return
	}
	for _, i := range s.instances {
		data, err := os.ReadFile(i.logs)
		if err == nil {
			err = os.WriteFile(filepath.Join(*keep, fmt.Sprintf("seed-%d-%s.log", seed, i.name)), data, 0o600)
		}
		if err != nil {
			t.Logf("keeping a log: %v", err)
		}
	}
}
