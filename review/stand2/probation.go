package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case of the probation.
const (
	burstJobs   = 8
	burstTask   = 7 * time.Second         // est_ms of the example in PROTOCOL.md
	crashAge    = 6 * time.Second         // of the runs when their worker crashes
	crashPause  = 4500 * time.Millisecond // until another worker is on its machine
	finishTime  = 14 * time.Second        // finish_s
	idleTime    = 3 * time.Second         // for which a job has nothing running
	burstTime   = 105 * time.Second
	burstSample = 100 * time.Millisecond
)

func burstID(n int) string { return fmt.Sprintf("5c0e7a21d94b36%02x", n) }

// playProbation hands in some jobs of one task at one moment. With the disruption, the worker that runs them crashes once, 6 s
// later. The rule is LOST: 14 s after the last job was handed in and after the crash, for 3 s, a job has nothing running, though there is capacity
// for it twice over and under half of the capacity is in use.
func playProbation(w *world) (bool, error) {
	w.cloud.duration = func(string) time.Duration { return burstTask }
	for n := range 6 {
		pool := poolName
		if n >= 4 {
			pool = spareName
		}
		if err := w.cloud.add(machineName(n+1), pool, "z1"); err != nil {
			return false, err
		}
	}
	if err := w.start(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if err := w.handInBurst(); err != nil {
		return false, err
	}
	handedIn := time.Now()
	time.Sleep(crashAge)
	if w.trouble {
		w.cloud.crash(w.cloud.workerWith(burstID(0) + ".0.0.0"))
	}
	time.Sleep(finishTime)
	idle := map[string]time.Time{}
	for ; time.Since(handedIn) < burstTime; time.Sleep(burstSample) {
		if w.isIdleFor(idle) {
			return true, nil
		}
		if w.allDone() {
			return false, nil
		}
	}
	return false, fmt.Errorf("%w: the jobs have no end", errNotRun)
}

func (w *world) allDone() bool {
	for n := range burstJobs {
		if !w.cloud.isDone(burstID(n) + ".0.0.0") {
			return false
		}
	}
	return true
}

// handInBurst hands in all jobs at the same time.
func (w *world) handInBurst() error {
	var wait sync.WaitGroup
	statuses := make([]int, burstJobs)
	for n := range burstJobs {
		wait.Go(func() {
			statuses[n], _ = w.call(w.instances[0], "POST", burstID(n), map[string]any{
				"spec": "s", "phases": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": burstTask.Milliseconds()}},
			})
		})
	}
	wait.Wait()
	for n, status := range statuses {
		w.note("job %s is handed in: %d", burstID(n), status)
		if status != 200 {
			return fmt.Errorf("%w: a job was not accepted", errNotRun)
		}
	}
	return nil
}

// isIdleFor reports whether a job has had nothing running for long enough, with capacity for it. It keeps in idle since when that is
// so.
func (w *world) isIdleFor(idle map[string]time.Time) bool {
	used, free, all := w.cloud.use()
	for n := range burstJobs {
		task := burstID(n) + ".0.0.0"
		if w.cloud.isDone(task) || w.cloud.workerWith(task) != nil || free < 2*1000 || 2*used >= all {
			delete(idle, task)
			continue
		}
		since, known := idle[task]
		if !known {
			idle[task] = time.Now()
			continue
		}
		if time.Since(since) >= idleTime {
			status, answer := w.call(w.instances[0], "GET", burstID(n), nil)
			w.note("%s has nothing running for %v; %d of %d thousandths of a core are in use; GET: %d %v", task, idleTime, used, all, status, answer["state"])
			return true
		}
	}
	return false
}
