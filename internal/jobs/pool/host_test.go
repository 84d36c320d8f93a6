package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// settled returns a world whose owner has met all workers.
func settled(t *testing.T) (*world, *fakeOwner) {
	t.Helper()
	w := newWorld(1, 2)
	o := w.takeOver()
	w.run(time.Second)
	return w, o
}

// TestWorkerCalledGoneLivesOn plays an order for an instance that had been carried out on an earlier worker:
// what runs on the present one goes on, and it is used again once its entry shows that it lives.
func TestWorkerCalledGoneLivesOn(t *testing.T) {
	w, o := settled(t)
	w.submit("0000000000000001", shortJob(4))
	w.run(1200 * time.Millisecond)
	host := o.pool.workers["w0"]
	if len(host.runs) == 0 {
		host = o.pool.workers["w1"]
	}
	runs := len(host.runs)
	o.pool.Retire([]string{host.info.ID})
	if len(host.runs) != runs {
		t.Errorf("%d of %d runs are left after the worker was called gone", len(host.runs), runs)
	}
	if o.pool.usable(w.moment(), host) {
		t.Error("a worker that is called gone gets new work")
	}
	w.run(12 * time.Second)
	if !o.pool.usable(w.moment(), host) {
		t.Error("a worker that lives on is not used again")
	}
	o.pool.Retire([]string{host.info.ID})
	if !o.pool.usable(w.moment(), host) {
		t.Error("a worker that has lived on is called gone by the same order again")
	}
	if len(w.broken) > 0 {
		t.Error(w.broken)
	}
}

// TestEndedWorkerStaysEnded keeps a worker whose life is over out of use while its entry stands.
func TestEndedWorkerStaysEnded(t *testing.T) {
	w, o := settled(t)
	host := o.pool.workers["w0"]
	o.pool.Looked(w.moment(), LookAction{To: host.target()}, worker.Report{}, worker.OtherLifeError{ID: "w0"})
	for range 50 {
		w.run(w.now + 100*time.Millisecond)
		if kept := o.pool.workers["w0"]; kept != host || o.pool.usable(w.moment(), kept) {
			t.Fatalf("at %v the worker is met anew or used", w.now)
		}
	}
}

// TestLaterLifeEndsRuns ends the runs of a worker on whose instance a later one has registered.
func TestLaterLifeEndsRuns(t *testing.T) {
	w, o := settled(t)
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
	list = append(list, catalog.Worker{ID: "later", Instance: "m", Born: w.moment().Wall.Add(time.Second), Capacity: catalog.Amount{CPU: 1}})
	o.pool.SetWorkers(w.moment(), list)
	if left := len(o.pool.workers[busy].runs); left > 0 {
		t.Errorf("%d runs are left on a worker that was followed by another", left)
	}
}

// TestTaskOnSilentWorkerIsAway keeps the tasks of a lasting step together while one of them is on a worker
// that does not answer: it may be away, and the step can miss no second one.
func TestTaskOnSilentWorkerIsAway(t *testing.T) {
	w, o := settled(t)
	w.submit("00000000000000ff", lastingJob())
	w.run(3 * time.Second)
	step := o.pool.jobs["00000000000000ff"].job.Occurrences[0].Steps[0]
	r := o.pool.runOf(&step[0])
	if !o.pool.canLeave(r) {
		t.Fatal("a step all of whose tasks are at work can miss none")
	}
	for i := range step[1:] {
		o.pool.runOf(&step[i+1]).host = &host{unresponsive: true}
	}
	if o.pool.canLeave(r) {
		t.Error("a step can miss a task while others are on a silent worker")
	}
}
