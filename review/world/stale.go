package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// freezeTime is how long the owner's machine stands still, the longest that the site files name.
const freezeTime = 4 * time.Second

// playStale: the owner of a service freezes, another instance takes over and accepts jobs, and clients cancel these on
// channels to the frozen instance that they have opened before.
func playStale(w *world, trouble bool) (int, error) {
	const jobs = 10
	q := w.queues[0]
	owner := w.ownerOf(q.backend)
	if owner == nil {
		return couldNot, fmt.Errorf("the service has no owner")
	}
	channels := make([]*http.Client, jobs)
	for i := range channels {
		channels[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		if a := w.callOn(channels[i], owner, http.MethodGet, q, "", ""); a.status != http.StatusOK {
			return couldNot, fmt.Errorf("a channel was answered with %d", a.status)
		}
	}
	began := time.Now()
	if trouble {
		w.note("platform: the machine of %s freezes", owner.name)
		owner.signal(syscall.SIGSTOP)
		defer owner.signal(syscall.SIGCONT)
		if !w.await(freezeTime, func() bool { o := w.ownerOf(q.backend); return o != nil && o != owner }) {
			return couldNot, fmt.Errorf("nobody took over")
		}
		w.note("%s takes over", w.ownerOf(q.backend).name)
	}
	accepted := make([]bool, jobs)
	w.each(jobs, func(i int) {
		p := phase{Count: 1, CPU: 500, MemMB: 256, EstMS: 700, LongRunning: true, MaxUnavailable: 1}
		body := w.jobBody(id(i), 0, p)
		for end := time.Now().Add(timeBudget); !accepted[i] && time.Now().Before(end); time.Sleep(retryPause) {
			if f := w.pick(owner); f != nil {
				accepted[i] = w.call(f, http.MethodPost, q, id(i), body).status == http.StatusOK
			}
		}
	})
	time.Sleep(100 * time.Millisecond)
	if trouble {
		w.note("%.2f s after the freeze the jobs are accepted", time.Since(began).Seconds())
		time.AfterFunc(max(300*time.Millisecond, freezeTime-time.Since(began)), func() {
			owner.signal(syscall.SIGCONT)
			w.note("platform: the machine of %s wakes after %.2f s", owner.name, time.Since(began).Seconds())
		})
	}
	acked := make([]int, jobs)
	w.each(jobs, func(i int) {
		a := w.callOn(channels[i], owner, http.MethodDelete, q, id(i), "")
		if a.status != http.StatusOK && a.status != http.StatusGone {
			a = w.until(10*time.Second, http.MethodDelete, q, id(i), "", http.StatusOK, http.StatusGone)
		}
		acked[i] = a.status
	})
	time.Sleep(contactTime + cancelTime + stopBound + 15*time.Second)
	status := held
	for i := range jobs {
		left := w.check.running(id(i))
		if !accepted[i] || left == 0 {
			continue
		}
		a := w.until(3*time.Second, http.MethodGet, q, id(i), "", http.StatusOK, http.StatusGone)
		w.note("job %s, whose cancel was answered %d, has %d tasks running; GET: %d %s", id(i), acked[i], left, a.status, a.body)
		if acked[i] == http.StatusOK || acked[i] == http.StatusGone {
			status = broken
		}
	}
	return status, nil
}

// each runs a function for 0 to n - 1 at the same time and waits for all.
func (w *world) each(n int, f func(i int)) {
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { f(i) })
	}
	running.Wait()
}
