package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/outlier"
)

// A worker may fail all that it starts, and a job may fail wherever it runs. The load pattern: 5% of the jobs of a busy queue can never be
// done, while a tenth of the workers fail what they start. A worker is ejected by what the outlier detector infers from the
// ends of its runs; a task that has failed on a worker starts on another one if there is one.

// probeTime is how long a probing worker gets no other run after one has been placed there, unless that one ends.
const probeTime = 2 * time.Second

// maxRetryWait is how long a task that has failed waits for room on a worker on which it has not.
const maxRetryWait = time.Second

func (r *run) outlierRun() outlier.Run {
	return outlier.Run{Task: r.id.Task, Worker: r.host.info.ID, Began: r.ordered}
}

// learnFailure tells the outlier detector of a failed run. A long-running task that was at work shows that its worker can run it.
func (p *Pool) learnFailure(at Moment, r *run) {
	if r.step.LongRunning && r.percent >= fullShare {
		return
	}
	p.outliers.RecordFailed(at.Steady, r.outlierRun(), r.job.hasDone(r.id.Task))
}

// hasDone reports whether a task of the same step has ended done.
func (e *entry) hasDone(task job.Name) bool {
	for _, o := range e.job.Occurrences {
		if o.Number == task.Occurrence {
			return o.Left(task.Step) < len(o.Steps[task.Step])
		}
	}
	return false
}

func (p *Pool) isEjected(at Moment, h *host) bool {
	state, _ := p.outliers.State(at.Steady, h.info.ID)
	return state == outlier.Ejected
}

// updateProbe records whether a worker is probing, and whether it has a run that shows whether it still fails what it starts.
func (p *Pool) updateProbe(at Moment, h *host) {
	state, since := p.outliers.State(at.Steady, h.info.ID)
	h.probing, h.probed = state == outlier.Probing, false
	if !h.probing {
		return
	}
	for _, r := range h.runs {
		h.probed = h.probed || r.chosen >= since && at.Steady-r.chosen < probeTime
	}
}

// hasFailedOn reports whether a task has lately failed on a worker.
func (p *Pool) hasFailedOn(t *job.Task, h *host) bool {
	if t.Failures == 0 {
		return false
	}
	_, failed := p.outliers.FailedAt(t.Name, h.info.ID)
	return failed
}

// shouldTryElsewhere reports whether a task should wait for room on other workers, since it has just failed on the only one with room.
func (p *Pool) shouldTryElsewhere(at Moment, t *job.Task, step *job.Step, h *host, o *offer) bool {
	if !p.hasFailedOn(t, h) {
		return false
	}
	failed, _ := p.outliers.FailedAt(t.Name, h.info.ID)
	if at.Steady-failed >= maxRetryWait {
		return false
	}
	need := needOf(step)
	return slices.ContainsFunc(o.hosts, func(other *host) bool {
		return other.info.Capacity.Covers(need) && other.info.Has(step.Label) && !p.hasFailedOn(t, other)
	})
}

// hasFailedOnRack reports whether a task has lately failed on a worker of a rack.
func (p *Pool) hasFailedOnRack(t *job.Task, rack string, o *offer) bool {
	return slices.ContainsFunc(o.hosts, func(h *host) bool { return h.info.Rack == rack && p.hasFailedOn(t, h) })
}

// ejectedWith returns the ejected workers with a label that no worker in use carries: they are all that a task with it has.
func (o *offer) ejectedWith(label string) []*host {
	if label == "" || slices.ContainsFunc(o.hosts, func(h *host) bool { return h.info.Has(label) }) {
		return nil
	}
	return o.ejected
}

// ejected returns the workers that get no new work only since they are ejected.
func (p *Pool) ejected(at Moment) []*host {
	var hosts []*host
	for _, h := range p.workers {
		if p.isSound(h) && p.isEjected(at, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// reportEjections passes the changes that the outlier detector has made to the observer.
func (p *Pool) reportEjections() {
	for _, c := range p.outliers.Changes() {
		p.config.Observer.WorkerChanged(c.Worker, describeState(c.State))
	}
}

func describeState(s outlier.State) string {
	switch s {
	case outlier.Ejected:
		return "fails what it starts"
	case outlier.Probing:
		return "gets a run at a time, after it failed what it started"
	case outlier.Healthy:
	}
	return "no longer counts as failing what it starts"
}
