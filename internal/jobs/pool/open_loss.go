package pool

import "time"

// A worker that answers no call has crashed, or is cut off and lives on. Its runs are over once its lease has expired,
// but their loss speaks against their tasks only once it is certain that the worker has crashed. A worker whose entry is
// missing counts as gone until it answers again; an answer of the same incarnation shows that it has not crashed.

// openLossTTL is how long an owner waits to learn whether a silent worker has crashed.
const openLossTTL = time.Minute

// verdictTimeout is how long a task that may be given up waits after the end of its lease to learn whether its silent
// worker has crashed, before it starts again.
const verdictTimeout = 4 * time.Second

// openLosses are the lost runs of a worker that may have crashed or not.
type openLosses struct {
	runs     []*run
	presumed bool          // counted as crashes, since the worker's entry is missing
	until    time.Duration // steady time at which the owner waits no longer
}

// awaitsVerdict reports whether a run on a silent worker is not to be replaced yet: two workers have crashed under its
// task for certain, and one more may have.
func (r *run) awaitsVerdict(at Moment) bool {
	c := &r.task.Crash
	return !r.step.LongRunning && !r.orphaned && c.Certain >= certainCrashes && c.Strikes > 0 && at.Steady <= r.host.leaseEnd+verdictTimeout
}

// keepLossOpen records that a run was lost with a worker of which it is not known whether it has crashed.
func (h *host) keepLossOpen(at Moment, r *run) {
	h.open.runs = append(h.open.runs, r)
	h.open.until = at.Steady + openLossTTL
}

// updateOpenLosses counts the open losses of a worker whose entry is missing, and forgets those whose cause has not become
// known in time.
func (p *Pool) updateOpenLosses(at Moment, h *host) {
	switch {
	case len(h.open.runs) == 0:
	case at.Steady > h.open.until:
		h.open = openLosses{}
	case !h.listed && !h.open.presumed && h.lossCause() == Crashed:
		h.open.presumed = true
		for _, r := range h.open.runs {
			if r.mayBeCulprit() {
				r.task.Crash.Presume(r.loss.certain)
				p.touch(r.job)
				p.giveUpCulprit(at, r)
			}
		}
	}
}

// retractLosses drops the open losses of a worker, which has answered or whose crash is to be recorded.
func (p *Pool) retractLosses(h *host) {
	open := h.open
	h.open = openLosses{}
	for _, r := range open.runs {
		if open.presumed && r.mayBeCulprit() {
			r.task.Crash.Retract(r.loss.certain)
			p.touch(r.job)
		}
	}
}

// closeLosses records the open losses of a worker's incarnation that has certainly ended.
func (p *Pool) closeLosses(at Moment, h *host, cause Cause, proof Proof) {
	runs := h.open.runs
	p.retractLosses(h)
	if cause != Crashed || len(runs) == 0 {
		return
	}
	p.config.Observer.WorkerChanged(h.info.ID, "had crashed when it fell silent: "+proof.String())
	again := p.recordInstanceCrash(at, h)
	for _, r := range runs {
		if r.mayBeCulprit() {
			r.loss.again = again
			p.touch(r.job)
			p.recordCrash(at, r)
		}
	}
}

// mayBeCulprit reports whether crashes under a run's task still matter.
func (r *run) mayBeCulprit() bool { return !r.task.Done && !r.job.job.State.Ended() }
