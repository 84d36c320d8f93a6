package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// playTwice: the processes are killed right after a config is acknowledged that sends a queue to another service, and a
// request for a job that was accepted before arrives again. With VARIANT=rename nothing is killed; instead the config
// removes the queue's route and adds one of another name for the same host and path.
func playTwice(w *world, trouble bool) (int, error) {
	before := w.queues[0]
	job := id(1)
	body := w.jobBody(job, 25*time.Second, phase{Count: 4, CPU: 1700, MemMB: 256, EstMS: 25000})
	if w.until(10*time.Second, http.MethodPost, before, job, body, http.StatusOK).status != http.StatusOK {
		return couldNot, fmt.Errorf("the job was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.check.running(job) == 4 }) {
		return couldNot, fmt.Errorf("the job's tasks did not start")
	}
	rename := os.Getenv("VARIANT") == "rename"
	if rename && trouble {
		w.mu.Lock()
		w.queues[0].name = "r-new"
		w.mu.Unlock()
	}
	q := w.moveQueue(0, poolNames[1])
	if trouble && !rename {
		for _, f := range w.fronts {
			f.signal(syscall.SIGKILL)
		}
		w.note("platform: all processes are killed")
		time.Sleep(restartDelay)
	}
	time.Sleep(configTime)
	if !w.await(startWait, func() bool { return w.pick(nil) != nil }) {
		return couldNot, fmt.Errorf("no instance is ready")
	}
	w.note("the request for the job arrives again")
	w.until(10*time.Second, http.MethodPost, q, job, body, http.StatusOK)
	w.await(50*time.Second, func() bool {
		time.Sleep(2 * time.Second)
		return w.until(3*time.Second, http.MethodGet, q, job, "", http.StatusOK).body == `{"state":"completed"}`
	})
	time.Sleep(2 * time.Second)
	found := w.check.twice(job)
	for _, text := range found {
		w.note("TWICE: %s", text)
	}
	if len(found) > 0 {
		return broken, nil
	}
	return held, nil
}
