package main

import (
	"fmt"
	"time"
)

// judgeStart checks a start by the rules; the caller holds the lock.
func (w *world) judgeStart(r *run, b orderBody) {
	t, now := r.task, w.now()
	j, s := t.job, t.job.Phases[t.step]
	w.note("%s starts %s run %d (fence %d)", r.worker.id, t.name, r.number, b.Fence)
	t.starts++
	j.started = true
	if b.Spec != j.Spec {
		w.broke("UNASKED", "%s with another spec", t.name)
	}
	for _, other := range t.running {
		w.broke("TWICE", "%s run %d on %s beside run %d on %s", t.name, r.number, r.worker.id, other.number, other.worker.id)
	}
	if t.doneAt > 0 && !s.LongRunning && t.doneNoted > 0 {
		w.broke("TWICE", "%s run %d starts after a run has ended done at %v, which was taken note of at %v", t.name, r.number, t.doneAt, t.doneNoted)
	}
	for _, before := range s.After {
		if !j.stepDone(t.occurrence, before) {
			w.broke("ORDER", "%s run %d starts before step %d is done", t.name, r.number, before)
		}
	}
	if j.Times > 0 {
		due := time.UnixMilli(j.FirstMS + int64(t.occurrence)*j.Interval)
		if early := time.Until(due); early > earlyTime {
			w.broke("ORDER", "%s run %d starts %v before its time", t.name, r.number, early)
		}
	}
	if j.queue != nil && j.queue.backend != r.worker.backend {
		w.broke("ROUTE", "%s on a worker of %s", t.name, r.worker.backend)
	}
	if s.Requires != "" && s.Requires != r.worker.machine.kind {
		w.broke("ROUTE", "%s on a worker without the label %s", t.name, s.Requires)
	}
	if j.cancelled > 0 && now-j.cancelled > cancelTime {
		w.broke("UNASKED", "%s starts %v after its cancelling was confirmed", t.name, now-j.cancelled)
	}
	if j.queue.attempts > 0 && t.failures >= j.queue.attempts && !s.LongRunning {
		w.broke("BUDGET", "%s run %d starts after %d failed runs", t.name, r.number, t.failures)
	}
	w.judgeRoom(r, s)
}

// judgeRoom checks the worker's capacity, the tasks of a step on one worker, and the tenant's cap.
func (w *world) judgeRoom(r *run, s *step) {
	t := r.task
	cpu, memory, same := s.CPU, s.MemMB, 1
	for _, o := range r.worker.runs {
		cpu += o.task.job.Phases[o.task.step].CPU
		memory += o.task.job.Phases[o.task.step].MemMB
		if o.task.job == t.job && o.task.step == t.step && o.task.occurrence == t.occurrence {
			same++
		}
	}
	if cpu > r.worker.machine.cpu || memory > r.worker.machine.memory {
		w.broke("LIMIT", "%s brings %s to %d of %d thousandths of a core, %d of %d MB", t.name, r.worker.id, cpu, r.worker.machine.cpu, memory, r.worker.machine.memory)
	}
	if s.MaxPerServer > 0 && same > s.MaxPerServer {
		w.broke("ROUTE", "%s is number %d of its step on %s, %d at most", t.name, same, r.worker.id, s.MaxPerServer)
	}
	owner := t.job.tenant
	if owner == nil || owner.cpuCap == 0 {
		return
	}
	used, tasks := s.CPU, 1
	for _, j := range w.jobs {
		if j.tenant != owner {
			continue
		}
		for _, o := range j.tasks {
			used += len(o.running) * j.Phases[o.step].CPU
			tasks += len(o.running)
		}
	}
	if limit := int(float64(owner.cpuCap)*excessFactor) + s.CPU; used > limit {
		w.broke("QUOTA", "%s has %d tasks of %d thousandths of a core running with %s; its cap is %d, the rule allows %d", owner.name, tasks, used, t.name, owner.cpuCap, limit)
	}
}

// judgeEnd checks the end of a run; the caller holds the lock.
func (w *world) judgeEnd(r *run, how string) {
	t := r.task
	switch how {
	case "done":
		t.doneAt = w.now()
	case "failed":
		t.failed++
	case "alone":
		w.note("ALONE %s run %d", t.name, r.number)
	}
}

// noteEnd records that an end was taken note of; the caller holds the lock.
func (w *world) noteEnd(e *end, lapsed bool) {
	t := e.run.task
	if lapsed {
		return
	}
	switch e.how {
	case "done":
		if t.doneNoted == 0 {
			t.doneNoted = w.now()
			if t.highest = e.run.number; len(t.running) > 0 && !t.job.Phases[t.step].LongRunning && t.doneAt > 0 {
				w.note("%s was done while a run of it is there", t.name)
			}
		}
	case "failed":
		t.failures++
	}
}

func (w *world) summary() string {
	accepted, completed := 0, 0
	starts := 0
	for _, j := range w.jobs {
		if j.accepted > 0 {
			accepted++
		}
		if j.state == "completed" {
			completed++
		}
		for _, t := range j.tasks {
			starts += t.starts
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d completed, %d starts, %d rules broken", len(w.jobs), accepted, completed, starts, len(w.broken))
}
