package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// chance tells whether a job can still be in time.
type chance int

const (
	timely   chance = iota // can be in time
	tardy                  // can only be late
	hopeless               // too late for anyone to wait for, but accepted
)

// lateFactor is the multiple of a job's allowed time up to which a late end is worth something.
const lateFactor = 3

// item is a step whose turn has come.
type item struct {
	entry  *entry
	repeat *job.Occurrence
	step   int
	rank   int // kind and priority; lower comes first
	chance chance
	key    time.Duration // order among items of the same rank and chance
}

// Place starts waiting tasks where they fit, in the order in which they are worth most.
func (p *Pool) Place(at Moment) {
	p.prune(at)
	items := p.waiting(at)
	slices.SortStableFunc(items, func(a, b item) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.chance != b.chance {
			return int(a.chance - b.chance)
		}
		return int(a.key - b.key)
	})
	hosts := p.candidates(at)
	reserved := map[*host]bool{}
	for i := range items {
		p.placeItem(at, &items[i], hosts, reserved)
	}
}

// prune takes ended jobs out of the active ones and opens occurrences that are due.
func (p *Pool) prune(at Moment) {
	p.active = slices.DeleteFunc(p.active, func(e *entry) bool { return e.job.State.Ended() })
	for _, e := range p.active {
		if e.job.Spec.Times > 0 && e.job.Advance(at.Wall) {
			p.touch(e)
		}
	}
}

// waiting returns the steps whose turn has come and that have tasks without a run.
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
		if !tasks[i].Done && !tasks[i].Placed() {
			return true
		}
	}
	return false
}

// item ranks a step: what lasts first, then by the queue's priority; among equals what can be in time
// goes before what cannot, by its latest start.
func (p *Pool) item(at Moment, e *entry, o *job.Occurrence, step int) item {
	it := item{entry: e, repeat: o, step: step, rank: 1 + e.job.Spec.Policy.Priority}
	if e.job.Spec.Steps[step].Lasting {
		it.rank = 0
		it.key = e.arrived
		return it
	}
	remaining := e.job.Remaining(o)
	due := e.due
	if e.job.Spec.Times > 0 {
		due = at.Steady + o.Due(e.job, at.Wall) + e.job.Spec.Objective()
	}
	objective := e.job.Spec.Objective()
	switch {
	case at.Steady+remaining <= due:
		it.chance, it.key = timely, due-remaining
	case at.Steady+remaining <= due+(lateFactor-1)*objective:
		it.chance, it.key = tardy, due-remaining
	default:
		it.chance, it.key = hopeless, e.arrived
	}
	return it
}

// candidates returns the workers that may get new work, the fullest first, so that others stay empty.
func (p *Pool) candidates(at Moment) []*host {
	var hosts []*host
	for _, h := range p.workers {
		if p.usable(at, h) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *host) int {
		if a.sluggish() != b.sluggish() {
			if a.sluggish() {
				return 1
			}
			return -1
		}
		if a.used.CPU != b.used.CPU {
			return b.used.CPU - a.used.CPU
		}
		return compareText(a.info.ID, b.info.ID)
	})
	return hosts
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// placeItem starts the waiting tasks of a step as far as they fit.
func (p *Pool) placeItem(at Moment, it *item, hosts []*host, reserved map[*host]bool) {
	step := &it.entry.job.Spec.Steps[it.step]
	if it.entry.job.Spec.Policy.Advised {
		hosts = p.advised(at, it, hosts)
	}
	if step.Gang {
		p.placeGang(at, it, hosts, reserved)
		return
	}
	tm := p.team(it.entry.job.Spec.Team)
	tasks := it.repeat.Steps[it.step]
	for i := range tasks {
		t := &tasks[i]
		if t.Done || t.Placed() {
			continue
		}
		if !tm.admits(fullNeed(step)) {
			return
		}
		h := p.choose(it, step, hosts, reserved)
		if h == nil {
			if step.Lasting {
				reserve(step, hosts, reserved)
				if it.entry.stuck == 0 {
					it.entry.stuck = at.Steady
				}
			}
			return
		}
		p.place(at, it.entry, t, h)
	}
	it.entry.stuck = 0
}

// choose returns the best worker for a task of a step, or nil when it fits nowhere.
func (p *Pool) choose(it *item, step *job.Step, hosts []*host, reserved map[*host]bool) *host {
	need := needOf(step)
	var best *host
	for _, h := range hosts {
		if reserved[h] && !step.Lasting || !h.free().Holds(need) || !h.info.Has(step.Label) || !h.roomFor(it, step) {
			continue
		}
		if best == nil || p.better(it, step, h, best) {
			best = h
		}
	}
	return best
}

// better compares two workers that a task fits on; hosts come fullest first, so a tie keeps the fuller.
func (p *Pool) better(it *item, step *job.Step, h, best *host) bool {
	if step.Rack != "" && (h.info.Rack == step.Rack) != (best.info.Rack == step.Rack) {
		return h.info.Rack == step.Rack
	}
	if h.sluggish() != best.sluggish() {
		return best.sluggish()
	}
	if step.SameRack {
		a, b := h.alikeInRack(p, it), best.alikeInRack(p, it)
		if a != b {
			return a > b
		}
	}
	if step.Lasting && h.doomed != best.doomed {
		return best.doomed
	}
	if step.Lasting {
		// A worker is emptied one task of a step at a time, so that no worker should hold most of them.
		if a, b := h.alike(it) >= share(step), best.alike(it) >= share(step); a != b {
			return b
		}
	}
	if step.Fills {
		if a, b := h.serving(), best.serving(); a != b {
			return a < b
		}
	}
	return false
}

// lastingHosts is how many workers the tasks of a lasting step are spread over when they have the choice.
const lastingHosts = 2

// share is how many tasks of a lasting step one worker should hold at most.
func share(step *job.Step) int { return (step.Count + lastingHosts - 1) / lastingHosts }

// alike counts the tasks of the same step on a worker.
func (h *host) alike(it *item) int {
	count := 0
	for id := range h.runs {
		if id.Task.Job == it.entry.job.Spec.ID && id.Task.Occurrence == it.repeat.Number && id.Task.Step == it.step {
			count++
		}
	}
	return count
}

func (h *host) alikeInRack(p *Pool, it *item) int {
	count := 0
	for _, other := range p.workers {
		if other.info.Rack == h.info.Rack {
			count += other.alike(it)
		}
	}
	return count
}

// serving counts the tasks on a worker that have a latency target.
func (h *host) serving() int {
	count := 0
	for _, r := range h.runs {
		if r.step.Target > 0 && !r.step.Fills {
			count++
		}
	}
	return count
}

func (h *host) roomFor(it *item, step *job.Step) bool {
	return step.PerWorker == 0 || h.alike(it) < step.PerWorker
}

// sluggishFactor is how much longer than usual runs take on a worker that is avoided.
const sluggishFactor = 2.5

// overdueInRow is how many runs must be overdue together on a worker that is avoided.
const overdueInRow = 2

func (h *host) sluggish() bool { return h.slow > sluggishFactor || h.overdue >= overdueInRow }

// reserve keeps the emptiest worker free for a task that lasts.
func reserve(step *job.Step, hosts []*host, reserved map[*host]bool) {
	var best *host
	for _, h := range hosts {
		if reserved[h] || !h.info.Has(step.Label) || !h.info.Capacity.Holds(needOf(step)) {
			continue
		}
		if best == nil || h.free().CPU > best.free().CPU {
			best = h
		}
	}
	if best != nil {
		reserved[best] = true
	}
}

// placeGang starts all members of a gang, or none.
func (p *Pool) placeGang(at Moment, it *item, hosts []*host, reserved map[*host]bool) {
	step := &it.entry.job.Spec.Steps[it.step]
	tasks := it.repeat.Steps[it.step]
	latest := 0
	for i := range tasks {
		if tasks[i].Placed() {
			return
		}
		latest = max(latest, tasks[i].Run)
	}
	var placed []*run
	for i := range tasks {
		tasks[i].Run = latest
		var h *host
		if p.team(it.entry.job.Spec.Team).admits(fullNeed(step)) {
			h = p.choose(it, step, hosts, reserved)
		}
		if h == nil {
			for _, r := range placed {
				p.unhold(r)
				p.release(r)
				r.task.Run = latest
			}
			return
		}
		placed = append(placed, p.place(at, it.entry, &tasks[i], h))
	}
}

// learnWeight is the share of the newest run in a worker's typical slowness.
const learnWeight = 0.3

// Bounds on runs that fail in a row on one worker.
const (
	failuresInRow = 3
	firstPenalty  = 2 * time.Second
	maxPenalty    = 30 * time.Second
)

// learn judges a worker by the end of a run.
func (p *Pool) learn(at Moment, r *run, how worker.How) {
	h := r.host
	switch how {
	case worker.Done:
		h.failures, h.penalties, h.overdue = 0, 0, 0
		h.done = at.Steady
		if r.began > 0 && r.step.Estimate > 0 {
			ratio := float64(at.Steady-r.began) / float64(r.step.Estimate)
			if h.slow == 0 {
				h.slow = 1
			}
			h.slow += learnWeight * (ratio - h.slow)
		}
	case worker.Failed:
		h.failures++
		if h.failures >= failuresInRow {
			h.avoid = at.Steady + min(maxPenalty, firstPenalty<<min(h.penalties, 4))
			h.penalties++
			h.failures = failuresInRow - 1
			p.config.Observer.WorkerChanged(h.info.ID, "fails what it starts")
		}
	case worker.Lost, worker.Stopped, worker.Lapsed, worker.Broken, worker.Alone:
	}
}
