package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestRunThatMayNotHaveArrivedIsNoCrash guards against a job that was given up after one crash: its first start had been
// sent to a worker that another task had just crashed.
func TestRunThatMayNotHaveArrivedIsNoCrash(t *testing.T) {
	w := newSimulation(1, 8)
	o := w.takeOver()
	w.run(time.Second)
	name := job.Name{Job: "0000000000000001"}
	w.deadly[name] = 10 * time.Millisecond
	for id, f := range w.workers {
		f.disconnected = true // so that no start arrives
		w.after(150*time.Millisecond, func() {
			f.disconnected = false
			if len(f.runs) == 0 && o.pool.workers[id] != nil && len(o.pool.workers[id].runs) > 0 {
				w.kill(id)
				w.after(workerDowntime, func() { w.replace(id) })
			}
		})
	}
	w.submit(string(name.Job), shortJob(1))
	w.run(60 * time.Second)
	if state, _ := o.pool.State(name.Job); state != job.Failed || len(w.crashed) < 2 {
		t.Errorf("the job is %v after %d crashes, want failed after 2 at least", state, len(w.crashed))
	}
	if len(w.violations) > 0 {
		t.Error(w.violations)
	}
}
