package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestShrunkWorkersGetNoMoreThanTheyHold plays the cause of deploy/days/shrunk.toml: some workers shrink to 0.55 of their
// capacity for 14 s, and a burst of jobs comes. No start may exceed what a worker has, and every job has to end.
func TestShrunkWorkersGetNoMoreThanTheyHold(t *testing.T) {
	const workers, shrunk = 8, 2
	for seed := range uint64(10) {
		w := newSimulation(seed, workers)
		w.takeOver()
		w.submit("00000000000000ff", longRunningJob())
		began := time.Duration(2000+w.random.IntN(4000)) * time.Millisecond
		for i := range shrunk {
			f := w.workers[fmt.Sprintf("w%d", i)]
			whole := f.capacity
			w.after(began, func() {
				f.setCapacity(catalog.Resources{CPU: whole.CPU * 55 / 100, MemoryMB: whole.MemoryMB * 55 / 100})
			})
			w.after(began+14*time.Second, func() { f.setCapacity(whole) })
		}
		for i := range 120 {
			at := time.Duration(w.random.IntN(16000)) * time.Millisecond
			if i%3 == 0 {
				at = began + 5*time.Second + time.Duration(w.random.IntN(1000))*time.Millisecond
			}
			w.after(at, func() { w.submit(fmt.Sprintf("%016x", i), shortJob(1+w.random.IntN(6))) })
		}
		w.run(60 * time.Second)
		if left := w.unfinished(); len(left) > 0 || len(w.violations) > 0 {
			t.Errorf("seed %d: %d jobs have not ended; %v", seed, len(left), w.violations)
		}
	}
}

// TestDeadlyTaskIsGivenUpWhenItsOwnerDies plays the cause of deploy/days/deadly-task.toml: some jobs hold a task that
// crashes each worker that starts it, and the owner that gives the orders is killed meanwhile, at any moment.
func TestDeadlyTaskIsGivenUpWhenItsOwnerDies(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(seed, 8)
		w.takeOver()
		deadly := deadlyDay(w, 10*time.Millisecond)
		at := time.Duration(5000+w.random.IntN(9000)) * time.Millisecond
		w.after(at, func() { w.owners[0].terminated = true })
		w.after(at+1600*time.Millisecond, func() { w.takeOver().askInstances(300 * time.Millisecond) })
		w.run(60 * time.Second)
		checkDeadlyDay(t, w, seed, deadly)
		for name, j := range w.log {
			if _, isDeadly := w.deadly[job.Name{Job: name}]; !isDeadly && j.Progress != nil && j.Progress.State == job.Failed {
				t.Errorf("seed %d: job %s, which crashes nothing, has failed", seed, name)
			}
		}
	}
}
