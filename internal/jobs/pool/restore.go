package pool

import (
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// inherited marks the start of a run that an earlier owner ordered.
const inherited = -1

// Stored is a job as the log holds it.
type Stored struct {
	Spec      job.Spec
	Progress  *job.Progress // nil when nothing was stored of it yet
	Cancelled bool
}

// Restore takes over the jobs of an earlier owner. Workers must be set before, so that runs on workers
// that are known can be asked for at once; runs on others are over once no lease can go on.
func (p *Pool) Restore(at Moment, all []Stored) {
	for _, s := range all {
		j := job.New(s.Spec)
		if s.Progress != nil {
			j.Restore(*s.Progress)
		}
		if j.State.Ended() {
			p.restoreEnded(at, j)
			continue
		}
		e := p.add(at, j)
		e.stored = j.State
		p.inherit(at, e)
		if s.Cancelled {
			p.Cancel(at, j.Spec.ID)
		}
	}
}

func (p *Pool) restoreEnded(at Moment, j *job.Job) {
	left := p.config.Retention - min(max(0, at.Wall.Sub(j.Ended)), p.config.Retention)
	e := &entry{job: j, stored: j.State, arrived: at.Steady, rescues: map[job.Name]int{}, gone: at.Steady + left}
	p.jobs[j.Spec.ID] = e
	p.inherit(at, e)
	p.stopRuns(at, e)
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

// inherit enters the runs that the log knows of into the workers' tables.
func (p *Pool) inherit(at Moment, e *entry) {
	for _, o := range e.job.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				if t.Done || !t.Placed() {
					continue
				}
				h := p.workers[t.Worker]
				if h == nil {
					h = &host{info: catalog.Worker{ID: t.Worker}, runs: map[worker.Run]*run{}, clockAt: at.Steady}
					p.workers[t.Worker] = h
				}
				r := p.attach(e, t, h)
				r.phase = doubtful
				r.began = inherited
				h.leaseEnd = max(h.leaseEnd, at.Steady+p.config.Inherited)
			}
		}
	}
}
