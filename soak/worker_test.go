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
	workerCPU   = 4000 // thousandths of a core
	workerMB    = 8000
	stopTakes   = 150 * time.Millisecond
	heartbeat   = 600 * time.Millisecond
	longestHold = 10 * time.Second
)

type running struct {
	run   int
	job   *job
	step  int
	timer *time.Timer
}

type ended struct {
	n    int64
	task string
	run  int
	how  string
}

// worker is one life of a worker.
type worker struct {
	fleet  *fleet
	id     string
	name   string // of its instance
	pool   string
	server *http.Server
	addr   string
	born   time.Time

	mu     sync.Mutex
	fence  int64
	until  time.Duration // of the lease, on its clock
	runs   map[string]*running
	barred map[string]int
	ends   []ended
	number int64
	dead   bool
	cut    bool          // nothing reaches it, and it runs on
	bound  int64         // highest fence of the owners that reach it, 0 when all do
	woken  chan struct{} // closed and replaced at every end
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + 5*time.Second }

func (f *fleet) newWorker(name, pool string) (*worker, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.serial++
	w := &worker{
		fleet: f, id: fmt.Sprintf("w-%d", f.serial), name: name, pool: pool, addr: listener.Addr().String(), born: time.Now(),
		runs: map[string]*running{}, barred: map[string]int{}, woken: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.loop()
	return w, nil
}

// loop renews the worker's entry and ends what has no lease any more.
func (w *worker) loop() {
	for beat := 0; ; beat++ {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if w.clock() > w.until {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
		if beat%12 == 0 {
			w.fleet.store.put("servers", w.id, map[string]any{
				"backend": w.pool, "addr": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "machine": w.name,
				"cold_left_ms": 0, "sequence": beat, "capacity": resources(workerCPU, workerMB), "labels": []string{"a", "r1"},
				"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(),
			})
		}
		time.Sleep(heartbeat / 12)
	}
}

func resources(cpu, mb int) map[string]int { return map[string]int{"cpu": cpu, "mem_mb": mb, "gpu": 0} }

// kill ends the worker's life and everything on it.
func (w *worker) kill() {
	w.mu.Lock()
	w.dead = true
	for task, r := range w.runs {
		r.timer.Stop()
		w.fleet.ledger.over(task, w.id)
	}
	w.runs = map[string]*running{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// end notes the end of a run; the caller holds the lock.
func (w *worker) end(task, how string) {
	r, ok := w.runs[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.barred[task] = max(w.barred[task], r.run)
	w.number++
	w.ends = append(w.ends, ended{n: w.number, task: task, run: r.run, how: how})
	w.fleet.ledger.over(task, w.id)
	if how == "done" {
		w.fleet.ledger.done(task)
	}
	close(w.woken)
	w.woken = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Acked int64  `json:"ack_offset"`
	Wait  int64  `json:"wait_ms"`
}

func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
}

// bind leaves the worker within reach of the owners that it has heard of, and out of reach of later ones.
func (w *worker) bind() {
	w.mu.Lock()
	w.bound = max(1, w.fence)
	w.mu.Unlock()
}

func (w *worker) unbind() {
	w.mu.Lock()
	w.bound = 0
	w.mu.Unlock()
}

// reached reports whether an order with a fence comes through.
func (w *worker) reached(fence int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut && (w.bound == 0 || fence <= w.bound)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.reached(o.Fence) {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("Marigoldshed-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch chance := w.fleet.chance(); {
	case chance < w.fleet.late():
		time.AfterFunc(time.Duration(1500+rand.IntN(4000))*time.Millisecond, func() { w.carryOut(context.Background(), r.URL.Path, o) })
		hang(rw)
		return
	case chance < 2*w.fleet.late():
		w.carryOut(r.Context(), r.URL.Path, o)
		hang(rw)
		return
	}
	status, body := w.carryOut(r.Context(), r.URL.Path, o)
	body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// hang breaks a connection without an answer.
func hang(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) carryOut(ctx context.Context, path string, o order) (int, map[string]any) {
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
		return w.start(o)
	case "/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
			time.AfterFunc(stopTakes, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[o.Task] == r {
					w.end(o.Task, "stopped")
				}
			})
		}
		return http.StatusOK, map[string]any{}
	case "/hold":
		return w.hold(ctx, o)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) lease(o order) {
	w.until = max(w.until, min(time.Duration(o.Until)*time.Millisecond, w.clock()+longestHold))
}

func (w *worker) start(o order) (int, map[string]any) {
	if time.Duration(o.Until)*time.Millisecond <= w.clock() {
		return refusal("late")
	}
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if w.barred[o.Task] >= o.Run || w.runs[o.Task] != nil {
		return refusal("old")
	}
	w.lease(o)
	j, step, length := w.fleet.ledger.begin(w, o)
	r := &running{run: o.Run, job: j, step: step}
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == r {
			w.end(o.Task, "done")
		}
	})
	w.runs[o.Task] = r
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(ctx context.Context, o order) (int, map[string]any) {
	if o.Until > 0 {
		w.lease(o)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.n > o.Acked {
			kept = append(kept, e)
		} else if e.how == "done" {
			w.fleet.ledger.acked(e.task)
		}
	}
	w.ends = kept
	if woken := w.woken; o.Wait > 0 && len(w.ends) == 0 {
		w.mu.Unlock()
		select {
		case <-woken:
		case <-ctx.Done():
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for task, r := range w.runs {
		rows = append(rows, []any{task, r.run, "", 100, 0})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": rows, "finished": ends}
}

// taskOf splits the name of a task.
func taskOf(name string) (id string, step int) {
	fields := strings.Split(name, ".")
	if len(fields) != 4 {
		return name, 0
	}
	step, _ = strconv.Atoi(fields[2])
	return fields[0], step
}
