package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// newSettledSimulation returns a simulation whose owner has had an answer from all workers.
func newSettledSimulation(t *testing.T) (*simulation, *fakeOwner) {
	t.Helper()
	w := newSimulation(1, 2)
	o := w.takeOver()
	w.run(time.Second)
	return w, o
}

// TestRetiredWorkerStillAlive retires a worker by an order that was carried out on an earlier worker of the instance.
// The runs of the present worker must continue, and it must be used again once its entry shows that it is alive.
func TestRetiredWorkerStillAlive(t *testing.T) {
	w, o := newSettledSimulation(t)
	w.submit("0000000000000001", shortJob(4))
	w.run(1200 * time.Millisecond)
	host := o.pool.workers["w0"]
	if len(host.runs) == 0 {
		host = o.pool.workers["w1"]
	}
	runs := len(host.runs)
	o.pool.Retire([]Retirement{{Worker: host.info.ID, Order: 7}})
	if len(host.runs) != runs {
		t.Errorf("%d of %d runs are left after the worker was retired", len(host.runs), runs)
	}
	if o.pool.usable(w.moment(), host) {
		t.Error("a retired worker gets new work")
	}
	w.run(12 * time.Second)
	if !o.pool.usable(w.moment(), host) {
		t.Error("a retired worker that is still alive is not used again")
	}
	o.pool.Retire([]Retirement{{Worker: host.info.ID, Order: 7}})
	if !o.pool.usable(w.moment(), host) {
		t.Error("a worker that was found alive is retired again by the same order")
	}
	o.pool.Retire([]Retirement{{Worker: host.info.ID, Order: 8}})
	if o.pool.usable(w.moment(), host) {
		t.Error("a worker that was found alive after one order is not retired by a later one")
	}
	if len(w.violations) > 0 {
		t.Error(w.violations)
	}
}

// TestEndedWorkerStaysEnded checks that an ended worker is not used while its entry remains.
func TestEndedWorkerStaysEnded(t *testing.T) {
	w, o := newSettledSimulation(t)
	host := o.pool.workers["w0"]
	o.pool.RecordPoll(w.moment(), PollAction{To: host.target()}, worker.Report{}, worker.IncarnationEndedError{ID: "w0"})
	for range 50 {
		w.run(w.now + 100*time.Millisecond)
		if kept := o.pool.workers["w0"]; kept != host || o.pool.usable(w.moment(), kept) {
			t.Fatalf("at %v the worker was replaced or is usable", w.now)
		}
	}
}

// TestLaterWorkerOnInstanceEndsRuns checks that the runs of a worker end when a later worker has registered on its
// instance.
func TestLaterWorkerOnInstanceEndsRuns(t *testing.T) {
	w, o := newSettledSimulation(t)
	w.submit("0000000000000001", shortJob(4))
	w.run(1200 * time.Millisecond)
	list := w.list()
	var busy string
	for name, h := range o.pool.workers {
		if len(h.runs) > 0 {
			busy = name
		}
	}
	for i := range list {
		if list[i].ID == busy {
			list[i].Instance = "m"
		}
	}
	o.pool.SetWorkers(w.moment(), list)
	list = append(list, catalog.Worker{ID: "later", Instance: "m", StartedAt: w.moment().Wall.Add(time.Second), Capacity: catalog.Resources{CPU: 1}})
	o.pool.SetWorkers(w.moment(), list)
	if left := len(o.pool.workers[busy].runs); left > 0 {
		t.Errorf("%d runs are left on a worker that was superseded", left)
	}
}

// TestTaskOnUnresponsiveWorkerCountsAsUnavailable checks that a task of a long-running step may not leave while others
// are on a worker that does not answer, since these may be unavailable already.
func TestTaskOnUnresponsiveWorkerCountsAsUnavailable(t *testing.T) {
	w, o := newSettledSimulation(t)
	w.submit("00000000000000ff", longRunningJob())
	w.run(3 * time.Second)
	step := o.pool.jobs["00000000000000ff"].job.Occurrences[0].Steps[0]
	r := o.pool.runOf(&step[0])
	if !o.pool.canLeave(r) {
		t.Fatal("a task may not leave although all tasks of its step are available")
	}
	for i := range step[1:] {
		o.pool.runOf(&step[i+1]).host = &host{unresponsive: true}
	}
	if o.pool.canLeave(r) {
		t.Error("a task may leave while others are on an unresponsive worker")
	}
}
