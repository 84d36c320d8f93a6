package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// phase is a step of a job as it is handed in.
type phase struct {
	Count int   `json:"count"`
	CPU   int   `json:"cpu"`
	MemMB int   `json:"mem_mb"`
	EstMS int   `json:"est_ms"`
	After []int `json:"after,omitempty"`
	Lasts bool  `json:"long_running,omitempty"`
}

// job is a job with what its caller has been told.
type job struct {
	id      string
	prefix  string // of its queue
	spec    string
	phases  []phase
	answer  verdict
	done    map[string]bool
	started int
}

// verdict is what a caller knows of a job.
type verdict int

const (
	unsure   verdict = iota
	accepted         // answered with 200
	refused          // every try was answered with 429 or 503
)

// ledger checks what workers and callers see against the promises.
type ledger struct {
	mu     sync.Mutex
	began  time.Time
	jobs   map[string]*job
	places map[string]map[string]bool // workers that run a task at this moment
	ended  map[string]bool            // tasks of which a done end was acknowledged
	broken []string
	starts int
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), jobs: map[string]*job{}, places: map[string]map[string]bool{}, ended: map[string]bool{}}
}

// breaks notes a broken promise; the caller holds the lock.
func (l *ledger) breaks(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf("%6.2f s  ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

func (l *ledger) add(j *job) {
	l.mu.Lock()
	l.jobs[j.id] = j
	l.mu.Unlock()
}

// answered notes what a caller was told in the end.
func (l *ledger) answered(j *job, v verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.answer = v
	if v == refused && j.started > 0 {
		l.breaks("REFUSED: job %s has started %d tasks, and every try was refused", j.id, j.started)
	}
}

// begin checks a start and returns the job, its step and how long the task takes; the caller holds the worker's lock.
func (l *ledger) begin(w *worker, o order) (*job, int, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	id, step := taskOf(o.Task)
	j := l.jobs[id]
	if j == nil || j.spec != o.Spec || step >= len(j.phases) {
		l.breaks("UNASKED: %s with spec %q", o.Task, o.Spec)
		return &job{phases: []phase{{}}}, 0, time.Second
	}
	j.started++
	p := j.phases[step]
	if j.answer == refused {
		l.breaks("REFUSED: %s starts, and every try of its job was refused", o.Task)
	}
	for other := range l.places[o.Task] {
		l.breaks("TWICE: %s run %d starts on %s and runs on %s", o.Task, o.Run, w.id, other)
	}
	if l.ended[o.Task] {
		l.breaks("TWICE: %s run %d starts after its end was acknowledged", o.Task, o.Run)
	}
	for _, before := range p.After {
		for i := range j.phases[before].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", id, before, i); !j.done[name] {
				l.breaks("ORDER: %s starts before %s is done", o.Task, name)
			}
		}
	}
	cpu, mb := p.CPU, p.MemMB
	for _, r := range w.runs {
		cpu += r.job.phases[r.step].CPU
		mb += r.job.phases[r.step].MemMB
	}
	if cpu > workerCPU || mb > workerMB {
		l.breaks("LIMIT: %s brings %s to %d and %d MB", o.Task, w.id, cpu, mb)
	}
	if l.places[o.Task] == nil {
		l.places[o.Task] = map[string]bool{}
	}
	l.places[o.Task][w.id] = true
	if p.Lasts {
		return j, step, time.Hour
	}
	return j, step, time.Duration(float64(p.EstMS)*(0.6+0.8*rand.Float64())) * time.Millisecond
}

func (l *ledger) over(task, worker string) {
	l.mu.Lock()
	delete(l.places[task], worker)
	l.mu.Unlock()
}

func (l *ledger) done(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _ := taskOf(task)
	if j := l.jobs[id]; j != nil {
		j.done[task] = true
	}
}

func (l *ledger) acked(task string) {
	l.mu.Lock()
	l.ended[task] = true
	l.mu.Unlock()
}

// accepted returns the jobs that were accepted.
func (l *ledger) accepted() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*job
	for _, j := range l.jobs {
		if j.answer == accepted {
			list = append(list, j)
		}
	}
	return list
}

// missing returns how many tasks of a long-running job do not run.
func (l *ledger) missing(j *job) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := 0
	for task, places := range l.places {
		if strings.HasPrefix(task, j.id) && len(places) > 0 {
			running++
		}
	}
	return j.phases[0].Count - running
}
