package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workerCPU    = 4000 // thousandths of a core
	workerMemMB  = 8000
	stopDuration = 150 * time.Millisecond
	heartbeat    = 600 * time.Millisecond
	longestLease = 10 * time.Second
	crashDelay   = 10 * time.Millisecond // from the start of a deadly task to the crash of its worker
)

type taskRun struct {
	run   int
	job   *job
	step  int
	timer *time.Timer
}

type runEnd struct {
	number  int64
	task    string
	run     int
	outcome string
}

// worker is one incarnation of a worker.
type worker struct {
	fleet     *fleet
	id        string
	name      string // of its machine
	pool      string
	server    *http.Server
	addr      string
	startedAt time.Time

	mu           sync.Mutex
	fence        int64
	leaseEnd     time.Duration // on the worker's clock
	runs         map[string]*taskRun
	closedRuns   map[string]int // by task, the highest run that ended or was stopped; that run and lower ones cannot start
	unackedEnds  []runEnd
	lastEnd      int64
	dead         bool
	cut          bool          // no order reaches the worker, and its tasks keep running
	highestFence int64         // only owners with this fence or a lower one reach the worker; 0 for no bound
	endAdded     chan struct{} // closed and replaced whenever a run ends
}

func (w *worker) clock() time.Duration { return time.Since(w.startedAt) + 5*time.Second }

func (f *fleet) newWorker(name, pool string) (*worker, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.serial++
	w := &worker{
		fleet: f, id: fmt.Sprintf("w-%d", f.serial), name: name, pool: pool, addr: listener.Addr().String(), startedAt: time.Now(),
		runs: map[string]*taskRun{}, closedRuns: map[string]int{}, endAdded: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.runLoop()
	return w, nil
}

// runLoop publishes the worker's record in the servers table and ends its runs when the lease has expired.
func (w *worker) runLoop() {
	for tick := 0; ; tick++ {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if w.clock() > w.leaseEnd {
			for task := range w.runs {
				w.endRun(task, "lapsed")
			}
		}
		w.mu.Unlock()
		if tick%12 == 0 {
			w.fleet.store.put("servers", w.id, map[string]any{
				"backend": w.pool, "addr": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "machine": w.name,
				"cold_left_ms": 0, "sequence": tick, "capacity": resources(workerCPU, workerMemMB), "labels": []string{"a", "r1"},
				"clock_ms": w.clock().Milliseconds(), "born": w.startedAt.UnixMilli(),
			})
		}
		time.Sleep(heartbeat / 12)
	}
}

func resources(cpu, mb int) map[string]int { return map[string]int{"cpu": cpu, "mem_mb": mb, "gpu": 0} }

// kill ends the incarnation with all its runs and reports none of their ends. A worker whose machine is moved has not
// crashed.
func (w *worker) kill(crash bool) {
	w.mu.Lock()
	w.dead = true
	for task, r := range w.runs {
		r.timer.Stop()
		if crash {
			w.fleet.checker.recordCrash(task, w.id)
			continue
		}
		w.fleet.checker.recordEnd(task, w.id)
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// endRun records the end of a task's run, if it has one; the caller holds the lock.
func (w *worker) endRun(task, outcome string) {
	r, ok := w.runs[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.closedRuns[task] = max(w.closedRuns[task], r.run)
	w.lastEnd++
	w.unackedEnds = append(w.unackedEnds, runEnd{number: w.lastEnd, task: task, run: r.run, outcome: outcome})
	w.fleet.checker.recordEnd(task, w.id)
	if outcome == "done" {
		w.fleet.checker.recordDone(task)
	}
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Acked int64  `json:"ack_offset"`
	Wait  int64  `json:"wait_ms"`
	late  bool   // carried out late by this worker's fault
}

func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
}

// blockNewOwners makes the worker unreachable for owners with a higher fence than it has seen.
func (w *worker) blockNewOwners() {
	w.mu.Lock()
	w.highestFence = max(1, w.fence)
	w.mu.Unlock()
}

func (w *worker) unblockNewOwners() {
	w.mu.Lock()
	w.highestFence = 0
	w.mu.Unlock()
}

// isReachableBy reports whether orders with a fence reach the worker.
func (w *worker) isReachableBy(fence int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut && (w.highestFence == 0 || fence <= w.highestFence)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.isReachableBy(o.Fence) {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("Marigoldshed-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch chance := w.fleet.draw(); {
	case chance < w.fleet.currentLateRate():
		o.late = true
		time.AfterFunc(time.Duration(1500+rand.IntN(4000))*time.Millisecond, func() { w.handleOrder(context.Background(), r.URL.Path, o) })
		closeConnection(rw)
		return
	case chance < 2*w.fleet.currentLateRate():
		w.handleOrder(r.Context(), r.URL.Path, o)
		closeConnection(rw)
		return
	}
	status, body := w.handleOrder(r.Context(), r.URL.Path, o)
	body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.startedAt.UnixMilli()
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// closeConnection closes the connection without an answer.
func closeConnection(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) handleOrder(ctx context.Context, path string, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.Fence < w.fence {
		return refusal("fence")
	}
	w.fence = o.Fence
	switch path {
	case "/run-start":
		return w.startRun(o)
	case "/run-stop":
		w.closedRuns[o.Task] = max(w.closedRuns[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
			time.AfterFunc(stopDuration, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[o.Task] == r {
					w.endRun(o.Task, "stopped")
				}
			})
		}
		return http.StatusOK, map[string]any{}
	case "/hold":
		return w.renewLease(ctx, o)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) extendLease(o order) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(o.Until)*time.Millisecond, w.clock()+longestLease))
}

func (w *worker) startRun(o order) (int, map[string]any) {
	if time.Duration(o.Until)*time.Millisecond <= w.clock() {
		return refusal("late")
	}
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if w.closedRuns[o.Task] >= o.Run || w.runs[o.Task] != nil {
		return refusal("old")
	}
	w.extendLease(o)
	j, step, length := w.fleet.checker.recordStart(w, o)
	r := &taskRun{run: o.Run, job: j, step: step}
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == r {
			w.endRun(o.Task, "done")
		}
	})
	w.runs[o.Task] = r
	if j.isDeadly(o.Task) {
		time.AfterFunc(crashDelay, func() { w.fleet.crash(w) })
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) renewLease(ctx context.Context, o order) (int, map[string]any) {
	if o.Until > 0 {
		w.extendLease(o)
	}
	unacked := w.unackedEnds[:0]
	for _, e := range w.unackedEnds {
		if e.number > o.Acked {
			unacked = append(unacked, e)
		} else if e.outcome == "done" {
			w.fleet.checker.recordAck(e.task)
		}
	}
	w.unackedEnds = unacked
	if endAdded := w.endAdded; o.Wait > 0 && len(w.unackedEnds) == 0 {
		w.mu.Unlock()
		select {
		case <-endAdded:
		case <-ctx.Done():
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for task, r := range w.runs {
		rows = append(rows, []any{task, r.run, "", 100, 0})
	}
	for _, e := range w.unackedEnds {
		ends = append(ends, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	return http.StatusOK, map[string]any{"running": rows, "finished": ends}
}

// parseTask returns the job and the step of a task name; a malformed name is returned whole, with step 0.
func parseTask(name string) (id string, step int) {
	fields := strings.Split(name, ".")
	if len(fields) != 4 {
		return name, 0
	}
	step, _ = strconv.Atoi(fields[2])
	return fields[0], step
}
