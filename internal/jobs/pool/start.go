package pool

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// send orders the start of a stored run, or drops the run if its job has ended or its worker must not get it any more.
func (p *Pool) send(at Moment, r *run) {
	if !p.isUnsent(r) {
		return
	}
	if r.job.job.State.Ended() || !p.mayStillStart(r) || p.exceedsNewLimit(r) {
		p.release(r)
		p.touch(r.job)
		return
	}
	h := r.host
	h.extendLease(at.Steady, p.config.Lease)
	r.phase = sending
	r.ordered, r.revoked = at.Steady, &atomic.Bool{}
	r.checkpointed = r.task.Checkpoint != ""
	p.actions = append(p.actions, StartAction{To: p.patientTarget(at, h), Decided: at.Steady, revoked: r.revoked, Start: worker.Start{
		Run: r.id, Payload: r.job.job.Spec.Payload, Until: h.leaseUntil(at.Steady, p.config.Lease),
		Fence: h.fence, Checkpoint: r.task.Checkpoint, Ticket: p.ticketOf(r),
	}})
}

// isUnsent reports whether a run exists and no order was sent for it.
func (p *Pool) isUnsent(r *run) bool { return r.phase == storing && p.find(r.host.info.ID, r.id) == r }

// mayStillStart reports whether what has become known of a worker since a run was placed there allows its start.
func (p *Pool) mayStillStart(r *run) bool {
	h := r.host
	return !h.ended && !h.retired && !h.cordoned && !h.unresponsive && !h.info.Draining && !p.evacuated.Has(h.info.DataCentre) &&
		h.info.Capacity.Covers(h.used)
}

// exceedsNewLimit reports whether the limit of a run's team has changed since the run was placed, and the other runs of the team use all of
// the new one.
func (p *Pool) exceedsNewLimit(r *run) bool {
	t := p.team(r.job.job.Spec.Team)
	return r.limit != t.limit && !t.allows(t.used.Sub(fullNeed(r.step)))
}

// RecordStart handles the outcome of a StartAction.
func (p *Pool) RecordStart(at Moment, a StartAction, reply worker.Reply, err error) {
	r := p.find(a.To.ID, a.Start.Run)
	if r == nil {
		return
	}
	h := r.host
	var refused worker.RefusedError
	var other worker.IncarnationEndedError
	var notSent worker.NotSentError
	switch {
	case err == nil:
		if p.updateClock(at, h, reply) {
			p.recordShown(r)
			r.startedAt = reply.Clock
		}
		h.unresponsive = false
		p.confirm(at, r)
	case errors.As(err, &refused):
		p.updateClock(at, h, refused.Reply)
		p.handleRefusal(at, r, refused.Reason)
	case errors.As(err, &notSent):
		p.handleNotSent(at, r)
	case errors.As(err, &other):
		p.handleOtherIncarnation(at, h, a.To, r.ordered)
		if p.find(a.To.ID, a.Start.Run) == r {
			p.endRefused(at, r)
		}
	default:
		h.unresponsive = true
		p.recordUnanswered(at, h, r.ordered+answerTime)
		r.settled = at.Steady
		if r.phase == sending {
			r.phase = indeterminate
		}
		h.nextPoll = at.Steady
	}
}

// confirm records that a worker has the run.
func (p *Pool) confirm(at Moment, r *run) {
	if r.phase == sending || r.phase == indeterminate {
		r.phase = running
		r.settled = at.Steady
		r.began = at.Steady
		r.job.job.Begun = true
		if r.id.Number == 1 && r.ordered > 0 {
			p.recordFirstStart(at, r)
		}
		if r.task.Leaving {
			p.inheritLeave(at, r)
		}
	}
}

// refusalBackoff is how long a worker gets no new work after it refused a start.
const refusalBackoff = 400 * time.Millisecond

// handleRefusal ends a run that a worker refused to start.
func (p *Pool) handleRefusal(at Moment, r *run, reason worker.Reason) {
	h := r.host
	switch reason {
	case worker.Invalid:
		// Every worker would refuse it.
		p.fail(at, r.job, r.task)
	case worker.NoTicket:
		p.dropTicket(r)
		h.nextPoll = at.Steady
	case worker.Fenced:
		// Another owner sends orders to this worker. If this owner has been replaced, its next write to the log will
		// fail.
		p.config.Observer.WorkerChanged(h.info.ID, "refused an order below its fence")
		p.backOff(at, h)
	case worker.Late, worker.NoCapacity, worker.Busy, worker.NotInWave:
		p.backOff(at, h)
	case worker.Superseded:
	}
	p.endRefused(at, r)
}

// backOff keeps new work from a worker for a short time, and polls it at once.
func (p *Pool) backOff(at Moment, h *host) {
	h.refusedUntil = at.Steady + refusalBackoff
	h.nextPoll = at.Steady
}

// endRefused ends a run that never existed.
func (p *Pool) endRefused(at Moment, r *run) {
	p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost, Checkpoint: r.task.Checkpoint}, Refused)
}

// handleNotSent ends a run whose start was not sent. The other members of a gang are stopped, since they would wait for it.
func (p *Pool) handleNotSent(at Moment, r *run) {
	p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost, Checkpoint: r.task.Checkpoint}, NotSent)
	if r.step.Gang {
		p.stopGang(at, r)
	}
}
