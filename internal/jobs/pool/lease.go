package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// A lease ends at a time on the worker's clock, which starts anew with each incarnation. A call that was meant for an earlier
// incarnation may be carried out by a later one under the same id, and no header tells the two apart. Such a stale call grants a lease
// by the wrong clock, which the worker cuts to the longest one that it grants. The fence tells them apart: orders to the later incarnation
// carry a higher one, and once the worker has answered an order with it, it refuses stale calls.

// ClockDrift is the largest fraction by which a worker's clock may be slow.
const ClockDrift = 0.02

// leaseSlack is added to a lease to cover rounding and the time that an order takes to arrive.
const leaseSlack = 150 * time.Millisecond

// maxCallDelay is how long after it was sent a call without an answer may still be carried out.
const maxCallDelay = 12 * time.Second

// maxUnnoticed is how long owners may start tasks on a worker without noticing that it has started again: its earlier entry is removed by then.
const maxUnnoticed = 10 * time.Second

// leaseUntil returns the end of a lease that starts now, on the worker's clock. It uses the lowest value that the clock
// can have reached since it was last read, so that the lease does not get longer than intended if the clock is slow.
func (h *host) leaseUntil(now, lease time.Duration) time.Duration {
	age := now - h.clockAt
	return h.clock + age - time.Duration(ClockDrift*float64(age)) + lease
}

// extendLease records that a lease may have been granted now.
func (h *host) extendLease(now, lease time.Duration) {
	drift := time.Duration(ClockDrift * float64(lease) * 1.1)
	h.leaseEnd = max(h.leaseEnd, now+lease+drift+leaseSlack)
	h.leased = true
}

// longestLease returns the longest lease that a call can grant.
func (p *Pool) longestLease() time.Duration { return max(p.config.Lease, p.config.MaxLease) }

// RaiseFence records a fence that is higher than those of all calls so far, and lower than those of later owners.
func (p *Pool) RaiseFence(fence int64) {
	p.fence = max(p.fence, fence)
	for _, h := range p.workers {
		if !h.settled {
			h.fence = p.fence
		}
	}
}

// needsHigherFence reports whether a worker waits for a fence that is higher than those of stale calls.
func (p *Pool) needsHigherFence() bool {
	for _, h := range p.workers {
		if !h.settled && h.fence < h.settledBy {
			return true
		}
	}
	return false
}

// fenceOffStaleCalls prepares a worker that has started again to refuse stale calls. Until it has answered an order with a higher
// fence, each of them may be carried out.
func (p *Pool) fenceOffStaleCalls(at Moment, h *host) {
	h.extendLease(at.Steady, maxCallDelay+p.longestLease())
	h.settled, h.settledBy = false, h.fence+1
	h.fence = p.fence
}

// canSettle reports whether the answer to an order would show that a worker refuses stale calls.
func (h *host) canSettle() bool { return !h.settled && h.fence >= h.settledBy }

// settle handles that the newest incarnation of a worker has answered an order with a fence, and by how old it is. If the fence was high
// enough, no stale call is carried out any more.
func (p *Pool) settle(at Moment, h *host, fence int64, age time.Duration) {
	if h.settled || fence < h.settledBy {
		return
	}
	h.settled, h.staleUntil = true, 0
	if p.mayHaveStaleLease(at, h, age) {
		h.leaseEnd = 0
		h.extendLease(at.Steady, p.longestLease())
		h.staleUntil = h.leaseEnd
	}
}

// mayHaveStaleLease reports whether a stale call, of this owner or of an earlier one, may have granted a lease to the newest
// incarnation of a worker, given its age.
func (p *Pool) mayHaveStaleLease(at Moment, h *host, age time.Duration) bool {
	if h.settledBy > 0 {
		return true // it has started again under this owner
	}
	// After that time an earlier owner knew of the restart, and its calls before that are over with their leases.
	if p.config.FirstOwner || age >= maxUnnoticed+maxCallDelay+p.longestLease() {
		return false
	}
	for _, r := range h.runs {
		if r.began == inheritedStart && r.task.UsualLease && r.task.WorkerStart.Equal(h.startedAt) {
			return false // as an earlier owner has found
		}
	}
	// No earlier owner has sent calls to a worker that has started since.
	oldest := age + time.Duration(2*ClockDrift*float64(age)) + leaseSlack
	return len(h.runs) > 0 || at.Steady-oldest < p.since
}

// hasUsualLease reports whether no stale call can have granted a worker a lease that is not over yet.
func (h *host) hasUsualLease(at Moment) bool { return h.settled && at.Steady > h.staleUntil }

// recordUsualLease stores with the runs of a worker, once no lease of a stale call can be left, that they have a usual one.
func (p *Pool) recordUsualLease(at Moment, h *host) {
	if h.staleUntil == 0 || !h.hasUsualLease(at) {
		return
	}
	h.staleUntil = 0
	for _, r := range h.runs {
		if r.phase == running && !r.orphaned && r.task.Run == r.id.Number {
			r.task.WorkerStart, r.task.UsualLease = h.startedAt, true
			p.touch(r.job)
		}
	}
}

// isOfEarlier reports whether a run of a task was ordered for an earlier incarnation of its worker than the newest known one.
func (h *host) isOfEarlier(t *job.Task) bool {
	return !t.WorkerStart.IsZero() && h.startedAt.After(t.WorkerStart)
}

// staleAllowance returns for how much longer than usual a run of an earlier owner may go on, since a stale call may have granted a
// lease to its worker.
func (p *Pool) staleAllowance(h *host, t *job.Task) time.Duration {
	longer := p.longestLease() - p.config.Lease
	longer += time.Duration(2 * ClockDrift * float64(longer))
	switch {
	case h.isOfEarlier(t):
		return longer + maxCallDelay // its start may be the stale call
	case !t.UsualLease:
		return longer
	}
	return 0
}

// inheritStart records an incarnation that an earlier owner has ordered a run for.
func (h *host) inheritStart(startedAt time.Time) {
	if startedAt.After(h.startedAt) {
		h.startedAt = startedAt
	}
}

// Unleased returns the workers on which this owner knows runs and to which it has granted no lease: their runs were all ordered
// by earlier owners.
func (p *Pool) Unleased() []string {
	var names []string
	for name, h := range p.workers {
		if len(h.runs) > 0 && !h.leased {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasUnseenLeased reports whether a run of an earlier owner that no answer has shown may be on a worker to which this owner
// has granted a lease. A successor would wait anew for the end of that lease.
func (p *Pool) HasUnseenLeased() bool {
	for _, h := range p.workers {
		if !h.leased {
			continue
		}
		for _, r := range h.runs {
			if r.phase == indeterminate && r.began == inheritedStart {
				return true
			}
		}
	}
	return false
}
