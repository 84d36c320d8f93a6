package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Batch is what is to be stored together, and what may happen once it is.
type Batch struct {
	Jobs    []StoredJob
	Dropped []job.ID // jobs that the log need not keep any longer

	runs    []*run
	leaving []*run
	ends    map[string]lastEnd // newest end by worker that the batch covers
}

// lastEnd is the newest end of a worker's life.
type lastEnd struct {
	number    int64
	firstSeen time.Duration // when that life was heard of first
}

// StoredJob is the progress of one job.
type StoredJob struct {
	ID       job.ID
	Progress job.Progress
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool { return len(b.Jobs) == 0 && len(b.Dropped) == 0 }

// maxBatchJobs bounds the jobs of one batch, and so its bytes.
const maxBatchJobs = 400

// Flush returns what has changed since the last call, or as much of it as one batch holds.
func (p *Pool) Flush() *Batch {
	b := &Batch{ends: map[string]lastEnd{}}
	included := map[job.ID]bool{}
	for name := range p.changed {
		if len(b.Jobs) == maxBatchJobs {
			break
		}
		delete(p.changed, name)
		if e, ok := p.jobs[name]; ok {
			included[name] = true
			b.Jobs = append(b.Jobs, StoredJob{ID: name, Progress: e.job.Progress()})
		}
	}
	b.Dropped, p.dropped = p.dropped, nil
	b.runs, p.unstored = split(p.unstored, included)
	b.leaving, p.leaving = split(p.leaving, included)
	if len(p.changed) > 0 {
		return b // the ends of what is left over are not stored yet
	}
	for name, h := range p.workers {
		if h.lastEnd > h.storedEnd {
			b.ends[name] = lastEnd{number: h.lastEnd, firstSeen: h.firstSeen}
		}
	}
	return b
}

// split returns the runs of the jobs that were taken, and the others.
func split(runs []*run, jobs map[job.ID]bool) (in, out []*run) {
	for _, r := range runs {
		if jobs[r.id.Task.Job] {
			in = append(in, r)
			continue
		}
		out = append(out, r)
	}
	return in, out
}

// Stored lets happen what waited for a batch: its runs are ordered and its ends acknowledged.
func (p *Pool) Stored(at Moment, b *Batch) {
	for _, s := range b.Jobs {
		if e, ok := p.jobs[s.ID]; ok {
			e.stored = s.Progress.State
		}
	}
	for _, r := range b.runs {
		p.send(at, r)
	}
	for _, r := range b.leaving {
		if p.find(r.host.info.ID, r.id) == r && r.task.Leaving {
			p.stop(at, r)
		}
	}
	p.NothingToStore(b)
}

// NothingToStore acknowledges ends that changed no job.
func (p *Pool) NothingToStore(b *Batch) {
	for name, end := range b.ends {
		if h, ok := p.workers[name]; ok && h.firstSeen == end.firstSeen && h.lastEnd >= end.number {
			h.storedEnd = max(h.storedEnd, end.number)
		}
	}
}

// forget drops jobs whose time to be asked for is over.
func (p *Pool) forget(at Moment) {
	for name, until := range p.cancelled {
		if at.Steady > until {
			delete(p.cancelled, name)
		}
	}
	for name, e := range p.jobs {
		if e.forgetAt > 0 && at.Steady > e.forgetAt {
			delete(p.jobs, name)
			p.dropped = append(p.dropped, name)
		}
	}
}
