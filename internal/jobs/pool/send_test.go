package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestStartIsCheckedAgainOnceItIsStored guards against orders that rest on what was true before the log answered, or before
// a stored start was held back: a worker may have shrunk, be draining or have fallen silent since its run was placed.
func TestStartIsCheckedAgainOnceItIsStored(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *Pool, at Moment, info catalog.Worker)
		starts int
	}{
		{"nothing changes", func(*Pool, Moment, catalog.Worker) {}, 4},
		{"the worker shrinks", func(p *Pool, at Moment, info catalog.Worker) {
			info.Capacity.CPU = 1700
			p.SetWorkers(at, []catalog.Worker{info})
		}, 2},
		{"the worker drains", func(p *Pool, at Moment, info catalog.Worker) {
			info.Draining = true
			p.SetWorkers(at, []catalog.Worker{info})
		}, 0},
		{"its data centre is evacuated", func(p *Pool, _ Moment, info catalog.Worker) {
			p.SetEvacuated(id.Set[id.DataCentre]{info.DataCentre: {}})
		}, 0},
		{"its job is cancelled", func(p *Pool, at Moment, _ catalog.Worker) { p.Cancel(at, "0000000000000001") }, 0},
		{"the worker falls silent", func(p *Pool, at Moment, info catalog.Worker) {
			p.RecordPoll(at, PollAction{To: worker.Target{ID: info.ID, Address: info.Address}, Sent: at.Steady}, worker.Report{}, errLost)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, held := range []bool{false, true} {
				if starts, stops := startsAfter(test.change, held); starts != test.starts || stops != 0 {
					t.Errorf("stored before the change: %v: %d starts and %d stops are sent, want %d and 0", held, starts, stops, test.starts)
				}
			}
		})
	}
}

// startsAfter places four tasks on a worker, changes the pool before or after they are stored, and returns the numbers of
// starts and stops that are ordered then.
func startsAfter(change func(p *Pool, at Moment, info catalog.Worker), stored bool) (starts, stops int) {
	w := newSimulation(1, 1)
	f := w.workers["w0"]
	p := New(Config{Name: "p", Fence: 1, Lease: testLease, Retention: time.Minute})
	p.SetWorkers(w.moment(), w.list())
	p.RecordPoll(w.moment(), PollAction{To: p.workers["w0"].target(), Sent: w.moment().Steady}, f.report(), nil)
	spec := shortJob(4)
	spec.ID = "0000000000000001"
	p.Submit(w.moment(), spec)
	p.Place(w.moment())
	batch := p.Flush()
	if stored {
		p.RecordStored(w.moment(), batch)
	}
	w.now += 2 * time.Second
	change(p, w.moment(), f.entry())
	if !stored {
		p.RecordStored(w.moment(), batch)
	}
	p.SendStored(w.moment())
	for _, a := range p.Actions() {
		switch a.(type) {
		case StartAction:
			starts++
		case StopAction:
			stops++
		}
	}
	return starts, stops
}
