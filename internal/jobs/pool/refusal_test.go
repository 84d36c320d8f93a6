package pool

import (
	"testing"

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
