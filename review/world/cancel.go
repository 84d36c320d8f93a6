package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCancel: a job that lasts is cancelled while the service that its queue had before has no owner.
func playCancel(w *world, trouble bool) (int, error) {
	before := w.queues[0]
	job := id(1)
	if !w.submit(before, job, 0, phase{Count: 5, CPU: 500, MemMB: 256, EstMS: 700, LongRunning: true, MaxUnavailable: 1}) {
		return couldNot, fmt.Errorf("the job was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.check.running(job) == 5 }) {
		return couldNot, fmt.Errorf("the job's tasks did not start")
	}
	q := w.moveQueue(0, poolNames[1])
	time.Sleep(configTime + contactTime)
	owner := w.ownerOf(before.backend)
	if owner == nil {
		return couldNot, fmt.Errorf("the service has no owner")
	}
	if trouble {
		w.kill(owner)
		time.Sleep(500 * time.Millisecond)
	}
	a := answer{}
	for end := time.Now().Add(20 * time.Second); a.status != http.StatusOK && a.status != http.StatusGone && time.Now().Before(end); {
		f := w.pick(owner)
		if f == nil {
			return couldNot, fmt.Errorf("no instance is ready")
		}
		a = w.call(f, http.MethodDelete, q, job, "")
	}
	acked := time.Now()
	if a.status != http.StatusOK {
		return couldNot, fmt.Errorf("the cancel was answered with %d", a.status)
	}
	w.note("the cancel is acknowledged")
	// Calm: the killed process is back after a second, and all machines are in touch contactTime later.
	time.Sleep(restartDelay + contactTime + cancelTime + stopBound + 20*time.Second)
	w.until(5*time.Second, http.MethodGet, q, job, "", http.StatusOK, http.StatusGone)
	left := w.check.running(job)
	w.note("%.1f s after the acknowledgement %d tasks of the cancelled job run", time.Since(acked).Seconds(), left)
	if left > 0 {
		return broken, nil
	}
	return held, nil
}
