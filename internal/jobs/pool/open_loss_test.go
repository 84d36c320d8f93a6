package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// openLossWorld is a pool that presumes the worker of a task's first run to have crashed, since its entry is missing.
type openLossWorld struct {
	*simulation
	lost *fakeWorker
	task job.Name
}

func newOpenLossWorld(t *testing.T) *openLossWorld {
	t.Helper()
	w := &openLossWorld{simulation: newSimulation(1, 4), task: job.Name{Job: "0000000000000001"}}
	w.takeOver()
	w.run(time.Second)
	spec := shortJob(1)
	spec.Steps[0].Estimate = 20 * time.Second
	w.submit(string(w.task.Job), spec)
	w.work[w.task] = 10 * time.Minute
	w.run(2 * time.Second)
	w.lost = w.workers[w.workerOf[w.task]]
	w.lost.disconnected = true
	w.after(testLease, func() { w.lost.unlisted = true })
	w.run(10 * time.Second)
	if c := w.record(); c.Total() != 1 || c.Crashes != 0 {
		t.Fatalf("%d crashes, %d of them certain, want one that is presumed", c.Total(), c.Crashes)
	}
	return w
}

// record returns what the newest owner has on crashes of the task.
func (w *openLossWorld) record() job.CrashRecord {
	owner := w.owners[len(w.owners)-1]
	return owner.pool.jobs[w.task.Job].job.Task(w.task).Crash
}

// TestPresumedCrashIsResolved guards against issue 40, review/6, on related paths: a crash that was presumed from a missing
// entry outlived what would have confirmed it or taken it back.
func TestPresumedCrashIsResolved(t *testing.T) {
	answers := func(w *openLossWorld) { w.lost.disconnected, w.lost.unlisted = false, false }
	crashes := func(w *openLossWorld) { w.kill(w.lost.id); w.replace(w.lost.id) }
	retires := func(w *openLossWorld) {
		w.owners[len(w.owners)-1].pool.Retire([]Retirement{{Worker: w.lost.id, Order: 1}})
	}
	tests := []struct {
		name           string
		script         func(w *openLossWorld)
		total, certain int // crashes in the end
	}{
		{"nothing comes", func(*openLossWorld) {}, 1, 0},
		{"the worker answers", answers, 0, 0},
		{"a later worker is on its instance", crashes, 1, 1},
		{"a later worker is there under its id", func(w *openLossWorld) { w.sameID = true; crashes(w) }, 1, 1},
		{"the instance service has the instance without it", func(w *openLossWorld) {
			w.kill(w.lost.id)
			w.owners[len(w.owners)-1].askInstances(300 * time.Millisecond)
		}, 1, 1},
		{"the instance is moved", retires, 0, 0},
		{"the time to learn the cause is over", func(w *openLossWorld) { w.run(w.now + openLossTTL) }, 0, 0},
		{"the instance was moved shortly before a takeover", func(w *openLossWorld) {
			o := w.owners[len(w.owners)-1]
			next := New(o.pool.config)
			next.SetWorkers(w.moment(), w.list())
			next.CordonInstances(w.moment(), []string{w.lost.instance()})
			next.Restore(w.moment(), []StoredState{*w.log[w.task.Job]})
			o.pool = next
		}, 0, 0},
	}
	for _, test := range tests {
		for _, successors := range []int{0, 1, 2} {
			t.Run(test.name, func(t *testing.T) {
				w := newOpenLossWorld(t)
				for range successors {
					w.takeOver()
					w.run(w.now + 200*time.Millisecond)
				}
				test.script(w)
				w.run(w.now + 5*time.Second)
				if c := w.record(); c.Total() != test.total || c.Crashes != test.certain {
					t.Errorf("after %d takeovers %d crashes, %d of them certain, want %d and %d", successors, c.Total(), c.Crashes, test.total, test.certain)
				}
			})
		}
	}
}

// TestPresumedCrashesAloneGiveNothingUp guards against LOST by many workers that are out of reach of the store and of the
// owner: only workers that have certainly crashed fail a job. Its task waits meanwhile, and starts once the workers answer.
func TestPresumedCrashesAloneGiveNothingUp(t *testing.T) {
	w := newOpenLossWorld(t)
	observer := &causeObserver{causes: map[Cause]int{}}
	w.owners[0].pool.config.Observer = observer
	cut := map[string]bool{w.lost.id: true}
	for len(cut) < crashLimit {
		w.addWorker(fmt.Sprintf("x%d", len(cut)))
		w.run(w.now + time.Second)
		f := w.workers[w.workerOf[w.task]]
		f.disconnected, f.unlisted, cut[f.id] = true, true, true
		w.run(w.now + testLease + 2*time.Second)
	}
	if c := w.record(); c.Total() != crashLimit || c.Crashes > 0 || observer.givenUp > 0 || w.activeRuns[w.task] > 0 {
		t.Errorf("%d crashes, %d of them certain, %d tasks given up, %d runs", c.Total(), c.Crashes, observer.givenUp, w.activeRuns[w.task])
	}
	for id := range cut {
		w.workers[id].disconnected, w.workers[id].unlisted = false, false
	}
	w.run(w.now + 2*time.Second)
	if c := w.record(); c.Total() > 0 || observer.givenUp > 0 || w.activeRuns[w.task] != 1 {
		t.Errorf("once the workers answer: %d crashes, %d tasks given up, %d runs", c.Total(), observer.givenUp, w.activeRuns[w.task])
	}
}
