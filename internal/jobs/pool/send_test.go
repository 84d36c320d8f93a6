package pool

import (
	"fmt"
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
	p.SendStarts(w.moment())
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

// TestUnsentStartLeavesItsTaskWaiting checks that a run whose start was not sent takes no capacity, and that its task, or all
// members of its gang, start again, unless their job has ended.
func TestUnsentStartLeavesItsTaskWaiting(t *testing.T) {
	tests := []struct {
		name      string
		gang      bool
		cancelled bool // between the decision and the sending
		stops     int
		again     int // starts in the next round
	}{
		{"a task", false, false, 0, 1},
		{"a task of a cancelled job", false, true, 3, 0},
		{"a member of a gang", true, false, 2, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSimulation(1, 1)
			p := New(Config{Name: "p", Fence: 1, Lease: testLease, Retention: time.Minute})
			p.SetWorkers(w.moment(), w.list())
			p.RecordPoll(w.moment(), PollAction{To: p.workers["w0"].target(), Sent: w.moment().Steady}, w.workers["w0"].report(), nil)
			spec := shortJob(3)
			spec.ID = "0000000000000001"
			spec.Steps[0].Gang = test.gang
			p.Submit(w.moment(), spec)
			starts := startAll(p, w.moment())
			if test.cancelled {
				p.Cancel(w.moment(), spec.ID)
			}
			for _, a := range starts[1:] {
				if a.IsRevoked() != test.cancelled {
					t.Errorf("a start is revoked: %v, want %v", a.IsRevoked(), test.cancelled)
				}
			}
			p.RecordStart(w.moment(), starts[0], worker.Reply{}, worker.NotSentError{Waited: time.Second})
			stops := 0
			for _, a := range p.Actions() {
				stop, ok := a.(StopAction)
				if !ok {
					continue
				}
				stops++
				p.RecordStop(w.moment(), stop, worker.Reply{}, nil)
			}
			if stops != test.stops {
				t.Errorf("%d stops, want %d", stops, test.stops)
			}
			w.now += 500 * time.Millisecond
			p.RecordPoll(w.moment(), PollAction{To: p.workers["w0"].target(), Sent: w.moment().Steady}, w.workers["w0"].report(), nil)
			again := startAll(p, w.moment())
			if len(again) != test.again {
				t.Errorf("%d starts in the next round, want %d", len(again), test.again)
			}
			for _, a := range again {
				if a.Start.Number != 2 {
					t.Errorf("run %d starts, want the second", a.Start.Number)
				}
			}
		})
	}
}

// startAll places what waits, stores it and returns the starts.
func startAll(p *Pool, at Moment) []StartAction {
	p.Place(at)
	p.RecordStored(at, p.Flush())
	p.SendStarts(at)
	var starts []StartAction
	var others []Action
	for _, a := range p.Actions() {
		if start, ok := a.(StartAction); ok {
			starts = append(starts, start)
			continue
		}
		others = append(others, a)
	}
	p.actions = others
	return starts
}

// TestGangIsCheckedAgainOnceItIsStored guards against starts of a gang on a worker that must not get them any more. Its
// members start all or none.
func TestGangIsCheckedAgainOnceItIsStored(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *Pool, at Moment, list []catalog.Worker)
		starts int
	}{
		{"nothing changes", func(*Pool, Moment, []catalog.Worker) {}, 4},
		{"a worker drains", func(_ *Pool, _ Moment, list []catalog.Worker) { list[0].Draining = true }, 0},
		{"a worker ends", func(p *Pool, at Moment, list []catalog.Worker) {
			p.endWorker(at, p.workers[list[0].ID], OtherAtAddress)
		}, 0},
		{"a data centre is evacuated", func(p *Pool, _ Moment, list []catalog.Worker) {
			p.SetEvacuated(id.Set[id.DataCentre]{list[1].DataCentre: {}})
		}, 0},
	}
	for _, test := range tests {
		for _, stored := range []bool{false, true} { // before the change
			t.Run(fmt.Sprintf("%s, stored before: %v", test.name, stored), func(t *testing.T) {
				w := newSimulation(1, 2)
				p := New(Config{Name: "p", Fence: 1, Lease: testLease, Retention: time.Minute})
				list := w.list()
				p.SetWorkers(w.moment(), list)
				for name, f := range w.workers {
					p.RecordPoll(w.moment(), PollAction{To: p.workers[name].target(), Sent: w.moment().Steady}, f.report(), nil)
				}
				spec := shortJob(4)
				spec.ID = "0000000000000001"
				spec.Steps[0].Gang, spec.Steps[0].PerWorker = true, 2
				p.Submit(w.moment(), spec)
				p.Place(w.moment())
				batch := p.Flush()
				if stored {
					p.RecordStored(w.moment(), batch)
				}
				test.change(p, w.moment(), list)
				p.SetWorkers(w.moment(), list)
				if !stored {
					p.RecordStored(w.moment(), batch)
				}
				p.Actions()
				p.SendStarts(w.moment())
				starts := 0
				for _, a := range p.Actions() {
					if _, ok := a.(StartAction); ok {
						starts++
					}
				}
				if starts != test.starts {
					t.Errorf("%d starts, want %d", starts, test.starts)
				}
			})
		}
	}
}
