package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	workerCPU   = 16000 // thousandths of a core
	workerMemMB = 65536
	stopTime    = 100 * time.Millisecond
)

type taskRun struct {
	number int
	timer  *time.Timer
}

type runEnd struct {
	number  int64
	task    string
	run     int
	outcome string
}

// worker is one lifetime of a worker.
type worker struct {
	world    *world
	id       string
	machine  string
	pool     string
	zone     string
	address  string
	server   *http.Server
	started  time.Time
	duration func(task string) time.Duration

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Duration // on the worker's steady clock
	runs     map[string]*taskRun
	closed   map[string]int // by task, the highest run that has ended or was stopped
	unacked  []runEnd
	lastEnd  int64
	dead     bool
	cut      bool      // nothing reaches it, and nothing of it reaches the store
	beat     time.Time // its last heartbeat
	listed   bool      // has an entry
	endAdded chan struct{}
}

func (w *worker) clock() time.Duration { return time.Since(w.started) }

// startWorker starts a lifetime of a worker on a free loopback port.
func startWorker(wo *world, id, machine, pool, zone string, duration func(string) time.Duration, isCut bool) (*worker, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	w := &worker{
		world: wo, id: id, machine: machine, pool: pool, zone: zone, address: listener.Addr().String(), started: now, duration: duration, cut: isCut,
		runs: map[string]*taskRun{}, closed: map[string]int{}, endAdded: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.loop()
	wo.note("worker %s starts on %s at %s, born %d", id, machine, w.address, w.started.UnixMilli())
	return w, nil
}

// loop writes the worker's entry with every heartbeat and ends its runs when their lease is over. The store removes the
// entry of a worker that has been silent for three heartbeats.
func (w *worker) loop() {
	for tick := 0; ; tick++ {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if w.clock() > w.leaseEnd {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.writeEntry(tick)
		w.mu.Unlock()
		time.Sleep(heartbeat / 30)
	}
}

// writeEntry writes or removes the entry if that is due; the caller holds the lock.
func (w *worker) writeEntry(sequence int) {
	silent := time.Since(w.beat)
	switch {
	case w.cut && w.listed && silent >= 3*heartbeat:
		w.listed = false
		w.world.note("the store removes the entry of worker %s", w.id)
		w.world.store.put("servers", w.id, nil)
	case !w.cut && (!w.listed || silent >= heartbeat):
		w.listed, w.beat = true, time.Now()
		w.world.store.put("servers", w.id, map[string]any{
			"backend": w.pool, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "machine": w.machine,
			"cold_left_ms": 0, "sequence": sequence, "capacity": resources(workerCPU, workerMemMB), "labels": []string{"a", "rack-" + w.zone},
			"clock_ms": w.clock().Milliseconds(), "born": w.started.UnixMilli(),
		})
	}
}

// setCut cuts the worker off from everything, or ends that. It runs on meanwhile.
func (w *worker) setCut(isCut bool) {
	w.mu.Lock()
	w.cut = isCut
	w.mu.Unlock()
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// hasRun reports whether a run of a task is here.
func (w *worker) hasRun(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task] != nil
}

// kill ends the lifetime with all that runs; nobody is told.
func (w *worker) kill() {
	w.mu.Lock()
	w.dead = true
	for task, r := range w.runs {
		r.timer.Stop()
		w.world.note("worker %s: run %d of %s is gone with it", w.id, r.number, task)
		w.world.recordCause(task)
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// end records the end of a task's run; the caller holds the lock.
func (w *worker) end(task, outcome string) {
	r, ok := w.runs[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.closed[task] = max(w.closed[task], r.number)
	w.lastEnd++
	w.unacked = append(w.unacked, runEnd{number: w.lastEnd, task: task, run: r.number, outcome: outcome})
	w.world.note("worker %s: run %d of %s ends %s", w.id, r.number, task, outcome)
	switch outcome {
	case "done":
		w.world.recordDone(task)
	case "failed":
		w.world.recordCause(task)
	}
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

func (w *worker) countRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Acked int64  `json:"ack_offset"`
	Wait  int64  `json:"wait_ms"`
}

// ServeHTTP answers one order.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.isCut() {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("Marigoldshed-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := w.handle(r.Context(), r.URL.Path, &o)
	if w.isCut() {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) handle(ctx context.Context, path string, o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return http.StatusConflict, map[string]any{"reason": "fence", "clock_ms": w.clock().Milliseconds()}
	}
	w.fence = o.Fence
	status, body := http.StatusOK, map[string]any{}
	switch path {
	case "/run-start":
		status, body = w.startRun(o)
	case "/run-stop":
		w.stopRun(o)
	case "/hold":
		body = w.hold(ctx, o)
	}
	body["clock_ms"] = w.clock().Milliseconds()
	return status, body
}

func (w *worker) extendLease(o *order) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(o.Until)*time.Millisecond, w.clock()+longestLease))
}

func (w *worker) startRun(o *order) (int, map[string]any) {
	refusal := func(reason string) (int, map[string]any) {
		w.world.note("worker %s: run %d of %s is rejected: %s", w.id, o.Run, o.Task, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if time.Duration(o.Until)*time.Millisecond <= w.clock() {
		return refusal("late")
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	w.extendLease(o)
	if w.closed[o.Task] >= o.Run || w.runs[o.Task] != nil {
		return refusal("old")
	}
	w.world.note("worker %s: run %d of %s begins", w.id, o.Run, o.Task)
	r := &taskRun{number: o.Run}
	task := o.Task
	r.timer = time.AfterFunc(w.duration(task), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[task] == r {
			w.end(task, "done")
		}
	})
	w.runs[task] = r
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(o *order) {
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	r := w.runs[o.Task]
	if r == nil || r.number > o.Run {
		return
	}
	task := o.Task
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[task] == r {
			w.end(task, "stopped")
		}
	})
}

// hold renews the lease, forgets the ends that were taken note of, and returns both lists.
func (w *worker) hold(ctx context.Context, o *order) map[string]any {
	if o.Until > 0 {
		w.extendLease(o)
	}
	rest := w.unacked[:0]
	for _, e := range w.unacked {
		if e.number > o.Acked {
			rest = append(rest, e)
		}
	}
	w.unacked = rest
	if added := w.endAdded; o.Wait > 0 && len(w.unacked) == 0 {
		w.mu.Unlock()
		select {
		case <-added:
		case <-ctx.Done():
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for task, r := range w.runs {
		rows = append(rows, []any{task, r.number, "", 100, 0})
	}
	for _, e := range w.unacked {
		ends = append(ends, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	return map[string]any{"running": rows, "finished": ends, "born": w.started.UnixMilli()}
}
