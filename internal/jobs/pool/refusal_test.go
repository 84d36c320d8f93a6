package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestRefusalIsBlamedOnItsCause guards against workers that get no new work, or are replaced, since they have refused a start that every
// worker would refuse, or for a moment.
func TestRefusalIsBlamedOnItsCause(t *testing.T) {
	tests := []struct {
		reason worker.Reason
		usable bool // right after the refusal
	}{
		{worker.Invalid, true},
		{worker.Superseded, true},
		{worker.NoTicket, true},
		{worker.Fenced, false},
		{worker.Late, false},
		{worker.NoCapacity, false},
		{worker.Busy, false},
	}
	for _, test := range tests {
		t.Run(test.reason.String(), func(t *testing.T) {
			w, o := newSettledSimulation(t)
			spec := shortJob(1)
			spec.ID = "0000000000000001"
			p, at := o.pool, w.moment()
			p.Actions()
			p.Submit(at, spec)
			p.Place(at)
			p.RecordStored(at, p.Flush())
			p.SendStarts(at)
			start := onlyAction[StartAction](t, p.Actions())
			p.RecordStart(at, start, worker.Reply{}, worker.RefusedError{Reason: test.reason})
			h := p.workers[start.To.ID]
			if got := p.usable(at, h); got != test.usable {
				t.Errorf("the worker may get new work: %v, want %v", got, test.usable)
			}
			if !p.countsAsCapacity(at, h) {
				t.Error("the worker does not count as capacity, so the pool asks for another instance")
			}
			at.Steady += refusalBackoff
			if !p.usable(at, h) {
				t.Errorf("the worker gets no new work %v after the refusal", refusalBackoff)
			}
		})
	}
}

// TestInvalidStartEndsItsJob guards against runs that go on after their job has failed since another start of it is invalid.
func TestInvalidStartEndsItsJob(t *testing.T) {
	w, o := newSettledSimulation(t)
	spec := shortJob(2)
	spec.Policy.Attempts = 1
	w.submit("0000000000000001", spec)
	w.run(w.now + 100*time.Millisecond)
	p, at := o.pool, w.moment()
	e := p.jobs["0000000000000001"]
	refused, other := p.runOf(&e.job.Occurrences[0].Steps[0][0]), p.runOf(&e.job.Occurrences[0].Steps[0][1])
	p.handleRefusal(at, refused, worker.Invalid)
	if !e.job.State.Ended() || other.phase != stopping {
		t.Errorf("the job is %v and its other run in phase %d, want it failed and the run stopping", e.job.State, other.phase)
	}
}
