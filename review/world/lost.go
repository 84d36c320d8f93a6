package main

import "time"

// Times of the check of the rule LOST.
const (
	idleTime   = 3 * time.Second
	sampleTime = 200 * time.Millisecond
)

// isLost reports whether, for idleTime, a job of one step has nothing running while the service has capacity for it twice
// over and under half of its capacity is in use, finishTime after the last job was handed in. The tenant has no cap.
func (w *world) isLost(job, pool string, p phase) bool {
	w.mu.Lock()
	rest := time.Until(w.lastSent.Add(finishTime))
	w.mu.Unlock()
	time.Sleep(max(0, rest))
	for end := time.Now().Add(idleTime + sampleTime); time.Now().Before(end); time.Sleep(sampleTime) {
		places, used, capacity := w.room(pool, p)
		if w.check.running(job) > 0 || places < 2*p.Count || 2*used >= capacity {
			w.note("job %s: %d tasks run; places for %d of its tasks, %d of %d in use", job, w.check.running(job), places, used, capacity)
			return false
		}
	}
	places, used, capacity := w.room(pool, p)
	w.note("LOST: job %s has nothing running for %v; places for %d tasks like its %d, %d of %d thousandths of a core in use",
		job, idleTime, places, p.Count, used, capacity)
	return true
}

// room returns for how many tasks of a step a service's workers have room, and how much of their processors is in use.
func (w *world) room(pool string, p phase) (places, used, capacity int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		k := m.worker
		if k == nil || k.pool != pool {
			continue
		}
		cpu, mem := k.inUse()
		used, capacity = used+cpu, capacity+workerCPU
		if p.Requires != "" && p.Requires != k.kind && p.Requires != k.rack {
			continue
		}
		here := min((workerCPU-cpu)/max(1, p.CPU), (workerMemMB-mem)/max(1, p.MemMB))
		if p.MaxPerServer > 0 {
			here = min(here, p.MaxPerServer)
		}
		places += max(0, here)
	}
	return places, used, capacity
}

// inUse returns what the runs on a worker take.
func (k *worker) inUse() (cpu, mem int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for task := range k.runs {
		c, m := k.world.check.sizeOf(jobOf(task))
		cpu, mem = cpu+c, mem+m
	}
	return cpu, mem
}

// sizeOf returns what one task of a job takes.
func (c *checker) sizeOf(id string) (cpu, mem int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.cpu, j.memMB
	}
	return 0, 0
}
