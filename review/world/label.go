package main

import (
	"fmt"
	"net/http"
	"time"
)

// playLabel: the worker that runs a task which only some workers may run crashes once and is back.
func playLabel(w *world, trouble bool) (int, error) {
	q, job, lasting := w.queues[0], id(1), id(2)
	p := phase{Count: 2, CPU: 1000, MemMB: 256, EstMS: 700, LongRunning: true, MaxPerServer: 1, Requires: "b"}
	if !w.submit(q, lasting, 0, p) {
		return couldNot, fmt.Errorf("the lasting job was not accepted")
	}
	if !w.await(20*time.Second, func() bool { return w.check.running(lasting) == 2 }) {
		return couldNot, fmt.Errorf("the lasting job does not run")
	}
	time.Sleep(3 * time.Second)
	ordinary := phase{Count: 1, CPU: 1000, MemMB: 256, EstMS: 6000, Requires: "b"}
	if !w.submit(q, job, 6*time.Second, ordinary) {
		return couldNot, fmt.Errorf("the job was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.check.running(job) == 1 }) {
		return couldNot, fmt.Errorf("the job did not start")
	}
	time.Sleep(time.Second)
	if trouble {
		k := w.workerWith(job)
		if k == nil {
			return couldNot, fmt.Errorf("the job does not run")
		}
		for _, m := range w.machines {
			if m.name == k.machine {
				w.crash([]*machine{m}, 4500*time.Millisecond)
			}
		}
	}
	state := ""
	w.await(50*time.Second, func() bool {
		time.Sleep(2 * time.Second)
		state = w.until(3*time.Second, http.MethodGet, q, job, "", http.StatusOK).body
		return state == `{"state":"completed"}`
	})
	w.note("the job is shown as %s, with %d tasks running; %d lasting tasks run", state, w.check.running(job), w.check.running(lasting))
	if state != `{"state":"completed"}` && w.isLost(job, q.backend, ordinary) {
		return broken, nil
	}
	return held, nil
}
