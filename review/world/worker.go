package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the workers, as in the settings and site files of a small deployment.
const (
	workerCPU     = 16000 // thousandths of a core
	workerMemMB   = 65536
	heartbeat     = 1500 * time.Millisecond
	holdMax       = 10 * time.Second
	stopTime      = 300 * time.Millisecond // below stop_ms
	startupTime   = 200 * time.Millisecond // until a task that lasts is at work
	maxEnds       = 500
	maxHoldWait   = 2 * time.Second
	gangTime      = 3 * time.Second       // after which a member of a gang ends alone
	leaseInterval = 20 * time.Millisecond // between two checks of the lease
)

// taskRun is one run on a worker.
type taskRun struct {
	run     int
	began   time.Time
	timer   *time.Timer
	stopped bool
	present bool // all members of its gang are present
}

type runEnd struct {
	number  int64
	task    string
	run     int
	outcome string
	at      time.Time
}

// worker is one lifetime of a worker.
type worker struct {
	world   *world
	id      string
	machine string
	pool    string
	zone    string
	rack    string
	kind    string
	addr    string
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Duration // on the worker's clock
	runs     map[string]*taskRun
	closed   map[string]int // by task, the highest run that was stopped or has ended
	ends     []runEnd
	lastEnd  int64
	lapsedAt time.Time // when the lease was last seen to have lapsed
	over     bool
	cut      bool // neither orders nor answers pass
	endAdded chan struct{}
}

func (w *world) newWorker(m *machine) (*worker, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.serial++
	k := &worker{
		world: w, id: fmt.Sprintf("i-%08x", 0x7f000000+w.serial), machine: m.name, pool: m.pool, zone: m.zone, rack: m.rack, kind: m.kind,
		addr: listener.Addr().String(), born: time.Now(), runs: map[string]*taskRun{}, closed: map[string]int{},
		endAdded: make(chan struct{}),
	}
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = k.server.Serve(listener) }()
	go k.loop()
	return k, nil
}

func (k *worker) clock() time.Duration { return time.Since(k.born) + time.Second }

// loop writes the worker's entry and kills its runs when the lease has expired.
func (k *worker) loop() {
	var written time.Time
	for sequence := 0; ; {
		k.mu.Lock()
		if k.over {
			k.mu.Unlock()
			return
		}
		if k.clock() > k.leaseEnd {
			k.lapsedAt = time.Now()
			for task := range k.runs {
				k.end(task, "lapsed")
			}
		}
		k.mu.Unlock()
		if time.Since(written) >= heartbeat {
			written = time.Now()
			sequence++
			k.world.store.put("servers", k.id, map[string]any{
				"backend": k.pool, "addr": k.addr, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
				"capacity": resources(workerCPU, workerMemMB), "labels": []string{k.kind, k.rack}, "clock_ms": k.clock().Milliseconds(),
				"sequence": sequence, "machine": k.machine, "born": k.born.UnixMilli(),
			})
		}
		time.Sleep(leaseInterval)
	}
}

func resources(cpu, mb int) map[string]int { return map[string]int{"cpu": cpu, "mem_mb": mb, "gpu": 0} }

// terminate ends the lifetime with everything that runs.
func (k *worker) terminate() {
	k.mu.Lock()
	k.over = true
	for task, r := range k.runs {
		r.timer.Stop()
		k.world.check.ended(task, r.run, k.id, "lost")
		go k.world.breakGang(task, r.run)
	}
	k.runs = map[string]*taskRun{}
	k.mu.Unlock()
	_ = k.server.Close()
}

// leave ends the lifetime and removes the worker's entry.
func (k *worker) leave() {
	k.terminate()
	k.world.store.put("servers", k.id, nil)
}

// end lists the end of a run; the caller holds the lock.
func (k *worker) end(task, outcome string) {
	r, ok := k.runs[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(k.runs, task)
	k.closed[task] = max(k.closed[task], r.run)
	k.lastEnd++
	k.ends = append(k.ends, runEnd{number: k.lastEnd, task: task, run: r.run, outcome: outcome, at: time.Now()})
	k.world.check.ended(task, r.run, k.id, outcome)
	close(k.endAdded)
	k.endAdded = make(chan struct{})
	if outcome != "done" {
		go k.world.breakGang(task, r.run)
	}
}

// endRun ends a run if it is still there.
func (k *worker) endRun(task string, r *taskRun, outcome string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[task] == r && !k.over {
		k.end(task, outcome)
	}
}

// endAlone ends a member of a gang whose other members have not come.
func (k *worker) endAlone(task string, r *taskRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[task] == r && !r.present {
		k.end(task, "alone")
	}
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

func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Marigoldshed-Expect-Instance"); expected != "" && expected != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.isCut() {
		<-r.Context().Done()
		return
	}
	status, body := k.handle(r.Context(), r.URL.Path, o)
	if k.isCut() {
		<-r.Context().Done()
		return
	}
	body["clock_ms"], body["born"] = k.clock().Milliseconds(), k.born.UnixMilli()
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (k *worker) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

// setCut cuts the worker off from all machines of the system, or ends the cut. It runs on and writes its entry.
func (k *worker) setCut(cut bool) {
	k.mu.Lock()
	k.cut = cut
	k.mu.Unlock()
	text := "is cut off"
	if !cut {
		text = "can be reached again"
	}
	k.world.note("network: worker %s of %s %s", k.id, k.pool, text)
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (k *worker) handle(ctx context.Context, path string, o order) (int, map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.over {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.Fence < k.fence {
		return conflict("fence")
	}
	k.fence = o.Fence
	switch path {
	case "/run-start":
		return k.start(o)
	case "/run-stop":
		k.stop(o)
	case "/hold":
		return k.hold(ctx, o)
	}
	return http.StatusOK, map[string]any{}
}

func (k *worker) extendLease(o order) {
	k.leaseEnd = max(k.leaseEnd, min(time.Duration(o.Until)*time.Millisecond, k.clock()+holdMax))
}

func (k *worker) start(o order) (int, map[string]any) {
	if time.Duration(o.Until)*time.Millisecond <= k.clock() {
		return conflict("late")
	}
	k.extendLease(o)
	present := k.runs[o.Task]
	if present != nil && present.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if present != nil || k.closed[o.Task] >= o.Run {
		return conflict("old")
	}
	r := &taskRun{run: o.Run, began: time.Now()}
	j := k.world.check.started(o.Task, o.Run, o.Spec, k)
	k.runs[o.Task] = r
	if j.gang {
		r.timer = time.AfterFunc(gangTime, func() { k.endAlone(o.Task, r) })
		go k.world.join(k, o.Task, r, j)
		return http.StatusOK, map[string]any{}
	}
	r.timer = time.AfterFunc(j.length, func() {
		if !j.lasts {
			k.endRun(o.Task, r, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

// stop ends a run within stopTime; a run that is not there yet is barred.
func (k *worker) stop(o order) {
	r := k.runs[o.Task]
	if r == nil || r.run > o.Run {
		k.closed[o.Task] = max(k.closed[o.Task], o.Run)
		return
	}
	if r.stopped {
		return
	}
	r.stopped = true
	time.AfterFunc(stopTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.runs[o.Task] == r {
			k.end(o.Task, "stopped")
		}
	})
}

func (k *worker) hold(ctx context.Context, o order) (int, map[string]any) {
	if k.clock() > k.leaseEnd {
		k.lapsedAt = time.Now()
	}
	if o.Until > 0 {
		k.extendLease(o)
	}
	kept := k.ends[:0]
	for _, e := range k.ends {
		if e.number > o.Acked {
			kept = append(kept, e)
			continue
		}
		if !k.lapsedAt.After(e.at) {
			k.world.check.noted(e.task, e.run, k.id)
		}
	}
	k.ends = kept
	if added := k.endAdded; o.Wait > 0 && len(k.ends) == 0 {
		k.mu.Unlock()
		select {
		case <-added:
		case <-ctx.Done():
		case <-time.After(min(maxHoldWait, time.Duration(o.Wait)*time.Millisecond)):
		}
		k.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for task, r := range k.runs {
		percent := 100
		if time.Since(r.began) < startupTime {
			percent = 0
		}
		rows = append(rows, []any{task, r.run, "", percent, 100})
	}
	for _, e := range k.ends[:min(len(k.ends), maxEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	return http.StatusOK, map[string]any{"running": rows, "finished": ends}
}

// jobOf returns the job's ID from a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
