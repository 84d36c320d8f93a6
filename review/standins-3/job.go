package main

import (
	"fmt"
	"time"
)

// step is a step of a job, as it is submitted and as its tasks really behave.
type step struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu"`
	MemMB          int    `json:"mem_mb,omitempty"`
	EstMS          int    `json:"est_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Requires       string `json:"requires,omitempty"`
	MaxPerServer   int    `json:"max_per_server,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`

	work time.Duration // how long a task of the step takes
}

// job is a job with what the stand-ins have seen of it.
type job struct {
	id       string
	queue    *queue
	tenant   *tenant
	Spec     string  `json:"spec"`
	Phases   []*step `json:"phases"`
	Times    int     `json:"times,omitempty"`
	FirstMS  int64   `json:"first_ms,omitempty"`
	Interval int64   `json:"interval_ms,omitempty"`

	// fails tells whether a run fails by its own fault; nil for never.
	fails func(occurrence, step, index, run int) bool

	accepted   time.Duration // when its requester had a 2xx, 0 for not yet
	attempts   int           // times that it was sent
	refused    int           // times that the answer said that it never runs
	cancelled  time.Duration // when its cancelling was confirmed, 0 for not
	cancelSent bool
	hopeless   bool
	state      string // newest state that was shown
	started    bool   // a task has begun
	tasks      map[string]*task
	gangs      map[string]*gang
}

// task is a task with what the workers have seen of it.
type task struct {
	name                    string
	job                     *job
	occurrence, step, index int
	starts                  int
	highest                 int
	doneAt                  time.Duration // when a run ended done
	doneNoted               time.Duration // when that end was taken note of, 0 for not
	failures                int           // runs that ended failed and were taken note of
	failed                  int           // runs that ended failed
	running                 []*run
}

// gang is one run of a step whose tasks work only together.
type gang struct {
	members []*run
	began   time.Duration // when all were present, 0 before
	over    bool
}

func (j *job) taskOf(occurrence, step, index int) *task {
	if step < 0 || step >= len(j.Phases) || index < 0 || index >= j.Phases[step].Count || occurrence < 0 || occurrence >= max(1, j.Times) {
		return nil
	}
	name := fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, step, index)
	if j.tasks[name] == nil {
		j.tasks[name] = &task{name: name, job: j, occurrence: occurrence, step: step, index: index}
	}
	return j.tasks[name]
}

// stepDone reports whether all tasks of a step have ended done.
func (j *job) stepDone(occurrence, step int) bool {
	for i := range j.Phases[step].Count {
		if t := j.taskOf(occurrence, step, i); t.doneAt == 0 {
			return false
		}
	}
	return true
}

// allDone reports whether all tasks of all occurrences have ended done.
func (j *job) allDone() bool {
	for o := range max(1, j.Times) {
		for s := range j.Phases {
			if !j.stepDone(o, s) {
				return false
			}
		}
	}
	return true
}

// tenant is a team with its cap.
type tenant struct {
	name, key string
	weight    int
	cpuCap    int // of the configuration with the highest one that may be in force
}

// queue is a route.
type queue struct {
	name, host, prefix, backend string
	attempts                    int
	stretch                     float64
	target                      int
	advice                      bool
}
