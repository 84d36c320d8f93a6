package pool

import "time"

// The uptime of a pool is the time for which owners have served it. Each owner counts it by its steady clock and stores it, and its
// successor goes on from there, so it needs no time of day, in which two hosts may differ by any amount. It never runs ahead of the
// true time: what an owner had not stored is not counted, nor is the time without an owner.
//
// The end of a job is stored with the uptime of that moment, and shown once it is stored. So the time that a batch waits for the
// log does not count either, but for a bound that successors add to the retention time.

// Bounds on the uptime that is counted while one batch waits for the log.
const (
	countedWait   = time.Second // later, the uptime stands still
	maxUptimeStep = time.Second // counted at once; an owner that was paused cannot tell what its batch waited for
)

// Uptime returns the uptime of the pool, as counted so far.
func (p *Pool) Uptime() time.Duration { return p.uptime }

// CountUptime counts the time since the last call, given for how long the batch in flight has waited for the log.
func (p *Pool) CountUptime(at Moment, batchWait time.Duration) {
	step := min(at.Steady-p.uptimeCountedAt, maxUptimeStep)
	p.uptimeCountedAt = at.Steady
	if batchWait <= countedWait {
		p.uptime += step
	}
}

// inheritUptime sets the uptime at the take-over of stored jobs.
func (p *Pool) inheritUptime(at Moment, all []StoredState) {
	p.uptime, p.uptimeCountedAt = p.config.Uptime, at.Steady
	for _, s := range all {
		if s.Progress != nil {
			p.uptime = max(p.uptime, s.Progress.EndedAt)
		}
	}
}

// restoreEnded takes over an ended job for what is certainly left of its retention time. An owner of an earlier version has stored
// no uptime with the end; such a job is kept for the whole time from now on.
func (p *Pool) restoreEnded(at Moment, e *entry) {
	if e.job.EndedAt == 0 {
		e.job.EndedAt = p.uptime
		p.touch(e)
	}
	left := p.config.Retention + countedWait + maxUptimeStep - p.age(e)
	e.dropAt = at.Steady + max(0, left)
}

// age returns for how long the end of a job has been stored.
func (p *Pool) age(e *entry) time.Duration { return p.uptime - e.job.EndedAt }
