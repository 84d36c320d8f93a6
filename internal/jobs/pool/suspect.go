package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// A suspected task starts on a worker without runs of other jobs. So that a crash does not take a busy pool away from its
// neighbours, few of its workers run suspected tasks. In an idle pool half of the workers may, and suspected tasks that
// still find none share a worker: most of them crash nothing, and all on a worker are cleared together.

// Limits for the wait of a suspected task for a worker of its own.
const (
	isolationRequest  = 300 * time.Millisecond // then the pool asks for one more worker
	shareTimeout      = 2 * time.Second        // times its suspicion, then it shares a worker with other suspected tasks of an idle pool
	isolationTimeout  = 4 * time.Second        // then any of the workers kept free for suspected tasks will do
	smallGroup        = 3                      // suspected tasks that share a worker after a second crash
	probationFraction = 4                      // at most one of so many workers of a busy pool runs suspected tasks alone
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
		if !tm.admits(step) {
			return
		}
		h := p.hostForSuspect(at, it, t, hosts, o)
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

// suspectChoice holds the workers that a suspected task may start on, the best of each kind.
type suspectChoice struct {
	own      *host // without runs of other jobs but such as are cleared, or kept free for suspected tasks
	shared   *host // with suspected tasks of other jobs
	occupied *host // with other runs
}

// hostForSuspect returns a worker for a suspected task, or nil if it has to wait.
func (p *Pool) hostForSuspect(at Moment, it *item, t *job.Task, hosts []*host, o *offer) *host {
	step := &it.entry.job.Spec.Steps[it.step]
	need := needOf(step)
	waited := it.entry.unisolatedFor(at)
	expired := waited > isolationTimeout
	var c suspectChoice
	for _, h := range hosts {
		if !h.free().Covers(need) || !h.info.Has(step.Label) || !h.allowsAnother(it, step) {
			continue
		}
		quarantine := h.isQuarantine(it.entry)
		switch {
		case quarantine && h.onProbation > 0:
			return h // with suspected tasks of the same job
		case quarantine, expired && o.isolated[h] && h.onProbation == 0:
			c.own = p.betterForSuspect(at, it.entry, h, c.own)
		case h.onProbation > 0 && (c.shared == nil || h.onProbation < c.shared.onProbation) && o.idle && mayShare(t, h, waited):
			c.shared = h
		case h.onProbation == 0 && expired && o.idle:
			c.occupied = p.betterForSuspect(at, it.entry, h, c.occupied)
		}
	}
	lasts := expired && step.LongRunning // its users are without it, and a probation may take maxProbation
	mayOpen := lasts || o.allowsProbation(it.entry, waited > shareTimeout)
	switch {
	case c.own != nil && mayOpen:
		return c.own
	case c.shared != nil:
		return c.shared
	case mayOpen:
		return c.occupied
	}
	return nil
}

// unisolatedFor returns for how long a suspected task of a job has found no worker.
func (e *entry) unisolatedFor(at Moment) time.Duration {
	if e.suspectSince == 0 {
		return 0
	}
	return at.Steady - e.suspectSince
}

// betterForSuspect returns the better one of two workers for a suspected task; the second may be nil.
func (p *Pool) betterForSuspect(at Moment, e *entry, h, best *host) *host {
	if best == nil || p.compareForSuspect(at, e, h, best) < 0 {
		return h
	}
	return best
}

// suspicion rates how much speaks against a suspected task: 1 or less after one crash, and 1 more for each further one. From
// doubtfulStrikeLimit on it has to be alone, so that its next crash shows whether it is the culprit.
func suspicion(t *job.Task) int { return max(t.Crash.Strikes, t.Crash.Total()-1) }

// mayShare reports whether a suspected task that has waited for a time may start beside the suspected tasks on a worker. Any
// number may share after one crash, and few after two, so that most of those that crash nothing meet no third one.
func mayShare(t *job.Task, h *host, waited time.Duration) bool {
	highest := max(1, suspicion(t))
	for _, r := range h.runs {
		if r.onProbation {
			highest = max(highest, suspicion(r.task))
		}
	}
	if highest > 1 && h.onProbation >= smallGroup {
		return false
	}
	return highest < doubtfulStrikeLimit && waited > time.Duration(highest)*shareTimeout
}

// allowsProbation reports whether one more worker may run suspected tasks of a job, which may have waited for long.
func (o *offer) allowsProbation(e *entry, waited bool) bool {
	ofOthers, cpu, all := 0, 0, 0
	for _, h := range o.hosts {
		all += h.info.Capacity.CPU
		if h.onProbation > 0 {
			cpu += h.info.Capacity.CPU
		}
		if h.hasSuspectsBeside(e) {
			ofOthers++
		}
	}
	return ofOthers < max(1, len(o.hosts)/probationFraction) || waited && o.idle && 2*cpu < all
}

// hasSuspectsBeside reports whether a worker runs suspected tasks of jobs other than the given one.
func (h *host) hasSuspectsBeside(e *entry) bool {
	for _, r := range h.runs {
		if r.onProbation && r.job != e {
			return true
		}
	}
	return false
}

// isIdle reports whether the work that is not suspected, running and waiting, needs under half of the CPU of some workers.
func isIdle(items []item, hosts []*host) bool {
	all, needed := 0, 0
	for _, h := range hosts {
		all += h.info.Capacity.CPU
		for _, r := range h.runs {
			if !r.onProbation {
				needed += r.need.CPU
			}
		}
	}
	for i := range items {
		it := &items[i]
		needed += (it.countWaiting() - it.countSuspects()) * it.entry.job.Spec.Steps[it.step].CPU
	}
	return 2*needed < all
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
