package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case of the cuts.
const (
	cuts        = 5
	cutTime     = 6500 * time.Millisecond // zone_cut of tambuli-ops-grown
	killAfter   = 6100 * time.Millisecond // from the start of a cut
	longTask    = 13 * time.Second        // 1.7 s, 8 times as long: poison long
	settleTime  = 1500 * time.Millisecond // that the run is there before the next cut
	cutsTimeout = 95 * time.Second
	longJob     = "5c0e7a21d94b36f8"
	longRun     = longJob + ".0.0.0"
)

// playCuts hands in a job with one long task. With the disruption, the zone of the worker that runs it is cut off, five times, and
// the owner of the pool is killed near the end of each cut. The rule is LOST: the job is shown as failed without cause, that is,
// though no run has ended failed and no worker has ended under one.
func playCuts(w *world) (bool, error) {
	w.cloud.duration = func(string) time.Duration { return longTask }
	for n, zone := range []string{"z2", "z2", "z3", "z3", "z2", "z3"} {
		pool := poolName
		if n >= 4 {
			pool = spareName
		}
		if err := w.cloud.add(machineName(n+1), pool, zone); err != nil {
			return false, err
		}
	}
	if err := w.start(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	status, _ := w.call(w.instances[0], "POST", longJob, map[string]any{
		"spec": "s", "phases": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": longTask.Milliseconds()}},
	})
	w.note("job %s is handed in: %d", longJob, status)
	if status != 200 {
		return false, fmt.Errorf("%w: the job was not accepted", errNotRun)
	}
	begun := time.Now()
	if w.trouble {
		for range cuts {
			if err := w.cutOff(); err != nil {
				return false, err
			}
			if w.state() == "failed" || time.Since(begun) > cutsTimeout {
				break
			}
		}
	}
	for time.Since(begun) < cutsTimeout {
		switch w.state() {
		case "failed":
			w.note("runs of the job that ended failed or with their worker: %d", w.causes(longRun))
			return w.causes(longRun) == 0, nil
		case "completed":
			return false, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false, fmt.Errorf("%w: the job has no end", errNotRun)
}

// state asks the instances for the state of the job until one answers.
func (w *world) state() string {
	for range 8 {
		for _, i := range w.instances {
			status, answer := w.call(i, "GET", longJob, nil)
			if state, ok := answer["state"].(string); ok && status == 200 {
				w.note("%s says %s", i.name, state)
				return state
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// cutOff cuts off the zone of the worker that runs the job, and kills the owner of the pool before the cut is over.
func (w *world) cutOff() error {
	var on *worker
	for until := time.Now().Add(15 * time.Second); on == nil; time.Sleep(50 * time.Millisecond) {
		if on = w.cloud.workerWith(longRun); on == nil && time.Now().After(until) {
			if w.state() == "failed" {
				return nil
			}
			return fmt.Errorf("%w: the job doesn't run", errNotRun)
		}
	}
	time.Sleep(settleTime)
	w.cloud.cutZone(on.zone, true)
	var wait sync.WaitGroup
	var failed error
	wait.Go(func() {
		time.Sleep(killAfter)
		if i := w.ownerOf(poolName); i != nil {
			failed = i.restart()
		}
	})
	time.Sleep(cutTime)
	w.cloud.cutZone(on.zone, false)
	wait.Wait()
	time.Sleep(settleTime)
	return failed
}

// ownerOf returns the instance that owns a pool by the table of owners, or nil.
func (w *world) ownerOf(pool string) *instance {
	address := w.store.newestValue("owners", pool)
	for _, i := range w.instances {
		if i.peers == address {
			return i
		}
	}
	return nil
}
