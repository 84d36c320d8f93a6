package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playPending: a queue with a backlog is sent to another service, and its pending jobs are asked for.
func playPending(w *world, trouble bool) (int, error) {
	const jobs = 80
	before := w.queues[0]
	var sent sync.WaitGroup
	accepted := make([]bool, jobs)
	for i := range jobs {
		sent.Go(func() {
			accepted[i] = w.submit(before, id(i), 60*time.Second, phase{Count: 1, CPU: workerCPU, MemMB: 256, EstMS: 60000})
		})
	}
	sent.Wait()
	q := before
	if trouble {
		q = w.moveQueue(0, poolNames[1])
	}
	time.Sleep(configTime + visibleTime + 2*time.Second + 5*time.Second)
	status := held
	for _, f := range w.fronts {
		waiting := 0
		for i := range jobs {
			if accepted[i] && len(w.check.runsOf(id(i))) == 0 {
				waiting++
			}
		}
		a := w.call(f, http.MethodGet, q, "", "")
		var shown int
		if _, err := fmt.Sscanf(a.body, `{"pending":%d}`, &shown); err != nil || a.status != http.StatusOK {
			continue
		}
		w.note("%s gives %d as pending; %d accepted jobs have not begun", f.name, shown, waiting)
		if 2*shown < waiting {
			status = broken
		}
	}
	return status, nil
}
