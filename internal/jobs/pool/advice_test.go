package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestAdvisedQueue checks that tasks of an advised queue start only on workers with a ticket, and that a new ticket is
// requested after one was refused.
func TestAdvisedQueue(t *testing.T) {
	w, o := newSettledSimulation(t)
	spec := shortJob(3)
	spec.ID = "0000000000000001"
	spec.Policy.Advised = true
	p, at := o.pool, w.moment()
	p.Actions()
	p.Submit(at, spec)
	p.Place(at)
	question := onlyAction[AdviceAction](t, p.Actions())
	if len(question.Workers) != 2 {
		t.Fatalf("request names %v, want two workers", question.Workers)
	}
	p.RecordAdvice(at, question, worker.Advice{Tickets: map[string]string{"w1": "t"}, Valid: time.Second}, nil)
	p.Place(at)
	p.RecordStored(at, p.Flush())
	p.SendStarts(at)
	for _, a := range p.Actions() {
		start, ok := a.(StartAction)
		if !ok || start.To.ID != "w1" || start.Start.Ticket != "t" {
			t.Errorf("unexpected action %+v", a)
		}
		p.RecordStart(at, start, worker.Reply{}, worker.RefusedError{Reason: worker.NoTicket})
	}
	p.Place(at)
	again := onlyAction[AdviceAction](t, p.Actions())
	if len(again.Workers) != 1 || again.Workers[0] != "w1" {
		t.Errorf("second request names %v, want the worker whose ticket was refused", again.Workers)
	}
}

// onlyAction returns the only action of type A.
func onlyAction[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	var found []A
	for _, a := range actions {
		if b, ok := a.(A); ok {
			found = append(found, b)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d actions of the type, want 1: %+v", len(found), actions)
	}
	return found[0]
}
