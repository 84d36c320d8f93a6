package pool

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// FullError reports a job that could not end before its caller has given it up; it was not taken.
type FullError struct{ Wait time.Duration } // until the work before it is done

// Error returns the wait.
func (e FullError) Error() string {
	return fmt.Sprintf("pool: work for %v stands before the job", e.Wait)
}

// Admit refuses a job when the work that stands before it, spread over the room that the pool has and can
// get, ends so late that nobody waits for the job any longer: a surge that no room can hold is turned
// away at its end instead of making everything late. A job that is known is never refused.
func (p *Pool) Admit(at Moment, spec *job.Spec) error {
	if _, known := p.jobs[spec.ID]; known || !spec.Once() {
		return nil
	}
	if at.Steady > p.reachTill {
		return nil // what the pool can get is not known
	}
	room := p.reach
	for _, h := range p.workers {
		if h.listed && !h.ended && !h.info.Draining && !p.evacuated.Has(h.info.DataCentre) {
			room += h.info.Capacity.CPU
		}
	}
	if room == 0 {
		return nil // the workers are not known yet
	}
	latest := at.Steady + spec.Objective() - spec.Chain()
	wait := p.backlog(latest) / time.Duration(room)
	if objective := spec.Objective(); objective > 0 && wait+spec.Chain() > lateFactor*objective {
		return FullError{Wait: wait}
	}
	return nil
}

// SetReach notes how many thousandths of a core the pool can get beside what it has, at the expense of others
// perhaps, and how many of them are on their way to it.
func (p *Pool) SetReach(at Moment, cpu, soon int) {
	p.reach, p.soon, p.reachTill = cpu, soon, at.Steady+reachLife
}

// reachLife is how long what was said of a pool's reach holds.
const reachLife = time.Second

// backlog returns the work that goes before a job with a latest start: all of the accepted jobs whose own
// is not later, as time of a thousandth of a core.
func (p *Pool) backlog(latest time.Duration) time.Duration {
	var sum time.Duration
	for _, e := range p.active {
		if e.job.State.Ended() {
			continue
		}
		for _, o := range e.job.Occurrences {
			if e.due-e.job.Remaining(o) > latest {
				continue
			}
			for s := range o.Steps {
				step := &e.job.Spec.Steps[s]
				sum += time.Duration(o.Left(s)*step.CPU) * step.Estimate
			}
		}
	}
	return sum
}
