package pool

import (
	"slices"
	"strings"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// feasibility says whether a job can still end while this is of use to its caller.
type feasibility int

const (
	onTime     feasibility = iota // there is capacity to end it on time
	atRisk                        // it could be on time, but the capacity is planned for others
	late                          // there is capacity to end it while its caller still waits
	infeasible                    // none of these, but it was accepted
)

// lateFactor is the multiple of a job's objective up to which a late end is still of use.
const lateFactor = 3

// item is a ready step with tasks that wait for a run.
type item struct {
	entry       *entry
	occurrence  *job.Occurrence
	step        int
	rank        int // 0 for long-running steps, else by queue priority; lower comes first
	feasibility feasibility
	key         time.Duration // order among items of the same rank and feasibility; usually the latest start
}

// Place runs one placing round: it starts waiting tasks where they fit, by rank, then by feasibility, then by key.
func (p *Pool) Place(at Moment) {
	p.prune(at)
	p.planCapacity(at)
	items := p.waiting(at)
	slices.SortStableFunc(items, func(a, b item) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.feasibility != b.feasibility {
			return int(a.feasibility - b.feasibility)
		}
		return int(a.key - b.key)
	})
	p.reportEjections()
	o := &offer{hosts: p.candidates(at), reserved: map[*host]bool{}, isolated: map[*host]bool{}, ejected: p.ejected(at)}
	p.isolate(at, items, o)
	for i := range items {
		p.placeItem(at, &items[i], o)
	}
}

// prune removes ended jobs from the active ones and opens occurrences that are due.
func (p *Pool) prune(at Moment) {
	p.active = slices.DeleteFunc(p.active, func(e *entry) bool { return e.job.State.Ended() })
	for _, e := range p.active {
		if e.job.Spec.Times > 0 && e.job.Advance(at.Wall) {
			p.touch(e)
		}
	}
}

// waiting returns the ready steps that have tasks without a run.
func (p *Pool) waiting(at Moment) []item {
	var items []item
	for _, e := range p.active {
		for _, o := range e.job.Occurrences {
			for s := range o.Steps {
				if o.Left(s) == 0 || !e.job.Ready(o, s) || !hasWaiting(o.Steps[s]) {
					continue
				}
				items = append(items, p.item(at, e, o, s))
			}
		}
	}
	return items
}

func hasWaiting(tasks []job.Task) bool {
	for i := range tasks {
		if tasks[i].Waiting() {
			return true
		}
	}
	return false
}

// countWaiting counts the tasks of the step that wait for a run.
func (it *item) countWaiting() int {
	count := 0
	tasks := it.occurrence.Steps[it.step]
	for i := range tasks {
		if tasks[i].Waiting() {
			count++
		}
	}
	return count
}

// item returns the order of a step for placing: long-running steps come first, then the queue's priority decides; among
// equals, steps that can be on time come before others, by their latest start.
func (p *Pool) item(at Moment, e *entry, o *job.Occurrence, step int) item {
	it := item{entry: e, occurrence: o, step: step, rank: 1 + e.job.Spec.Policy.Priority}
	if e.job.Spec.Steps[step].LongRunning {
		it.rank = 0
		it.key = e.arrived
		return it
	}
	remaining := p.remainingChain(e, o)
	if e.job.Spec.Times == 0 {
		it.feasibility, it.key = e.feasibility, e.due-remaining
		return it
	}
	due := at.Steady + o.Due(e.job, at.Wall) + e.job.Spec.Objective()
	objective := e.job.Spec.Objective()
	switch {
	case at.Steady+remaining <= due:
		it.feasibility, it.key = onTime, due-remaining
	case at.Steady+remaining <= due+(lateFactor-1)*objective:
		it.feasibility, it.key = late, due-remaining
	default:
		it.feasibility, it.key = infeasible, e.arrived
	}
	return it
}

// candidates returns the workers that may get new work, the fullest first so that others stay empty. Slow workers
// come last.
func (p *Pool) candidates(at Moment) []*host {
	var hosts []*host
	for _, h := range p.workers {
		if p.usable(at, h) {
			p.updateProbe(at, h)
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *host) int {
		if a.isSlow() != b.isSlow() {
			if a.isSlow() {
				return 1
			}
			return -1
		}
		if a.used.CPU != b.used.CPU {
			return b.used.CPU - a.used.CPU
		}
		return strings.Compare(a.info.ID, b.info.ID)
	})
	return hosts
}

// placeItem starts as many waiting tasks of a step as fit.
func (p *Pool) placeItem(at Moment, it *item, o *offer) {
	step := &it.entry.job.Spec.Steps[it.step]
	it.entry.stepTimesOf(at, it.occurrence.Number, it.step)
	suspects := it.hasSuspects()
	if o.cannotFit(step) && !suspects {
		return
	}
	hosts := o.hosts
	if it.entry.job.Spec.Policy.Advised {
		hosts = p.advised(at, it, hosts)
	}
	if suspects && !step.Gang {
		p.placeSuspects(at, it, hosts, o)
	}
	if step.Gang {
		p.placeGang(at, it, hosts, o)
		return
	}
	tm := p.team(it.entry.job.Spec.Team)
	tasks := it.occurrence.Steps[it.step]
	for i := range tasks {
		t := &tasks[i]
		if !t.Waiting() || t.Crash.Suspected || isHeld(step, t) {
			continue
		}
		if !tm.admits(step) {
			return
		}
		h := p.hostFor(it, t, hosts, o)
		if h == nil {
			p.unplaced(at, it, step, o)
			return
		}
		if p.shouldTryElsewhere(at, t, step, h, o) {
			continue
		}
		if h.info.Rack != step.Rack && p.shouldWaitForRack(at, it, step, o) && !p.hasFailedOnRack(t, step.Rack, o) {
			return
		}
		p.place(at, it.entry, t, h)
	}
	it.entry.unplaceableSince = 0
}

// unplaced records that a task fits nowhere in this round. For a long-running task it reserves a worker.
func (p *Pool) unplaced(at Moment, it *item, step *job.Step, o *offer) {
	if !it.entry.job.Spec.Policy.Advised {
		o.recordUnplaced(step)
	}
	if !step.LongRunning {
		return
	}
	o.reserveWorker(step)
	if it.entry.unplaceableSince == 0 {
		it.entry.unplaceableSince = at.Steady
	}
}
