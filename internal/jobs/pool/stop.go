package pool

import (
	"slices"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// stopGang stops all members of the gang of a run.
func (p *Pool) stopGang(at Moment, r *run) {
	for _, o := range r.job.job.Occurrences {
		if o.Number != r.id.Task.Occurrence {
			continue
		}
		tasks := o.Steps[r.id.Task.Step]
		for i := range tasks {
			p.stopTask(at, &tasks[i])
		}
	}
}

// stop ends a run that may exist.
func (p *Pool) stop(at Moment, r *run) {
	if r.revoked != nil {
		r.revoked.Store(true)
	}
	r.isLate = false
	switch r.phase {
	case storing:
		p.dropUnsent(r)
		p.release(r)
		p.touch(r.job)
	case sending, running, indeterminate:
		r.phase = stopping
		p.sendStop(r)
		r.host.nextPoll = min(r.host.nextPoll, at.Steady)
	case stopping, stopped:
	}
}

// adopt keeps a run that was to be stopped only since its start had not been carried out, and that has begun meanwhile: its task
// has no other run, and to end it would cost its work.
func (r *run) adopt() {
	if r.isLate && r.phase == stopping {
		r.isLate = false
		r.phase = indeterminate
	}
}

// dropUnsent removes a run from those that wait until they are stored or sent.
func (p *Pool) dropUnsent(r *run) {
	isRun := func(other *run) bool { return other == r }
	p.unstored = slices.DeleteFunc(p.unstored, isRun)
	p.unsent = slices.DeleteFunc(p.unsent, isRun)
}

func (p *Pool) sendStop(r *run) {
	if r.stopSent {
		return
	}
	r.stopSent = true
	p.actions = append(p.actions, StopAction{To: r.host.target(), Run: r.id, Fence: r.host.fence})
}

// RecordStop handles the outcome of a StopAction.
func (p *Pool) RecordStop(at Moment, a StopAction, reply worker.Reply, err error) {
	r := p.find(a.To.ID, a.Run)
	if r == nil {
		return
	}
	r.stopSent = false
	var refused worker.RefusedError
	var other worker.IncarnationEndedError
	switch {
	case err == nil:
		if !p.updateClock(at, r.host, reply) {
			return // the newest incarnation may still start the run
		}
		r.phase = stopped
		r.settled = at.Steady
		r.host.nextPoll = min(r.host.nextPoll, at.Steady)
	case errors.As(err, &other):
		p.handleOtherIncarnation(at, r.host, a.To, at.Steady)
	case errors.As(err, &refused):
		p.updateClock(at, r.host, refused.Reply)
	default:
		r.host.unresponsive = true
	}
}
