package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestAdvisedQueue starts tasks of an advised queue only on workers with a ticket, and asks again for one
// that has run out or was refused.
func TestAdvisedQueue(t *testing.T) {
	w, o := settled(t)
	spec := shortJob(3)
	spec.ID = "0000000000000001"
	spec.Policy.Advised = true
	p, at := o.pool, w.moment()
	p.Actions()
	p.Submit(at, spec)
	p.Place(at)
	question := only[AdviseAction](t, p.Actions())
	if len(question.Workers) != 2 {
		t.Fatalf("asks about %v", question.Workers)
	}
	p.Advised(at, question, worker.Advice{Tickets: map[string]string{"w1": "t"}, Valid: time.Second}, nil)
	p.Place(at)
	p.Stored(at, p.Flush())
	for _, a := range p.Actions() {
		start, ok := a.(StartAction)
		if !ok || start.To.ID != "w1" || start.Start.Ticket != "t" {
			t.Errorf("decides %+v", a)
		}
		p.Started(at, start, worker.Answer{}, worker.RefusedError{Reason: worker.NoTicket})
	}
	p.Place(at)
	again := only[AdviseAction](t, p.Actions())
	if len(again.Workers) != 1 || again.Workers[0] != "w1" {
		t.Errorf("asks again about %v, not about the worker whose ticket was refused", again.Workers)
	}
}

// only returns the one action of a type.
func only[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	var found []A
	for _, a := range actions {
		if b, ok := a.(A); ok {
			found = append(found, b)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d actions of the type, not one: %+v", len(found), actions)
	}
	return found[0]
}
