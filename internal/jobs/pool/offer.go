package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// offer is the capacity that one placing round allocates; it only shrinks during the round.
type offer struct {
	hosts         []*host        // fullest first
	reserved      map[*host]bool // kept free for long-running tasks that could not be placed yet
	isolated      map[*host]bool // kept free for suspected tasks
	ejected       []*host
	idle          bool // the work that is not suspected needs under half of the workers; false if none is suspected
	unplacedNeeds []catalog.Resources
}

// recordUnplaced records that a task of a step fits nowhere, unless something other than its size may be the reason.
func (o *offer) recordUnplaced(step *job.Step) {
	if !step.LongRunning && !step.Gang && step.Label == "" && step.PerWorker == 0 {
		o.unplacedNeeds = append(o.unplacedNeeds, needOf(step))
	}
}

// cannotFit reports whether a task that needs no more than one of this step could not be placed, so that this step need
// not be tried on every worker of a full pool.
func (o *offer) cannotFit(step *job.Step) bool {
	need := needOf(step)
	return !step.LongRunning && slices.ContainsFunc(o.unplacedNeeds, need.Covers)
}

// reserveWorker reserves the suitable worker with the most free CPU for a long-running task.
func (o *offer) reserveWorker(step *job.Step) {
	var best *host
	for _, h := range o.hosts {
		if o.reserved[h] || !h.info.Has(step.Label) || !h.info.Capacity.Covers(needOf(step)) {
			continue
		}
		if best == nil || h.free().CPU > best.free().CPU {
			best = h
		}
	}
	if best != nil {
		o.reserved[best] = true
	}
}

// hostFor returns the best worker for a task of a step, or nil if it fits nowhere.
func (p *Pool) hostFor(it *item, t *job.Task, hosts []*host, o *offer) *host {
	step := &it.entry.job.Spec.Steps[it.step]
	need := needOf(step)
	var best *host
	if others := o.ejectedWith(step.Label); len(others) > 0 {
		hosts = others
	}
	for _, h := range hosts {
		if o.isolated[h] || h.onProbation > 0 || o.reserved[h] && !step.LongRunning || !h.free().Covers(need) || !h.info.Has(step.Label) || !h.allowsAnother(it, step) || h.probed {
			continue
		}
		if best == nil || p.isBetter(it, t, h, best) {
			best = h
		}
	}
	return best
}

// isBetter reports whether h is a better worker than best for a task that fits on both. Hosts are tried fullest first,
// so a tie keeps the fuller one.
func (p *Pool) isBetter(it *item, t *job.Task, h, best *host) bool {
	step := &it.entry.job.Spec.Steps[it.step]
	if a, b := p.hasFailedOn(t, h), p.hasFailedOn(t, best); a != b {
		return b
	}
	if step.Rack != "" && (h.info.Rack == step.Rack) != (best.info.Rack == step.Rack) {
		return h.info.Rack == step.Rack
	}
	if h.isSlow() != best.isSlow() {
		return best.isSlow()
	}
	if step.SameRack {
		a, b := h.countSameStepInRack(p, it), best.countSameStepInRack(p, it)
		if a != b {
			return a > b
		}
	}
	if step.LongRunning && h.drainScheduled != best.drainScheduled {
		return best.drainScheduled
	}
	if step.LongRunning {
		// Draining a worker may move only some tasks of a step at a time, so no worker should hold most of them.
		if a, b := h.countSameStep(it) >= maxPerHost(step), best.countSameStep(it) >= maxPerHost(step); a != b {
			return b
		}
	}
	if step.BestEffort {
		if a, b := h.countServing(), best.countServing(); a != b {
			return a < b
		}
	}
	return false
}

// longRunningSpread is the number of workers over which the tasks of a long-running step are spread if possible.
const longRunningSpread = 2

// maxPerHost returns the most tasks of a long-running step that one worker should hold.
func maxPerHost(step *job.Step) int { return (step.Count + longRunningSpread - 1) / longRunningSpread }

// countSameStep counts the tasks of the same step on a worker.
func (h *host) countSameStep(it *item) int {
	count := 0
	for id := range h.runs {
		if id.Task.Job == it.entry.job.Spec.ID && id.Task.Occurrence == it.occurrence.Number && id.Task.Step == it.step {
			count++
		}
	}
	return count
}

func (h *host) countSameStepInRack(p *Pool, it *item) int {
	count := 0
	for _, other := range p.workers {
		if other.info.Rack == h.info.Rack {
			count += other.countSameStep(it)
		}
	}
	return count
}

// countServing counts the tasks on a worker that have a latency target and are not best-effort.
func (h *host) countServing() int {
	count := 0
	for _, r := range h.runs {
		if r.step.Target > 0 && !r.step.BestEffort {
			count++
		}
	}
	return count
}

func (h *host) allowsAnother(it *item, step *job.Step) bool {
	return step.PerWorker == 0 || h.countSameStep(it) < step.PerWorker
}

// slowFactor is the ratio of run time to estimate above which a worker is slow and used last.
const slowFactor = 2.5

// overdueThreshold is the number of runs overdue at the same time from which a worker counts as slow.
const overdueThreshold = 2

func (h *host) isSlow() bool { return h.slowness > slowFactor || h.overdue >= overdueThreshold }

// shouldWaitForRack reports whether a task should wait for capacity on the rack of its data: elsewhere the job would be
// late, while there are suitable workers on that rack and its latest start has not passed.
func (p *Pool) shouldWaitForRack(at Moment, it *item, step *job.Step, o *offer) bool {
	if step.Rack == "" || p.config.RemoteSlowdown <= 1 || it.feasibility > atRisk || at.Steady >= it.key {
		return false
	}
	slack := it.key - at.Steady
	if time.Duration((p.config.RemoteSlowdown-1)*float64(p.expectedOf(it.entry, it.step).median)) <= slack {
		return false
	}
	need := needOf(step)
	return slices.ContainsFunc(o.hosts, func(h *host) bool {
		return h.info.Rack == step.Rack && h.info.Has(step.Label) && h.info.Capacity.Covers(need)
	})
}
