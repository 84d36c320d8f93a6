package pool

import (
	"fmt"
	"testing"
	"time"
)

// TestStandstill replays a worker on which tasks stand still: they are started elsewhere, while a single
// task that is just long runs on.
func TestStandstill(t *testing.T) {
	w, o := settled(t)
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
		t.Fatalf("the two tasks are on %d workers", hosts)
	}
	for _, f := range w.workers {
		for run, r := range f.runs {
			r.serial++ // the end that was planned does not come
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
		t.Errorf("%d of 2 tasks that stand still were started elsewhere", rescued)
	}
}

// TestLongTaskRunsOn leaves a single overdue task alone.
func TestLongTaskRunsOn(t *testing.T) {
	w, o := settled(t)
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
		t.Error("a single long task was stopped")
	}
}
