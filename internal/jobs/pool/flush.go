package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Batch holds changes to be stored together, and the orders that may be sent once they are stored.
type Batch struct {
	Jobs    []StoredJob
	Dropped []job.ID // jobs that can be removed from the log
	Expired []job.ID // cancellations that can be removed from the log; their jobs had not come
	// NeedsRecord reports that something has to be stored, if only to raise the fence.
	NeedsRecord bool

	runs    []*run
	leaving []*run
	ends    map[string]lastEnd // newest end that the batch covers, by worker
}

// lastEnd is the newest end of a run that was applied for a worker's incarnation.
type lastEnd struct {
	number    int64
	firstSeen time.Duration // when that incarnation was first seen
}

// StoredJob is the progress of one job.
type StoredJob struct {
	ID       job.ID
	Progress job.Progress
}

// Empty reports whether there is nothing to store.
func (b *Batch) Empty() bool {
	return len(b.Jobs) == 0 && len(b.Dropped) == 0 && len(b.Expired) == 0 && !b.NeedsRecord
}

// maxBatchJobs limits the jobs of one batch, which limits its size in bytes.
const maxBatchJobs = 400

// Flush returns the changes since the last call, up to the size of one batch.
func (p *Pool) Flush() *Batch {
	b := &Batch{ends: map[string]lastEnd{}, NeedsRecord: p.needsHigherFence()}
	included := map[job.ID]bool{}
	for name := range p.changed {
		if len(b.Jobs) == maxBatchJobs {
			break
		}
		delete(p.changed, name)
		if e, ok := p.jobs[name]; ok {
			included[name] = true
			if e.job.State.Ended() && !e.stored.Ended() {
				e.job.EndedAt = p.uptime
			}
			b.Jobs = append(b.Jobs, StoredJob{ID: name, Progress: e.job.Progress()})
		}
	}
	b.Dropped, p.dropped = p.dropped, nil
	b.Expired, p.expired = p.expired, nil
	b.runs, p.unstored = split(p.unstored, included)
	b.leaving, p.leaving = split(p.leaving, included)
	if len(p.changed) > 0 {
		return b // ends of the remaining jobs are not stored yet, so none may be acknowledged
	}
	for name, h := range p.workers {
		if h.lastEnd > h.storedEnd {
			b.ends[name] = lastEnd{number: h.lastEnd, firstSeen: h.firstSeen}
		}
	}
	return b
}

// split separates the runs of the given jobs from the others.
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

// RecordStored sends the stops that waited for a batch and marks its ends for acknowledgement. Its starts wait for
// SendStarts.
func (p *Pool) RecordStored(at Moment, b *Batch) {
	for _, s := range b.Jobs {
		if e, ok := p.jobs[s.ID]; ok {
			p.recordState(at, e, s.Progress.State)
		}
	}
	for _, r := range b.runs {
		if p.isUnsent(r) || r.step.Gang { // SendStarts has to know of a gang's lost members
			p.unsent = append(p.unsent, r)
		}
	}
	for _, r := range b.leaving {
		p.stopLeaving(at, r)
	}
	p.MarkEndsStored(b)
}

// recordState records the stored state of a job. Its retention time begins once its end is stored, since no caller is told of it
// before.
func (p *Pool) recordState(at Moment, e *entry, stored job.State) {
	if stored.Ended() && !e.stored.Ended() {
		e.dropAt = at.Steady + p.config.Retention
	}
	e.stored = stored
}

// SendStarts orders the starts of all stored runs that may still start. The caller calls it only while what the pool knows
// of cancellations is new enough.
func (p *Pool) SendStarts(at Moment) {
	waiting := p.unsent
	p.unsent = nil
	for _, r := range waiting {
		if r.step.Gang && (!p.isUnsent(r) || !p.mayStillStart(r) || p.exceedsNewLimit(r)) {
			p.stopGang(at, r) // its members start all or none, and one may have been lost with its worker
		}
	}
	for _, r := range waiting {
		p.send(at, r)
	}
}

// HasUnsent reports whether stored runs wait for SendStarts.
func (p *Pool) HasUnsent() bool { return len(p.unsent) > 0 }

// MarkEndsStored marks the ends of a batch for acknowledgement.
func (p *Pool) MarkEndsStored(b *Batch) {
	for name, end := range b.ends {
		if h, ok := p.workers[name]; ok && h.firstSeen == end.firstSeen && h.lastEnd >= end.number {
			h.storedEnd = max(h.storedEnd, end.number)
		}
	}
}

// dropExpired drops ended jobs and cancellations whose retention time is over.
func (p *Pool) dropExpired(at Moment) {
	for name, until := range p.cancelled {
		if at.Steady <= until {
			continue
		}
		delete(p.cancelled, name)
		if _, known := p.jobs[name]; !known {
			p.expired = append(p.expired, name)
		}
	}
	for name, e := range p.jobs {
		p.releaseTasks(e)
		if e.dropAt > 0 && at.Steady > e.dropAt {
			p.discharge(e)
			delete(p.jobs, name)
			p.dropped = append(p.dropped, name)
			p.config.Observer.JobDropped(&e.job.Spec, e.job.State, p.age(e))
		}
	}
}
