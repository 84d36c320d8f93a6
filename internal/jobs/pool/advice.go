package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Limits for requests to the advice service, which answers one request at a time and takes longer the more workers a
// request names.
const (
	maxAdviceRequests = 3 // outstanding requests of one pool
	adviceWorkers     = 24
	ticketSlack       = 300 * time.Millisecond // a ticket must be valid for at least this long when its start is sent
	adviceRetry       = 400 * time.Millisecond // delay after a request that failed
)

// AdviceAction asks which workers may run a step; the outcome goes to RecordAdvice.
type AdviceAction struct {
	Step    job.Name
	Workers []string
}

func (AdviceAction) action() {}

// advice holds the advice service's answers for one step of an advised queue.
type advice struct {
	tickets map[string]ticket
	barred  map[string]bool // workers that may not run the step
	pending bool
	retry   time.Duration
}

type ticket struct {
	text  string
	until time.Duration
}

func stepName(it *item) job.Name {
	return job.Name{Job: it.entry.job.Spec.ID, Occurrence: it.occurrence.Number, Step: it.step}
}

func (e *entry) adviceFor(step job.Name) *advice {
	if e.advice == nil {
		e.advice = map[job.Name]*advice{}
	}
	a, ok := e.advice[step]
	if !ok {
		a = &advice{tickets: map[string]ticket{}, barred: map[string]bool{}}
		e.advice[step] = a
	}
	return a
}

// valid returns the ticket for a worker, or an empty string if there is none that stays valid long enough.
func (a *advice) valid(worker string, now time.Duration) string {
	t, ok := a.tickets[worker]
	if !ok || now+ticketSlack > t.until {
		return ""
	}
	return t.text
}

// eligible returns those workers that may run a step. For an advised queue these are the workers with a ticket, or those that
// the advice service has not barred if there are none.
func (p *Pool) eligible(at Moment, it *item, hosts []*host) []*host {
	if !it.entry.job.Spec.Policy.Advised {
		return hosts
	}
	a := it.entry.adviceFor(stepName(it))
	withTicket := slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return a.valid(h.info.ID, at.Steady) == "" })
	if len(withTicket) > 0 {
		return withTicket
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return a.barred[h.info.ID] })
}

// advised returns the workers that hold a ticket for a step, and asks about others while there is too little free
// capacity on these for the waiting tasks.
func (p *Pool) advised(at Moment, it *item, hosts []*host) []*host {
	step := &it.entry.job.Spec.Steps[it.step]
	a := it.entry.adviceFor(stepName(it))
	var allowed []*host
	var unknown []string
	capacity := 0
	for _, h := range hosts {
		if !h.info.Has(step.Label) {
			continue
		}
		switch {
		case a.valid(h.info.ID, at.Steady) != "":
			allowed = append(allowed, h)
			capacity += taskCapacity(h.free(), step)
		case !a.barred[h.info.ID] && h.free().Covers(needOf(step)) && len(unknown) < adviceWorkers:
			unknown = append(unknown, h.info.ID)
		}
	}
	if capacity < it.countWaiting() && len(unknown) > 0 && !a.pending && at.Steady >= a.retry && p.adviceRequests < maxAdviceRequests {
		a.pending = true
		p.adviceRequests++
		p.actions = append(p.actions, AdviceAction{Step: stepName(it), Workers: unknown})
	}
	return allowed
}

// RecordAdvice handles the outcome of an AdviceAction.
func (p *Pool) RecordAdvice(at Moment, a AdviceAction, answer worker.Advice, err error) {
	p.adviceRequests--
	e, ok := p.jobs[a.Step.Job]
	if !ok {
		return
	}
	stepAdvice := e.adviceFor(a.Step)
	stepAdvice.pending = false
	if err != nil {
		stepAdvice.retry = at.Steady + adviceRetry
		return
	}
	for _, name := range a.Workers {
		text, good := answer.Tickets[name]
		if !good {
			stepAdvice.barred[name] = true
			continue
		}
		stepAdvice.tickets[name] = ticket{text: text, until: at.Steady + answer.Valid}
	}
}

// ticketOf returns the ticket to send with a run's start.
func (p *Pool) ticketOf(r *run) string {
	if !r.job.job.Spec.Policy.Advised {
		return ""
	}
	step := r.id.Task
	step.Index = 0
	return r.job.adviceFor(step).tickets[r.host.info.ID].text
}

// dropTicket deletes a ticket that a worker has refused.
func (p *Pool) dropTicket(r *run) {
	step := r.id.Task
	step.Index = 0
	delete(r.job.adviceFor(step).tickets, r.host.info.ID)
}
