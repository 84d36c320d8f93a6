package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// workerMode is what a worker does beside its work.
type workerMode struct {
	late   float64 // share of the orders that get no answer and are carried out late
	silent bool    // it answers nothing, and carries out nothing
}

// end is a row of ended runs.
type end struct {
	number int
	run    *run
	how    string
	saved  string
	at     time.Duration
	noted  bool
}

// run is one run of a task on a worker.
type run struct {
	task    *task
	number  int
	worker  *worker
	began   time.Duration
	works   time.Duration // when it began to work
	stopBy  time.Duration // when a stop is over, 0 without one
	gang    *gang
	over    bool
	percent int
}

// worker is one life of a machine's worker.
type worker struct {
	world   *world
	machine *machine
	id      string
	addr    string
	backend string
	born    time.Time
	started time.Duration

	fence    int64
	until    time.Duration // end of the lease, by the world's clock
	lapsedAt time.Duration
	runs     map[string]*run
	ends     []*end
	count    int
	barred   map[string]int
	dead     bool
	tickets  map[string]bool
	mode     atomic.Value
	beats    int
}

func (w *worker) clock() int64 { return (w.world.now() - w.started).Milliseconds() }

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	AckOffset  int    `json:"ack_offset"`
	WaitMS     int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// serveWorker answers at the address of a machine, whose worker may change.
func (m *machine) serveWorker(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var b orderBody
	if err := json.Unmarshal(data, &b); err != nil && r.Method == http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.world.mu.Lock()
	current := m.worker
	m.world.mu.Unlock()
	if current == nil || current.mode.Load().(workerMode).silent {
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get("Marigoldshed-Expect-Instance"); expected != "" && expected != current.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	isOrder := r.URL.Path != "/health"
	if isOrder && rand.Float64() < current.mode.Load().(workerMode).late {
		go current.carryOutLate(r.URL.Path, b)
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/hold" {
		current.hold(w, r, b)
		return
	}
	status, reply := current.order(r.URL.Path, b)
	writeJSON(w, status, reply)
}

// carryOutLate carries out an order 2 to 12 s after it came.
func (w *worker) carryOutLate(path string, b orderBody) {
	time.Sleep(2*time.Second + time.Duration(rand.Float64()*float64(10*time.Second)))
	status, _ := w.order(path, b)
	w.world.say("%s has carried out a late %s of %s run %d: %d", w.id, path, b.Task, b.Run, status)
}

func (w *worker) reply(reason string) map[string]any {
	reply := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		reply["reason"] = reason
	}
	return reply
}

// order carries out an order and returns its answer.
func (w *worker) order(path string, b orderBody) (int, map[string]any) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.dead {
		return http.StatusMisdirectedRequest, nil
	}
	if path == "/health" {
		return http.StatusOK, map[string]any{}
	}
	if b.Fence < w.fence {
		return http.StatusConflict, w.reply("fence")
	}
	w.fence = b.Fence
	switch path {
	case "/run-start":
		return w.start(b)
	case "/run-stop":
		return w.stop(b)
	case "/pace":
		return http.StatusOK, w.reply("")
	case "/hold":
		w.renew(b.UntilMS)
		w.ack(b.AckOffset)
		return http.StatusOK, w.reply("")
	}
	return http.StatusNotFound, nil
}

// renew extends the lease; the caller holds the lock.
func (w *worker) renew(untilMS int64) {
	if untilMS <= 0 {
		return
	}
	until := w.started + time.Duration(untilMS)*time.Millisecond
	w.until = max(w.until, min(until, w.world.now()+holdMax))
}

func runKey(task string, number int) string { return task + "#" + strconv.Itoa(number) }

func (w *worker) start(b orderBody) (int, map[string]any) {
	now := w.world.now()
	if w.runs[runKey(b.Task, b.Run)] != nil {
		w.renew(b.UntilMS)
		return http.StatusOK, w.reply("")
	}
	if b.Run <= w.barred[b.Task] {
		w.renew(b.UntilMS)
		return http.StatusConflict, w.reply("old")
	}
	if w.started+time.Duration(b.UntilMS)*time.Millisecond <= now {
		return http.StatusConflict, w.reply("late")
	}
	t := w.world.find(b.Task)
	if t == nil {
		w.world.broke("UNASKED", "%s was told to start %s, which nobody sent", w.id, b.Task)
		return http.StatusBadRequest, w.reply("")
	}
	if t.job.queue.advice && !w.tickets[fmt.Sprintf("%s.%d.%d/%s", t.job.id, t.occurrence, t.step, b.Ticket)] {
		return http.StatusConflict, w.reply("ticket")
	}
	w.renew(b.UntilMS)
	r := &run{task: t, number: b.Run, worker: w, began: now, works: now}
	w.world.judgeStart(r, b)
	w.runs[runKey(b.Task, b.Run)] = r
	t.running = append(t.running, r)
	if t.job.Phases[t.step].Gang {
		r.joinGang()
	}
	return http.StatusOK, w.reply("")
}

// joinGang adds a run to its gang, which begins to work when all are present.
func (r *run) joinGang() {
	t := r.task
	key := fmt.Sprintf("%d.%d#%d", t.occurrence, t.step, r.number)
	g := t.job.gangs[key]
	if g == nil {
		g = &gang{}
		t.job.gangs[key] = g
	}
	r.gang, r.works = g, 0
	g.members = append(g.members, r)
	if len(g.members) == t.job.Phases[t.step].Count && !g.over {
		g.began = r.worker.world.now()
		for _, m := range g.members {
			m.works = g.began
		}
	}
}

func (w *worker) stop(b orderBody) (int, map[string]any) {
	w.barred[b.Task] = max(w.barred[b.Task], b.Run)
	if r := w.runs[runKey(b.Task, b.Run)]; r != nil && r.stopBy == 0 {
		r.stopBy = w.world.now() + time.Duration(rand.Float64()*float64(stopTime))
	}
	return http.StatusOK, w.reply("")
}

// ack forgets ends that the caller has taken note of; the caller holds the lock.
func (w *worker) ack(offset int) {
	for _, e := range w.ends {
		if e.number <= offset && !e.noted {
			e.noted = true
			w.world.noteEnd(e, w.lapsedAt > e.at)
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e *end) bool { return e.number <= offset })
}

func (w *worker) hold(writer http.ResponseWriter, r *http.Request, b orderBody) {
	if status, reply := w.order("/hold", b); status != http.StatusOK {
		writeJSON(writer, status, reply)
		return
	}
	w.world.mu.Lock()
	seen := w.count
	w.world.mu.Unlock()
	until := time.Now().Add(time.Duration(min(2000, b.WaitMS)) * time.Millisecond)
	for time.Now().Before(until) && r.Context().Err() == nil {
		w.world.mu.Lock()
		changed := w.count != seen || len(w.ends) > 0 || w.dead
		w.world.mu.Unlock()
		if changed {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.world.mu.Lock()
	dead := w.dead
	reply := w.report()
	w.world.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return
	}
	writeJSON(writer, http.StatusOK, reply)
}

func (w *worker) report() map[string]any {
	reply := w.reply("")
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task.name, r.number, "", r.percent, 0})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		finished = append(finished, []any{e.number, e.run.task.name, e.run.number, e.how, e.saved})
	}
	reply["running"], reply["finished"] = running, finished
	return reply
}

// finish ends a run; the caller holds the lock.
func (w *worker) finish(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	delete(w.runs, runKey(r.task.name, r.number))
	r.task.running = slices.DeleteFunc(r.task.running, func(o *run) bool { return o == r })
	w.barred[r.task.name] = max(w.barred[r.task.name], r.number)
	if how == "lost" {
		w.world.note("%s run %d was lost with %s", r.task.name, r.number, w.id)
	} else {
		w.count++
		w.ends = append(w.ends, &end{number: w.count, run: r, how: how, at: w.world.now()})
		w.world.note("%s run %d has ended %s on %s", r.task.name, r.number, how, w.id)
	}
	w.world.judgeEnd(r, how)
	if r.gang != nil && how != "done" && !r.gang.over {
		r.gang.over = true
		for _, m := range r.gang.members {
			if m != r && !m.over && r.gang.began > 0 {
				m.worker.finish(m, "broken")
			}
		}
	}
}

// tick ends the runs whose time has come; the caller holds the lock.
func (w *worker) tick() {
	now := w.world.now()
	if now >= w.until && len(w.runs) > 0 {
		w.lapsedAt = now
		for _, r := range w.all() {
			w.finish(r, "lapsed")
		}
		return
	}
	for _, r := range w.all() {
		w.tickRun(r, now)
	}
}

func (w *worker) all() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	return list
}

func (w *worker) tickRun(r *run, now time.Duration) {
	t := r.task
	s := t.job.Phases[t.step]
	r.percent = 0
	if r.works > 0 {
		r.percent = 100
		if !s.LongRunning {
			r.percent = int(min(99, 100*(now-r.works)/max(1, s.work)))
		}
	}
	switch {
	case r.over:
	case r.stopBy > 0 && now >= r.stopBy:
		w.finish(r, "stopped")
	case r.gang != nil && r.gang.began == 0:
		if now-r.began > gangTime || r.gang.over {
			w.finish(r, "alone")
		}
	case s.LongRunning || now-r.works < s.work:
	case t.job.fails != nil && t.job.fails(t.occurrence, t.step, t.index, r.number):
		w.finish(r, "failed")
	case r.gang != nil:
		r.gang.over = true
		for _, m := range r.gang.members {
			m.worker.finish(m, "done")
		}
	default:
		w.finish(r, "done")
	}
}

func (w *world) find(name string) *task {
	fields := strings.Split(name, ".")
	if len(fields) != 4 || w.jobs[fields[0]] == nil {
		return nil
	}
	var n [3]int
	for i := range n {
		n[i], _ = strconv.Atoi(fields[i+1])
	}
	return w.jobs[fields[0]].taskOf(n[0], n[1], n[2])
}
