package main

import (
	"net/http"
	"time"
)

// playWide: one job with many small tasks comes, and then ordinary jobs of the same queue.
func playWide(w *world, trouble bool) (int, error) {
	q := w.queues[0]
	w.check.quiet = true
	if trouble {
		if !w.submit(q, id(1), 20*time.Second, phase{Count: 14000, CPU: 10, MemMB: 16, EstMS: 20000}) {
			return held, nil
		}
		w.note("the job of 14,000 tasks is accepted")
	}
	time.Sleep(2 * time.Second)
	small := phase{Count: 6, CPU: 800, MemMB: 256, EstMS: 800}
	var ordinary []string
	for i := range 10 {
		job := id(100 + i)
		if w.submit(q, job, 800*time.Millisecond, small) {
			ordinary = append(ordinary, job)
			w.note("ordinary job %s is accepted", job)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime + 20*time.Second)
	status := held
	for _, job := range ordinary {
		a := w.until(3*time.Second, http.MethodGet, q, job, "", http.StatusOK, http.StatusGone)
		w.note("ordinary job %s: %d starts, %d %s", job, len(w.check.runsOf(job)), a.status, a.body)
		if a.status == http.StatusOK && a.body != `{"state":"completed"}` && status == held && w.isLost(job, q.backend, small) {
			status = broken
		}
	}
	if trouble {
		a := w.until(3*time.Second, http.MethodGet, q, id(1), "", http.StatusOK, http.StatusGone)
		w.note("job of 14,000 tasks: %d starts, %d %s; the store has refused %d appends", len(w.check.runsOf(id(1))), a.status, a.body, w.store.refused)
	}
	return status, nil
}
