package pool

import (
	"fmt"
	"testing"
	"time"
)

// TestRunsOfACrashedWorkerStartAgainAtOnce guards against incident 25: the tasks of a crashed worker waited for its lease
// or its successor, for seconds, though the instance service knew that the worker was gone.
func TestRunsOfACrashedWorkerStartAgainAtOnce(t *testing.T) {
	w := newSimulation(1, 8)
	o := w.takeOver()
	o.askInstances(200 * time.Millisecond)
	w.run(time.Second)
	for i := range 4 {
		spec := shortJob(8)
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].CPU = 450
		w.submit(fmt.Sprintf("%016x", i), spec)
	}
	w.run(1400 * time.Millisecond)
	for id, f := range w.workers {
		if len(f.runs) > 0 {
			w.kill(id)
			break
		}
	}
	w.run(w.now + testLease)
	if left := w.unfinished(); len(left) > 0 {
		t.Errorf("%v have not ended when the lease of the crashed worker ends", left)
	}
	if len(w.violations) > 0 {
		t.Error(w.violations)
	}
}

// TestLateWordOfAGoneWorkerEndsNoLaterRun runs a pool whose workers crash and are back under their ids, while answers of
// the instance service come up to 5 s late, to other owners as well. They must end no run of a later incarnation.
func TestLateWordOfAGoneWorkerEndsNoLaterRun(t *testing.T) {
	for seed := range uint64(15) {
		simulate(t, seed, faults{lostAfter: 0.05}, func(w *simulation) {
			w.entryDelay = 400 * time.Millisecond
			w.owners[0].askInstances(5 * time.Second)
			w.crashWorkers()
			for i := range 4 {
				w.after(time.Duration(i+1)*2100*time.Millisecond, func() { w.takeOver().askInstances(5 * time.Second) })
			}
		})
	}
}

// TestNoQuestionAboutAWorkerThatHasNotRegistered checks that a worker that is back under its id, and that the instance
// service does not show before it has registered, is not asked about.
func TestNoQuestionAboutAWorkerThatHasNotRegistered(t *testing.T) {
	w, o := newSettledSimulation(t)
	w.submit("0000000000000001", shortJob(4))
	w.run(1100 * time.Millisecond)
	for _, h := range o.pool.workers {
		if len(h.runs) == 0 {
			continue
		}
		o.pool.recordUnanswered(w.moment(), h, w.moment().Steady)
		if len(o.pool.Silences()) != 1 {
			t.Fatalf("%d questions about a silent worker with runs, want 1", len(o.pool.Silences()))
		}
		h.startedAt = h.startedAt.Add(time.Second)
		if len(o.pool.Silences()) != 0 {
			t.Error("a question about an incarnation that has not registered")
		}
		return
	}
	t.Fatal("no worker has a run")
}
