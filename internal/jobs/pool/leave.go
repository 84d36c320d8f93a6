package pool

import "time"

// A long-running task leaves a worker that is to be emptied. It is stored that the task leaves before its run is stopped, so that a
// successor counts it as unavailable. Storing takes seconds while the store is down or slow, and other tasks of the step may be lost
// meanwhile, or the worker kept; so the decision is made again once it is stored, and taken back if it no longer holds.

// inheritedLeaveTime is how long a run is left alone that an earlier owner may have ordered to stop: a worker that has answered this
// owner carries out no later order of an earlier one, and ends a run that it was ordered to stop sooner than that.
const inheritedLeaveTime = 2 * time.Second

// DrainLongRunning moves long-running tasks off workers that drain or are cordoned, within the MaxUnavailable limit of
// each step; on draining workers the limit is ignored. It is stored that a task leaves before its run is stopped.
func (p *Pool) DrainLongRunning(at Moment) {
	for _, h := range p.workers {
		for _, r := range h.runs {
			switch {
			case !r.step.LongRunning || r.phase != running || r.orphaned:
			case r.inheritedLeave > 0:
				p.decideInheritedLeave(at, r)
			case !r.task.Leaving && p.mayLeave(r):
				r.task.Leaving = true
				p.touch(r.job)
				p.leaving = append(p.leaving, r)
			}
		}
	}
}

// mayLeave reports whether a long-running task may be moved off its worker now.
func (p *Pool) mayLeave(r *run) bool {
	h := r.host
	return p.mustDrain(h) && !h.unresponsive && (h.info.Draining || p.canLeave(r))
}

// stopLeaving stops a run of which is stored that its task leaves, or takes that back if the task may no longer leave.
func (p *Pool) stopLeaving(at Moment, r *run) {
	if p.find(r.host.info.ID, r.id) != r || !r.task.Leaving {
		return
	}
	if p.mayLeave(r) {
		p.stop(at, r)
		return
	}
	p.keep(r)
}

// keep takes back that a task leaves.
func (p *Pool) keep(r *run) {
	r.task.Leaving, r.inheritedLeave = false, 0
	p.touch(r.job)
	p.config.Observer.WorkerChanged(r.host.info.ID, "keeps a long-running task that was to leave")
}

// inheritLeave records that an earlier owner may have ordered the stop of a run that its worker has just shown.
func (p *Pool) inheritLeave(at Moment, r *run) { r.inheritedLeave = at.Steady }

// decideInheritedLeave stops a run that an earlier owner may have ordered to stop if its task may leave. Otherwise, the task counts as
// unavailable until that order would have ended the run.
func (p *Pool) decideInheritedLeave(at Moment, r *run) {
	switch {
	case p.mayLeave(r):
		p.stop(at, r)
	case at.Steady-r.inheritedLeave >= inheritedLeaveTime:
		p.keep(r)
	}
}

// canLeave reports whether a task of a long-running step can become unavailable within the step's limit.
func (p *Pool) canLeave(r *run) bool {
	limit := r.step.MaxUnavailable
	if limit == 0 {
		return true
	}
	away := 0
	for _, o := range r.job.job.Occurrences {
		if o.Number != r.id.Task.Occurrence {
			continue
		}
		tasks := o.Steps[r.id.Task.Step]
		for i := range tasks {
			if &tasks[i] != r.task && !p.isServing(&tasks[i]) {
				away++
			}
		}
	}
	return away < limit
}
