package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Limits for the wait of a suspected task for a worker of its own.
const (
	isolationTimeout  = 4 * time.Second        // then any of the workers kept free for suspected tasks will do
	isolationRequest  = 300 * time.Millisecond // then the pool asks for one more worker
	isolationFraction = 8                      // at most one of so many workers is kept free for suspected tasks
	probationFraction = 4                      // at most one of so many workers runs suspected tasks alone
)

// hasSuspects reports whether a suspected task of a step waits for a run.
func (it *item) hasSuspects() bool {
	if !it.entry.suspected {
		return false
	}
	return slices.ContainsFunc(it.occurrence.Steps[it.step], func(t job.Task) bool { return t.Waiting() && t.Crash.Suspected })
}

// countSuspects counts the suspected tasks of the step that wait for a run.
func (it *item) countSuspects() int {
	count := 0
	tasks := it.occurrence.Steps[it.step]
	for i := range tasks {
		if tasks[i].Waiting() && tasks[i].Crash.Suspected {
			count++
		}
	}
	return count
}

// placeSuspects starts the suspected tasks of a step on workers of their own.
func (p *Pool) placeSuspects(at Moment, it *item, hosts []*host, o *offer) {
	step := &it.entry.job.Spec.Steps[it.step]
	tm := p.team(it.entry.job.Spec.Team)
	tasks := it.occurrence.Steps[it.step]
	for i := range tasks {
		t := &tasks[i]
		if !t.Waiting() || !t.Crash.Suspected || isHeld(step, t) {
			continue
		}
		if !tm.admits(fullNeed(step)) {
			return
		}
		h := p.hostForSuspect(at, it, step, hosts, o)
		if h == nil {
			it.entry.recordUnisolated(at)
			return
		}
		p.place(at, it.entry, t, h)
	}
	it.entry.suspectSince = 0
}

// recordUnisolated records that a suspected task of a job has found no worker.
func (e *entry) recordUnisolated(at Moment) {
	if e.suspectSince == 0 {
		e.suspectSince = at.Steady
	}
}

// hostForSuspect returns a worker for a suspected task, or nil if it has to wait: an empty or quarantined one, or after
// isolationTimeout any of those that are kept free for suspected tasks, on which other runs, such as long-running ones, may
// not have ended yet.
func (p *Pool) hostForSuspect(at Moment, it *item, step *job.Step, hosts []*host, o *offer) *host {
	since := it.entry.suspectSince
	expired := since > 0 && at.Steady-since > isolationTimeout
	need := needOf(step)
	var best *host
	for _, h := range hosts {
		if !h.free().Covers(need) || !h.info.Has(step.Label) || !h.allowsAnother(it, step) {
			continue
		}
		if !h.isQuarantine(it.entry) && (!expired || !o.isolated[h] || h.onProbation > 0) {
			continue
		}
		if h.onProbation > 0 {
			return h // with suspected tasks of the same job
		}
		if best == nil || p.compareForSuspect(at, it.entry, h, best) < 0 {
			best = h
		}
	}
	lasts := expired && step.LongRunning // its users are without it, and a probation may take maxProbation
	if best != nil && !lasts && o.countOnProbation(it.entry) >= max(1, len(o.hosts)/probationFraction) {
		return nil
	}
	return best
}

// countOnProbation counts the workers that run suspected tasks of jobs other than the given one alone.
func (o *offer) countOnProbation(except *entry) int {
	count := 0
	for _, h := range o.hosts {
		for _, r := range h.runs {
			if r.onProbation && r.job != except {
				count++
				break
			}
		}
	}
	return count
}

// isQuarantine reports whether a worker has no runs but those of the given job, and of tasks that were suspected and have
// outlived their probation.
func (h *host) isQuarantine(e *entry) bool {
	for _, r := range h.runs {
		if r.job != e && (r.onProbation || !r.cleared) {
			return false
		}
	}
	return true
}

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
