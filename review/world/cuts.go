package main

import (
	"fmt"
	"net/http"
	"time"
)

// workerWith returns the worker that runs a job's first task, or nil.
func (w *world) workerWith(job string) *worker {
	for _, s := range w.check.runsOf(job) {
		if !s.ended.IsZero() {
			continue
		}
		w.mu.Lock()
		for _, m := range w.machines {
			if m.worker != nil && m.worker.id == s.worker {
				w.mu.Unlock()
				return m.worker
			}
		}
		w.mu.Unlock()
	}
	return nil
}

// playCuts: again and again the worker that runs a job is cut off for some seconds.
func playCuts(w *world, trouble bool) (int, error) {
	const (
		cuts    = 5
		cutTime = 5500 * time.Millisecond
		period  = 11 * time.Second
	)
	q := w.queues[0]
	job, other := id(1), id(2)
	if !w.submit(q, other, 0, phase{Count: 6, CPU: 9000, MemMB: 256, EstMS: 700, LongRunning: true}) {
		return couldNot, fmt.Errorf("the lasting job was not accepted")
	}
	if !w.await(20*time.Second, func() bool { return w.check.running(other) == 6 }) {
		return couldNot, fmt.Errorf("the lasting job did not start")
	}
	if !w.submit(q, job, 20*time.Second, phase{Count: 1, CPU: 1700, MemMB: 256, EstMS: 20000}) {
		return couldNot, fmt.Errorf("the job was not accepted")
	}
	state := ""
	for n := 0; trouble && n < cuts && state != `{"state":"failed"}`; n++ {
		next := time.Now().Add(period)
		time.Sleep(4 * time.Second)
		k := w.workerWith(job)
		if k == nil {
			return couldNot, fmt.Errorf("the job does not run before cut %d", n+1)
		}
		k.setCut(true)
		time.Sleep(cutTime)
		k.setCut(false)
		time.Sleep(time.Until(next))
		state = w.until(3*time.Second, http.MethodGet, q, job, "", http.StatusOK).body
	}
	w.await(40*time.Second, func() bool {
		state = w.until(3*time.Second, http.MethodGet, q, job, "", http.StatusOK).body
		time.Sleep(time.Second)
		return state == `{"state":"completed"}` || state == `{"state":"failed"}`
	})
	failed := 0
	for _, s := range w.check.runsOf(job) {
		if s.how == "failed" || s.how == "lost" {
			failed++
		}
	}
	w.note("the job is shown as %s; %d of its runs have ended failed or with their worker", state, failed)
	if state == `{"state":"failed"}` && failed == 0 {
		return broken, nil
	}
	return held, nil
}
