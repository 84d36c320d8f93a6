package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestRunOfAnEarlierOwnerCountsUntilItHasEnded guards against a worker that was given more than its capacity: a new owner
// found a run of a job that had ended on an otherwise empty worker, stopped it, and took it for ended at once.
func TestRunOfAnEarlierOwnerCountsUntilItHasEnded(t *testing.T) {
	w := newSimulation(1, 1)
	f := w.workers["w0"]
	spec := shortJob(1)
	spec.ID = "0000000000000001"
	need := needOf(&spec.Steps[0])
	f.runs[worker.Run{Task: job.Name{Job: spec.ID}, Number: 7}] = &fakeRun{need: need}

	p := New(Config{Name: "p", Fence: 2, Lease: testLease, InheritedWait: testInherited, Retention: time.Minute})
	p.SetWorkers(w.moment(), w.list())
	p.Restore(w.moment(), []StoredState{{Spec: spec, Progress: &job.Progress{State: job.Cancelled, Ended: w.moment().Wall}}})
	h := p.workers["w0"]
	p.RecordPoll(w.moment(), PollAction{To: h.target(), Sent: w.moment().Steady}, f.report(), nil)
	for range 10 {
		p.Tick(w.moment())
		if h.used != need {
			t.Fatalf("the worker counts %+v as used while a run is being stopped there", h.used)
		}
		w.now += 20 * time.Millisecond
	}
}
