package pool

import (
	"errors"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// lateStart is a run whose start and stop got no answer, so that the worker may carry out both later, in any order.
type lateStart struct {
	w   *simulation
	p   *Pool
	run worker.Run
	f   *fakeWorker
}

func newLateStart(t *testing.T) *lateStart {
	t.Helper()
	w := newSimulation(1, 1)
	l := &lateStart{w: w, p: New(Config{Name: "p", Fence: 1, Lease: testLease, Retention: time.Minute}), f: w.workers["w0"]}
	l.p.SetWorkers(w.moment(), w.list())
	l.poll()
	spec := longRunningJob()
	spec.ID, spec.Steps[0].Count = "0000000000000001", 1
	l.p.Submit(w.moment(), spec)
	w.log[spec.ID] = &StoredState{Spec: spec}
	starts := startAll(l.p, w.moment())
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	l.run = starts[0].Start.Run
	l.p.RecordStart(w.moment(), starts[0], worker.Reply{}, errors.New("no answer"))
	l.poll()
	if l.stops() != 1 {
		t.Fatal("a run that may have been started, and that a poll does not show, is not stopped")
	}
	l.f.begin(starts[0].Start) // late
	return l
}

// poll has the worker answer a poll.
func (l *lateStart) poll() {
	l.w.now += 100 * time.Millisecond
	at := l.w.moment()
	l.p.RecordPoll(at, PollAction{To: l.p.workers["w0"].target(), Sent: at.Steady}, l.f.report(), nil)
}

// stops returns how many stops the owner orders; none is answered.
func (l *lateStart) stops() int {
	l.p.Tick(l.w.moment())
	count := 0
	for _, a := range l.p.Actions() {
		if stop, ok := a.(StopAction); ok {
			count++
			l.p.RecordStop(l.w.moment(), stop, worker.Reply{}, errors.New("no answer"))
		}
	}
	return count
}

// TestLateStartIsKept guards against AVAIL on days with many late orders (review/tried-2): a run whose start was carried out late
// was at work when the repeated stop arrived, while other tasks of its step were away.
func TestLateStartIsKept(t *testing.T) {
	tests := []struct {
		name   string
		before func(l *lateStart) // before a poll shows the run
		after  func(l *lateStart)
		kept   bool
	}{
		{"nothing else happens", func(*lateStart) {}, func(*lateStart) {}, true},
		{"its job is cancelled before", func(l *lateStart) { l.p.Cancel(l.w.moment(), l.run.Task.Job) }, func(*lateStart) {}, false},
		{"its job is cancelled after", func(*lateStart) {}, func(l *lateStart) { l.p.Cancel(l.w.moment(), l.run.Task.Job) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLateStart(t)
			test.before(l)
			l.poll()
			test.after(l)
			stopped := 0
			for range 3 {
				stopped += l.stops()
				l.poll()
			}
			r := l.p.find("w0", l.run)
			if r == nil || (r.phase == running) != test.kept || (stopped == 0) != test.kept {
				t.Errorf("%d stops of a run that is there, want it to be kept: %v; it is %+v", stopped, test.kept, r)
			}
		})
	}
}
