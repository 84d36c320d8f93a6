package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// phase is a step of a job as submitted.
type phase struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstMS       int   `json:"est_ms"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
}

// job is a submitted job with the result its caller got and the progress the workers reported.
type job struct {
	id           string
	prefix       string // path prefix of its queue
	spec         string
	phases       []phase
	result       submitResult
	deadly       bool // its first task crashes each worker that starts it
	doneTasks    map[string]bool
	startedTasks int
	cancel       cancellation
}

// submitResult is what a caller knows about the submission of a job.
type submitResult int

const (
	indeterminate submitResult = iota
	accepted                   // answered with 200
	rejected                   // every attempt was answered with 429 or 503
)

// checker checks the guarantees against what workers and callers see.
type checker struct {
	mu         sync.Mutex
	started    time.Time
	jobs       map[string]*job
	runningOn  map[string]map[string]bool // by task, the workers that run it now
	ackedDone  map[string]bool            // tasks whose end as done was acknowledged
	violations []string
	starts     int
	crashes    map[string]int // by task, the workers that have crashed while they ran it
	restarts   map[string]int // by task, its starts after three workers had crashed
}

func newChecker() *checker {
	return &checker{
		started: time.Now(), jobs: map[string]*job{}, runningOn: map[string]map[string]bool{}, ackedDone: map[string]bool{},
		crashes: map[string]int{}, restarts: map[string]int{},
	}
}

// recordViolation records the violation of a guarantee; the caller holds the lock.
func (c *checker) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%6.2f s  ", time.Since(c.started).Seconds())+fmt.Sprintf(format, args...))
}

func (c *checker) addJob(j *job) {
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
}

// recordAnswer records the result of the submission of a job.
func (c *checker) recordAnswer(j *job, v submitResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.result = v
	if v == rejected && j.startedTasks > 0 {
		c.recordViolation("REFUSED: job %s started %d tasks although every attempt to submit it was rejected", j.id, j.startedTasks)
	}
}

// recordStart checks the start of a run and returns the job, the step and the duration of the task; the caller holds
// the worker's lock.
func (c *checker) recordStart(w *worker, o order) (*job, int, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	id, step := parseTask(o.Task)
	j := c.jobs[id]
	if j == nil || j.spec != o.Spec || step >= len(j.phases) {
		c.recordViolation("UNASKED: %s starts with spec %q, which no job has at that step", o.Task, o.Spec)
		return &job{phases: []phase{{}}}, 0, time.Second
	}
	j.startedTasks++
	p := j.phases[step]
	if j.result == rejected {
		c.recordViolation("REFUSED: %s starts although every attempt to submit its job was rejected", o.Task)
	}
	for other := range c.runningOn[o.Task] {
		c.recordViolation("TWICE: %s run %d starts on %s while the task runs on %s", o.Task, o.Run, w.id, other)
	}
	if c.ackedDone[o.Task] {
		c.recordViolation("TWICE: %s run %d starts after its end was acknowledged", o.Task, o.Run)
	}
	c.checkCancelled(j, w, o)
	if j.isDeadly(o.Task) && c.crashes[o.Task] >= crashBudget {
		c.restarts[o.Task]++
		if c.restarts[o.Task] == crashBudget {
			c.recordViolation("BUDGET: %s run %d is start %d after %d workers had crashed under it", o.Task, o.Run, crashBudget, crashBudget)
		}
	}
	for _, before := range p.After {
		for i := range j.phases[before].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", id, before, i); !j.doneTasks[name] {
				c.recordViolation("ORDER: %s starts before %s is done", o.Task, name)
			}
		}
	}
	cpu, mb := p.CPU, p.MemMB
	for _, r := range w.runs {
		cpu += r.job.phases[r.step].CPU
		mb += r.job.phases[r.step].MemMB
	}
	if cpu > workerCPU || mb > workerMemMB {
		c.recordViolation("LIMIT: %s brings %s to %d thousandths of a core and %d MB", o.Task, w.id, cpu, mb)
	}
	if c.runningOn[o.Task] == nil {
		c.runningOn[o.Task] = map[string]bool{}
	}
	c.runningOn[o.Task][w.id] = true
	if p.LongRunning {
		return j, step, time.Hour
	}
	return j, step, time.Duration(float64(p.EstMS)*(0.6+0.8*rand.Float64())) * time.Millisecond
}

// crashBudget is the number of crashes under a task, and of starts after these, that break a guarantee.
const crashBudget = 3

// isDeadly reports whether a task crashes each worker that starts it.
func (j *job) isDeadly(task string) bool { return j.deadly && task == j.id+".0.0.0" }

// recordCrash records the crash of a worker while it ran a task.
func (c *checker) recordCrash(task, worker string) {
	c.recordEnd(task, worker)
	c.mu.Lock()
	c.crashes[task]++
	c.mu.Unlock()
}

// mayHaveFailed reports whether two workers have crashed under a task of a job, which may be given up then.
func (c *checker) mayHaveFailed(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, crashes := range c.crashes {
		if strings.HasPrefix(task, j.id) && crashes >= 2 {
			return true
		}
	}
	return false
}

func (c *checker) recordEnd(task, worker string) {
	c.mu.Lock()
	delete(c.runningOn[task], worker)
	c.mu.Unlock()
}

func (c *checker) recordDone(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _ := parseTask(task)
	if j := c.jobs[id]; j != nil {
		j.doneTasks[task] = true
	}
}

func (c *checker) recordAck(task string) {
	c.mu.Lock()
	c.ackedDone[task] = true
	c.mu.Unlock()
}

// acceptedJobs returns the jobs whose submission was accepted.
func (c *checker) acceptedJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*job
	for _, j := range c.jobs {
		if j.result == accepted {
			list = append(list, j)
		}
	}
	return list
}

// missingTasks returns how many tasks of a long-running job are not running.
func (c *checker) missingTasks(j *job) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := 0
	for task, workers := range c.runningOn {
		if strings.HasPrefix(task, j.id) && len(workers) > 0 {
			running++
		}
	}
	return j.phases[0].Count - running
}
