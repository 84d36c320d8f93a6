package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// isolationFraction: at most one of so many workers is kept free for suspected tasks.
const isolationFraction = 8

// compareForSuspect orders workers for a suspected task of a job, or of any job if that is nil: first those that run nothing of other jobs, then those whose
// crash could be put down to nothing else, on instances that have not crashed lately, then those whose crash would cost
// least.
func (p *Pool) compareForSuspect(at Moment, e *entry, a, b *host) int {
	if x, y := a.runsOnly(e), b.runsOnly(e); x != y {
		if x {
			return -1
		}
		return 1
	}
	if x, y := p.hasCrashedRecently(at, a), p.hasCrashedRecently(at, b); x != y {
		if x {
			return 1
		}
		return -1
	}
	if x, y := a.countLongRunning(), b.countLongRunning(); x != y {
		return x - y
	}
	if x, y := a.countUncleared(), b.countUncleared(); x != y {
		return x - y
	}
	return a.used.CPU - b.used.CPU
}

// runsOnly reports whether a worker runs nothing but tasks of a job.
func (h *host) runsOnly(e *entry) bool {
	for _, r := range h.runs {
		if r.job != e {
			return false
		}
	}
	return true
}

func (h *host) countLongRunning() int {
	count := 0
	for _, r := range h.runs {
		if r.step.LongRunning {
			count++
		}
	}
	return count
}

// countUncleared counts the runs of tasks that no probation has cleared.
func (h *host) countUncleared() int {
	count := 0
	for _, r := range h.runs {
		if !r.cleared {
			count++
		}
	}
	return count
}

// isolate keeps workers free for suspected tasks: for each waiting step one of those that can run its tasks and whose crash
// would cost least, for a gang as many as its suspected members need. The steps that have waited longest come first; only
// the first of them gets more than one worker in isolationFraction.
func (p *Pool) isolate(at Moment, items []item, o *offer) {
	steps := suspectedSteps(items)
	if len(steps) == 0 {
		return
	}
	o.idle = isIdle(items, o.hosts)
	safest := slices.Clone(o.hosts)
	slices.SortStableFunc(safest, func(a, b *host) int { return p.compareForSuspect(at, nil, a, b) })
	limit := max(1, len(o.hosts)/isolationFraction)
	for _, it := range steps {
		if len(o.isolated) >= limit {
			return
		}
		p.isolateFor(at, it, safest, o)
	}
}

// suspectedSteps returns the steps with suspected tasks that wait for a run, by how long they have waited for a worker.
func suspectedSteps(items []item) []*item {
	var steps []*item
	for i := range items {
		if items[i].hasSuspects() {
			steps = append(steps, &items[i])
		}
	}
	slices.SortStableFunc(steps, func(a, b *item) int {
		return cmp.Compare(a.entry.suspectSinceOr(math.MaxInt64), b.entry.suspectSinceOr(math.MaxInt64))
	})
	return steps
}

// suspectSinceOr returns since when a suspected task has found no worker, or the given time if none has been refused.
func (e *entry) suspectSinceOr(none time.Duration) time.Duration {
	if e.suspectSince == 0 {
		return none
	}
	return e.suspectSince
}

// isolateFor keeps the first of some workers free that can run the suspected tasks of a step.
func (p *Pool) isolateFor(at Moment, it *item, safest []*host, o *offer) {
	step := &it.entry.job.Spec.Steps[it.step]
	missing := 1
	if step.Gang {
		missing = it.countSuspects()
	}
	for _, h := range p.eligible(at, it, safest) {
		if h.onProbation > 0 || o.isolated[h] || !h.allowsAnother(it, step) {
			continue
		}
		if capacity := h.memberCapacity(step); capacity > 0 {
			o.isolated[h] = true
			missing -= capacity
		}
		if missing <= 0 {
			return
		}
	}
}
