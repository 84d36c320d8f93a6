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
// removes the queue's route and adds one of another name for the same host and path. VARIANT=frozen is playFrozen.
func playTwice(w *world, trouble bool) (int, error) {
	if os.Getenv("VARIANT") == "frozen" {
		return playFrozen(w, trouble)
	}
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

// playFrozen: an instance is frozen while a config sends a queue to another service. Requests for jobs that have been
// accepted there arrive again on channels that were opened to the frozen instance before.
func playFrozen(w *world, trouble bool) (int, error) {
	const jobs = 10
	before := w.queues[0]
	var frozen *front
	for _, f := range w.fronts {
		if f != w.ownerOf(poolNames[0]) && f != w.ownerOf(poolNames[1]) {
			frozen = f
		}
	}
	channels := make([]*http.Client, jobs)
	for i := range channels {
		channels[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		if a := w.callOn(channels[i], frozen, http.MethodGet, before, "", ""); a.status != http.StatusOK {
			return couldNot, fmt.Errorf("a channel was answered with %d", a.status)
		}
	}
	began := time.Now()
	if trouble {
		w.note("platform: the machine of %s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		defer frozen.signal(syscall.SIGCONT)
	}
	q := w.moveQueue(0, poolNames[1])
	time.Sleep(time.Second)
	bodies := make([]string, jobs)
	w.each(jobs, func(i int) {
		bodies[i] = w.jobBody(id(i), 20*time.Second, phase{Count: 1, CPU: 1700, MemMB: 256, EstMS: 20000})
		for end := time.Now().Add(timeBudget); time.Now().Before(end); time.Sleep(retryPause) {
			if f := w.pick(frozen); f != nil && w.call(f, http.MethodPost, q, id(i), bodies[i]).status == http.StatusOK {
				return
			}
		}
	})
	if trouble {
		time.AfterFunc(max(300*time.Millisecond, freezeTime-time.Since(began)), func() {
			frozen.signal(syscall.SIGCONT)
			w.note("platform: the machine of %s wakes after %.2f s", frozen.name, time.Since(began).Seconds())
		})
	}
	time.Sleep(500 * time.Millisecond)
	w.note("the requests for the jobs arrive again at %s", frozen.name)
	w.each(jobs, func(i int) { w.callOn(channels[i], frozen, http.MethodPost, q, id(i), bodies[i]) })
	time.Sleep(30 * time.Second)
	status := held
	for i := range jobs {
		for _, text := range w.check.twice(id(i)) {
			w.note("TWICE: %s", text)
			status = broken
		}
	}
	return status, nil
}
