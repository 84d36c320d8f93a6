package pool

import (
	"fmt"
	"testing"
	"time"
)

// TestRescueFromStalledWorker checks that two tasks which stall on one worker are started elsewhere.
func TestRescueFromStalledWorker(t *testing.T) {
	w, o := newSettledSimulation(t)
	for i := range 2 {
		spec := shortJob(1)
		w.submit(fmt.Sprintf("%016x", i), spec)
	}
	w.run(w.now + 50*time.Millisecond)
	for task := range w.work {
		w.work[task] = time.Hour
	}
	var hosts int
	for _, h := range o.pool.workers {
		if len(h.runs) > 0 {
			hosts++
		}
	}
	if hosts != 1 {
		t.Fatalf("the two tasks run on %d workers, want 1", hosts)
	}
	for _, f := range w.workers {
		for run, r := range f.runs {
			r.serial++ // cancels the planned end of the run
			f.runs[run] = r
		}
	}
	w.run(w.now + 6*time.Second)
	rescued := 0
	for _, e := range o.pool.jobs {
		for _, n := range e.rescues {
			rescued += n
		}
	}
	if rescued != 2 {
		t.Errorf("%d of 2 stalled tasks were started elsewhere", rescued)
	}
}

// TestSingleOverdueTaskIsNotRescued checks that a single overdue task is not stopped.
func TestSingleOverdueTaskIsNotRescued(t *testing.T) {
	w, o := newSettledSimulation(t)
	w.submit("0000000000000001", shortJob(1))
	w.run(w.now + 50*time.Millisecond)
	for _, f := range w.workers {
		for run, r := range f.runs {
			r.serial++
			f.runs[run] = r
		}
	}
	w.run(w.now + 6*time.Second)
	if e := o.pool.jobs["0000000000000001"]; len(e.rescues) != 0 {
		t.Error("the only overdue task was stopped")
	}
}
