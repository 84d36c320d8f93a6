package pool

import (
	"slices"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// inheritedStart is the value of run.began for runs that an earlier owner ordered.
const inheritedStart = -1

// StoredState is a job as stored in the log.
type StoredState struct {
	Spec      job.Spec
	Progress  *job.Progress // nil if no progress has been stored yet
	Cancelled bool
}

// Restore takes over the jobs of an earlier owner. Workers must be set first, so that known workers can be polled for
// their runs at once; runs on other workers are resolved when no lease can still be valid.
func (p *Pool) Restore(at Moment, all []StoredState) {
	p.since = at.Steady
	p.inheritUptime(at, all)
	p.tickedAt = at.Steady
	p.runTimes.Restore(at.Steady, p.config.RunTimes)
	for _, s := range all {
		if s.Progress != nil && s.Progress.IsReleasable() {
			p.restoreReleased(at, s)
			continue
		}
		j := job.New(s.Spec)
		if s.Progress != nil {
			j.Restore(*s.Progress)
		}
		if j.State.Ended() {
			e := &entry{job: j, stored: j.State, arrived: at.Steady, rescues: map[job.Name]int{}}
			p.jobs[j.Spec.ID] = e
			p.charge(e)
			p.restoreEnded(at, e)
			p.restoreRuns(at, e)
			p.stopRuns(at, e)
			continue
		}
		e := p.add(at, j, clockAge(at, &j.Spec))
		e.stored = j.State
		p.restoreRuns(at, e)
		p.restoreLosses(at, e)
		if s.Cancelled {
			p.Cancel(at, j.Spec.ID)
		}
	}
	p.inheritLosses(at)
}

// restoreReleased takes over an ended job of which no run can exist, without its tasks.
func (p *Pool) restoreReleased(at Moment, s StoredState) {
	e := &entry{
		job: job.NewReleased(s.Spec, *s.Progress), stored: s.Progress.State, arrived: at.Steady, rescues: map[job.Name]int{}, released: true,
	}
	p.jobs[s.Spec.ID] = e
	p.charge(e)
	p.restoreEnded(at, e)
}

// inheritLosses records the losses of runs that were ordered for earlier incarnations of their workers, which have started again while
// the owner changed. It ends no run: a later incarnation may have carried out the start.
func (p *Pool) inheritLosses(at Moment) {
	for _, h := range p.workers {
		var lost []*run
		for _, r := range h.runs {
			if r.loss == nil && h.isOfEarlier(r.task) {
				lost = append(lost, r)
			}
		}
		cause := h.lossCause()
		if p.ordered.Has(h.info.Instance) {
			cause = Left
		}
		p.addLosses(at, h, lost, cause, LaterUnderID)
	}
}

func (p *Pool) stopRuns(at Moment, e *entry) {
	for _, o := range e.job.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				p.stopTask(at, &o.Steps[s][i])
			}
		}
	}
}

// restoreRuns adds the runs that the log records to the workers' run tables.
func (p *Pool) restoreRuns(at Moment, e *entry) {
	for _, o := range e.job.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				e.suspected = e.suspected || t.Crash.Suspected
				if !t.Done && t.Placed() {
					p.restoreRun(at, e, t)
				}
			}
		}
	}
}

// restoreRun adds the newest run of a task to its worker's run table, with an indeterminate outcome.
func (p *Pool) restoreRun(at Moment, e *entry, t *job.Task) {
	on := job.Incarnation{Worker: t.Worker}
	if t.Crash.Newest.Worker == t.Worker {
		on = t.Crash.Newest
	}
	h := p.inheritedHost(at, on)
	allowance := p.staleAllowance(h, t)
	h.inheritStart(t.WorkerStart)
	r := p.attach(e, t, h)
	r.phase = indeterminate
	r.began = inheritedStart
	wait := p.config.InheritedWait
	if slices.Contains(p.config.Unleased, t.Worker) {
		wait = p.config.UnleasedWait
	}
	h.leaseEnd = max(h.leaseEnd, at.Steady+wait+allowance)
	if allowance > 0 && h.staleUntil == 0 {
		h.staleUntil = h.leaseEnd
		p.config.Observer.WorkerChanged(t.Worker, "may have the longest lease, by a call for an earlier incarnation")
	}
}

// inheritedHost returns a worker that an earlier owner knew.
func (p *Pool) inheritedHost(at Moment, on job.Incarnation) *host {
	h := p.workers[on.Worker]
	if h == nil {
		h = &host{info: catalog.Worker{ID: on.Worker}, runs: map[worker.Run]*run{}, clockAt: at.Steady, fence: p.fence}
		p.workers[on.Worker] = h
	}
	if !h.listed && on.Instance != "" && on.StartedAt.After(h.startedAt) {
		h.info.Instance, h.startedAt = on.Instance, on.StartedAt
	}
	return h
}
