package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

func shortJob(count int) job.Spec {
	return job.Spec{
		Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond},
		Steps: []job.Step{
			{Count: count, CPU: 800, MemoryMB: 500, Estimate: 800 * time.Millisecond},
			{Count: 2, CPU: 500, MemoryMB: 300, Estimate: 500 * time.Millisecond, After: []int{0}},
		},
	}
}

func longRunningJob() job.Spec {
	return job.Spec{Queue: "l", Steps: []job.Step{{Count: 3, CPU: 600, MemoryMB: 900, LongRunning: true, MaxUnavailable: 1}}}
}

// TestInvariants runs a pool through faults in simulated time and checks that no task runs twice or starts after its
// end, no worker is overcommitted, steps keep their order, and every job ends.
func TestInvariants(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		script func(w *simulation)
	}{
		{"calm", faults{}, func(*simulation) {}},
		{"answers are lost", faults{lostAfter: 0.2}, func(*simulation) {}},
		{"orders are lost", faults{lostBefore: 0.2}, func(*simulation) {}},
		{"orders are late", faults{late: 0.15}, func(*simulation) {}},
		{"all of it", faults{lostBefore: 0.05, lostAfter: 0.05, late: 0.05}, func(*simulation) {}},
		{"workers die and come back", faults{lostAfter: 0.02}, func(w *simulation) {
			w.after(time.Second, func() { w.kill("w0") })
			w.after(2500*time.Millisecond, func() { w.kill("w1") })
			w.after(6*time.Second, func() { w.restart("w0") })
			w.after(9*time.Second, func() { w.restart("w1") })
		}},
		{"workers crash and are back at once under their ids", faults{lostAfter: 0.02}, func(w *simulation) {
			w.entryDelay = 400 * time.Millisecond
			w.crashWorkers()
		}},
		{"workers are back while the store shows entries of earlier lives", faults{}, func(w *simulation) {
			w.entryDelay = 3 * time.Second
			w.crashWorkers()
		}},
		{"workers are back under their ids while owners change", faults{lostAfter: 0.02}, func(w *simulation) {
			w.entryDelay = 2 * time.Second
			w.crashWorkers()
			for i := range 8 {
				w.after(time.Duration(i+1)*1100*time.Millisecond, func() { w.takeOver() })
			}
		}},
		{"a worker is cut off and runs on", faults{}, func(w *simulation) {
			w.after(900*time.Millisecond, func() { w.workers["w0"].disconnected = true })
			w.after(8*time.Second, func() { w.workers["w0"].disconnected = false })
		}},
		{"the owner dies", faults{late: 0.05}, func(w *simulation) {
			w.after(1100*time.Millisecond, func() { w.owners[0].terminated = true })
			w.after(2200*time.Millisecond, func() { w.takeOver() })
		}},
		{"the owner freezes and wakes", faults{late: 0.03}, func(w *simulation) {
			w.after(1100*time.Millisecond, func() { w.owners[0].frozen = true })
			w.after(2200*time.Millisecond, func() { w.takeOver() })
			w.after(4*time.Second, func() { w.owners[0].wake() })
		}},
		{"the owner changes while a worker is cut off from the new one", faults{}, func(w *simulation) {
			w.after(1100*time.Millisecond, func() { w.takeOver().unreachable["w1"] = true })
			w.after(12*time.Second, func() { delete(w.owners[1].unreachable, "w1") })
		}},
		{"the owner changes as a worker that was cut off comes back", faults{}, func(w *simulation) {
			w.after(900*time.Millisecond, func() { w.workers["w0"].disconnected = true })
			w.after(5600*time.Millisecond, func() { w.workers["w0"].disconnected = false })
			for i := range 12 {
				w.after(5600*time.Millisecond+time.Duration(i+1)*40*time.Millisecond, func() { w.takeOver() })
			}
			for i := range 30 {
				w.after(time.Duration(i)*150*time.Millisecond, func() { w.submit(fmt.Sprintf("%016x", 100+i), shortJob(6)) })
			}
		}},
		{"owners change in a row", faults{lostAfter: 0.05, late: 0.02}, func(w *simulation) {
			for i := range 5 {
				w.after(time.Duration(i+1)*900*time.Millisecond, func() { w.takeOver() })
			}
		}},
		{"tasks fail", faults{}, func(w *simulation) { w.failureRate = 0.2 }},
		{"workers are emptied while owners change", faults{}, func(w *simulation) {
			for i := range 8 {
				w.after(time.Duration(i)*1500*time.Millisecond, func() { w.cordoned = []string{fmt.Sprintf("w%d", i%4)} })
				w.after(time.Duration(i)*1500*time.Millisecond+time.Duration(w.random.IntN(1400))*time.Millisecond, func() { w.takeOver() })
			}
			w.after(13*time.Second, func() { w.cordoned = nil })
		}},
		{"workers shrink and grow", faults{lostAfter: 0.02}, func(w *simulation) {
			for i := range 24 {
				f := w.workers[fmt.Sprintf("w%d", i%4)]
				whole := f.capacity
				at := time.Duration(300+i*350+w.random.IntN(300)) * time.Millisecond
				w.after(at, func() { f.setCapacity(catalog.Resources{CPU: 1700, MemoryMB: 4000}) })
				w.after(at+time.Duration(400+w.random.IntN(600))*time.Millisecond, func() { f.setCapacity(whole) })
			}
			w.after(3*time.Second, func() { w.takeOver() })
		}},
		{"a worker drains", faults{}, func(w *simulation) {
			w.after(time.Second, func() { w.workers["w2"].draining = true })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(25) {
				simulate(t, seed, test.faults, test.script)
			}
		})
	}
}

// crashWorkers crashes workers one after another and restarts each under its id shortly afterwards.
func (w *simulation) crashWorkers() {
	for i := range 16 {
		id := fmt.Sprintf("w%d", i%4)
		at := time.Duration(900+i*450+w.random.IntN(300)) * time.Millisecond
		w.after(at, func() { w.kill(id) })
		w.after(at+time.Duration(20+w.random.IntN(300))*time.Millisecond, func() { w.restart(id) })
	}
}

func (o *fakeOwner) wake() {
	o.frozen = false
	backlog := o.backlog
	o.backlog = nil
	for _, f := range backlog {
		o.runOnControlThread(f)
	}
}

func simulate(t *testing.T, seed uint64, f faults, script func(w *simulation)) {
	t.Helper()
	w := newSimulation(seed, 4)
	w.faults = f
	w.takeOver()
	w.submit("00000000000000ff", longRunningJob())
	for i := range 30 {
		w.after(time.Duration(w.random.IntN(6000))*time.Millisecond, func() { w.submit(fmt.Sprintf("%016x", i), shortJob(1+w.random.IntN(8))) })
	}
	script(w)
	w.run(25 * time.Second)
	w.faults = faults{}
	w.run(60 * time.Second)
	for _, b := range w.violations {
		t.Errorf("seed %d: %s", seed, b)
	}
	if left := w.unfinished(); len(left) > 0 {
		t.Errorf("seed %d: %d jobs have not ended, for example %s", seed, len(left), left[0])
	}
	longRunning := 0
	for name, n := range w.activeRuns {
		if name.Job == "00000000000000ff" {
			longRunning += n
		}
	}
	if longRunning != 3 {
		t.Errorf("seed %d: %d runs of long-running tasks at the end, want 3", seed, longRunning)
	}
}
