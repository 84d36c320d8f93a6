package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// A worker that answers no call has crashed, or is cut off and lives on. Its runs are over once its lease has expired,
// but their loss speaks against their tasks only once it is certain that the worker has crashed. A worker whose entry is
// missing counts as gone until it answers again; an answer of the same incarnation shows that it has not crashed. An open
// loss is stored with its task, so that a later owner learns the one or the other as well.

// openLossTTL is how long an owner waits to learn whether a silent worker has crashed.
const openLossTTL = time.Minute

// verdictTimeout is how long a task that may be given up waits after the end of its lease to learn whether its silent
// worker has crashed, before it starts again.
const verdictTimeout = 4 * time.Second

// openLosses are the lost runs of a worker that may have crashed or not.
type openLosses struct {
	runs  []*run
	until time.Duration // steady time at which the owner waits no longer
}

// awaitsVerdict reports whether a run on a silent worker is not to be replaced yet: two workers have crashed under its
// task, and one more may have.
func (r *run) awaitsVerdict(at Moment) bool {
	c := &r.task.Crash
	return !r.step.LongRunning && !r.orphaned && c.TotalShown() >= certainCrashes && c.Strikes > 0 && at.Steady <= r.host.leaseEnd+verdictTimeout
}

// isHeld reports whether a task may not start again yet: so many workers may have crashed under it that it would be given up
// if that were certain.
func isHeld(step *job.Step, t *job.Task) bool {
	total := t.Crash.Total()
	return !step.LongRunning && total >= crashLimit && total > t.Crash.Crashes
}

// keepLossOpen records that a run was lost with a worker of which it is not known whether it has crashed.
func (h *host) keepLossOpen(at Moment, r *run) {
	h.open.runs = append(h.open.runs, r)
	h.open.until = at.Steady + openLossTTL
	r.task.Crash.Suspend(job.OpenLoss{
		Run: r.id.Number, On: h.incarnation(), Crash: r.crash(), Accompanied: r.loss.accompanied,
	})
}

// restoreLosses takes over the open losses of a job, whose runs must have been restored.
func (p *Pool) restoreLosses(at Moment, e *entry) {
	for _, o := range e.job.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				for _, l := range t.Crash.Open {
					p.restoreLoss(at, lostRun(e, t, l, p.inheritedHost(at, l.On)), l.On)
				}
			}
		}
	}
}

// restoreLoss adds an open loss to those of its worker, unless its cause is known by now. An instance that was given an
// order lately is silent for that reason, so its losses say nothing.
func (p *Pool) restoreLoss(at Moment, r *run, on job.Incarnation) {
	h := r.host
	switch {
	case p.ordered.Has(on.Instance):
		p.resolveLoss(r)
	case !on.StartedAt.IsZero() && h.startedAt.After(on.StartedAt):
		p.confirmLoss(at, r, p.recordInstanceCrash(at, h))
	default:
		h.open.runs = append(h.open.runs, r)
		h.open.until = at.Steady + openLossTTL
		p.recordUnanswered(at, h, at.Steady)
	}
}

// lostRun returns the run of a stored open loss, which is in no worker's run table.
func lostRun(e *entry, t *job.Task, l job.OpenLoss, h *host) *run {
	return &run{
		id: worker.Run{Task: t.Name, Number: l.Run}, task: t, job: e, step: &e.job.Spec.Steps[t.Name.Step], host: h,
		loss: &loss{
			cause: Silent, proof: LeaseExpired, survived: l.Crash.From, until: l.Crash.Until, youngest: l.Crash.Suspect,
			onProbation: l.Crash.Alone, accompanied: l.Accompanied, certain: l.Crash.Certain,
		},
	}
}

// updateOpenLosses counts the open losses of a worker whose entry is missing, and drops those whose cause has not become
// known in time, or is an order.
func (p *Pool) updateOpenLosses(at Moment, h *host) {
	switch {
	case len(h.open.runs) == 0:
	case at.Steady > h.open.until, h.lossCause() == Left:
		p.dropLosses(h)
	case !h.listed:
		p.presumeCrash(at, h)
	}
}

// presumeCrash counts the open losses of a worker as crashes until the worker answers.
func (p *Pool) presumeCrash(at Moment, h *host) {
	for _, r := range h.open.runs {
		if r.mayBeCulprit() && r.task.Crash.Presume(r.id.Number) {
			p.touch(r.job)
			p.giveUpCulprit(at, r)
		}
	}
}

// retractLosses drops the open losses of a worker that has answered.
func (p *Pool) retractLosses(h *host) {
	if len(h.open.runs) > 0 {
		p.config.Observer.WorkerChanged(h.info.ID, "has not crashed: it answers again")
	}
	p.dropLosses(h)
	for _, r := range h.runs {
		if r.loss != nil && r.loss.proof == LeaseExpired {
			r.loss = nil // the answer tells what became of it
		}
	}
}

// dropLosses drops the open losses of a worker, which then count for nothing.
func (p *Pool) dropLosses(h *host) {
	runs := h.open.runs
	h.open = openLosses{}
	for _, r := range runs {
		p.resolveLoss(r)
	}
}

// resolveLoss removes the open loss of a run and reports whether there was one.
func (p *Pool) resolveLoss(r *run) bool {
	if !r.task.Crash.Resolve(r.id.Number) {
		return false
	}
	p.touch(r.job)
	return true
}

// closeLosses records the open losses of a worker's incarnation that has certainly ended.
func (p *Pool) closeLosses(at Moment, h *host, cause Cause, proof Proof) {
	runs := h.open.runs
	if cause != Crashed || len(runs) == 0 {
		p.dropLosses(h)
		return
	}
	h.open = openLosses{}
	p.config.Observer.WorkerChanged(h.info.ID, "had crashed when it fell silent: "+proof.String())
	again := p.recordInstanceCrash(at, h)
	for _, r := range runs {
		p.confirmLoss(at, r, again)
	}
}

// confirmLoss records that a worker has crashed under a run whose loss was open; again tells whether an earlier worker of
// the same instance had crashed shortly before.
func (p *Pool) confirmLoss(at Moment, r *run, again bool) {
	if !p.resolveLoss(r) || !r.mayBeCulprit() {
		return
	}
	r.loss.again = again
	p.recordCrash(at, r)
}

// mayBeCulprit reports whether crashes under a run's task still matter.
func (r *run) mayBeCulprit() bool { return !r.task.Done && !r.job.job.State.Ended() }
