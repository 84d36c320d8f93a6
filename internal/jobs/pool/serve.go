package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Bounds on how tasks that fill are held back for serving ones.
const (
	paceCut      = 3                      // divisor of the share when a serving task is over its target
	paceRise     = 20                     // points that the share rises by
	paceRiseGap  = 3 * time.Second        // between two rises
	paceCutGap   = 700 * time.Millisecond // between two cuts, so that the first can show
	targetMargin = 0.9                    // part of the target that counts as over it
)

// recordLatency notes the latency of a serving task.
func (p *Pool) recordLatency(at Moment, r *run, seen worker.Running) {
	if r.step.Target <= 0 || r.step.Fills || r.phase != running {
		return
	}
	if float64(seen.Tail) < targetMargin*float64(r.step.Target) {
		r.overTargetSince = 0
		return
	}
	if r.overTargetSince == 0 {
		r.overTargetSince = at.Steady
	}
}

// Pace holds back the tasks that fill beside a serving task that is over its target, and lets them
// come back slowly.
func (p *Pool) Pace(at Moment) {
	for _, h := range p.workers {
		if h.unresponsive || !h.answered {
			continue
		}
		over := false
		for _, r := range h.runs {
			over = over || r.overTargetSince > 0
		}
		p.paceBestEffort(at, h, over)
	}
}

func (p *Pool) paceBestEffort(at Moment, h *host, over bool) {
	gap := paceRiseGap
	if over {
		gap = paceCutGap
	}
	if at.Steady-h.lastPaced < gap {
		return
	}
	for _, r := range h.runs {
		if !r.step.Fills || r.phase != running {
			continue
		}
		share := min(100, r.orderedPercent+paceRise)
		if over {
			share = r.orderedPercent / paceCut
		}
		if share == r.orderedPercent {
			continue
		}
		r.orderedPercent = share
		h.lastPaced = at.Steady
		p.actions = append(p.actions, PaceAction{To: h.target(), Run: r.id, Percent: share, Fence: p.config.Fence})
	}
}

// Paced takes in the outcome of a PaceAction; one that failed is ordered again.
func (p *Pool) Paced(at Moment, a PaceAction, answer worker.Answer, err error) {
	r := p.find(a.To.ID, a.Run)
	if r == nil {
		return
	}
	if err != nil {
		r.orderedPercent = r.percent
		return
	}
	p.updateClock(at, r.host, answer)
}

// isServing reports whether a lasting task serves its users.
func (p *Pool) isServing(t *job.Task) bool {
	r := p.runOf(t)
	return r != nil && !t.Leaving && !r.host.unresponsive && r.phase == running && (r.percent >= fullShare || r.orderedPercent < fullShare)
}

// fullShare is the share of a task that is at work, in percent.
const fullShare = 100

// Clear moves what lasts off the workers that are to be emptied, as far as each step may miss tasks. That
// a task leaves is stored before its run is stopped, so that a successor counts it as away.
func (p *Pool) Clear() {
	for _, h := range p.workers {
		if !p.mustDrain(h) || h.unresponsive {
			continue
		}
		for _, r := range h.runs {
			if !r.step.Lasting || r.phase != running || r.task.Leaving || r.orphaned {
				continue
			}
			if h.info.Draining || p.canLeave(r) {
				r.task.Leaving = true
				p.touch(r.job)
				p.leaving = append(p.leaving, r)
			}
		}
	}
}

// Bounds on runs that take much longer than declared.
const (
	overdueFactor = 2.5 // multiple of the estimate
	overdueSlack  = 400 * time.Millisecond
	standstill    = 1200 * time.Millisecond // since the newest end on the worker
	maxRescues    = 1                       // a task that is long everywhere is left to run the second time
)

// Rescue starts tasks elsewhere that take far longer than declared, when several do on one worker and
// nothing has ended there for a while: it is slow or stands still. One long task alone may just be long.
func (p *Pool) Rescue(at Moment) {
	for _, h := range p.workers {
		if h.unresponsive || at.Steady-h.lastDone < standstill {
			continue
		}
		var late []*run
		for _, r := range h.runs {
			if p.isOverdue(at, r) && p.hasCapacityElsewhere(at, r) {
				late = append(late, r)
			}
		}
		if len(late) < overdueThreshold {
			continue
		}
		h.overdue = max(h.overdue, len(late))
		for _, r := range late {
			r.job.rescues[r.id.Task]++
			p.stop(at, r)
		}
	}
}

func (p *Pool) isOverdue(at Moment, r *run) bool {
	step := r.step
	if step.Lasting || step.Gang || step.Estimate == 0 || r.phase != running || r.began <= 0 || r.orphaned {
		return false
	}
	if step.Rack != "" && step.Rack != r.host.info.Rack || r.job.rescues[r.id.Task] >= maxRescues {
		return false
	}
	return at.Steady-r.began > time.Duration(overdueFactor*float64(step.Estimate))+overdueSlack
}

func (p *Pool) hasCapacityElsewhere(at Moment, r *run) bool {
	for _, h := range p.workers {
		if h != r.host && p.usable(at, h) && !h.isSlow() && h.free().Holds(r.need) && h.info.Has(r.step.Label) {
			return true
		}
	}
	return false
}

// canLeave reports whether a task of a lasting step can be away without breaking the step's limit.
func (p *Pool) canLeave(r *run) bool {
	limit := r.step.MaxUnavailable
	if limit == 0 {
		return true
	}
	away := 0
	for _, o := range r.job.job.Occurrences {
		if o.Number != r.id.Task.Occurrence {
			continue
		}
		tasks := o.Steps[r.id.Task.Step]
		for i := range tasks {
			if &tasks[i] != r.task && !p.isServing(&tasks[i]) {
				away++
			}
		}
	}
	return away < limit
}

// stuckAfter is how long a task that lasts finds no worker until the pool asks for another one.
const stuckAfter = 400 * time.Millisecond

// Load tells how the work of the pool stands.
type Load struct {
	Hosts   []HostLoad
	Demand  int // thousandths of a core that running and ready tasks ask for, or that new jobs will keep busy
	Late    int // the same for running and ready tasks of jobs that can no longer be in time
	Lasting int // the same for tasks that last
	Memory  int // megabytes that all but late ones ask for
	Spread  int // workers that the widest step needs because few of its tasks may share one
	Stuck   int // tasks that last and found no worker
	Claims  limit.Claims
	Labels  map[string]int // the part of the demand that only workers with a label can meet
	Racks   map[string]int // the part of it whose data is on a rack
}

// HostLoad is a worker with what it carries.
type HostLoad struct {
	Worker  string
	Used    int // thousandths of a core
	Lasting int // tasks that last
	Empty   bool
	Usable  bool
}

// countsAsCapacity reports whether a worker is room that the pool has, which one that this owner has not met yet is.
func (p *Pool) countsAsCapacity(at Moment, h *host) bool {
	unmet := h.listed && !h.answered && !h.unresponsive && !h.ended && !h.retired && !h.info.Draining
	return p.usable(at, h) || unmet && !h.cordoned && !p.evacuated.Has(h.info.DataCentre)
}

// Load returns how the work of the pool stands.
func (p *Pool) Load(at Moment) Load {
	l := Load{Labels: map[string]int{}, Racks: map[string]int{}}
	requested := map[string]catalog.Amount{}
	var held catalog.Amount
	for _, it := range p.waiting(at) {
		step := &it.entry.job.Spec.Steps[it.step]
		for i := range it.occurrence.Steps[it.step] {
			if it.occurrence.Steps[it.step][i].Waiting() {
				l.addWaiting(at, &it, step)
				requested[it.entry.job.Spec.Team] = requested[it.entry.job.Spec.Team].Plus(fullNeed(step))
				if step.Lasting && it.entry.stuckSince > 0 && at.Steady-it.entry.stuckSince > stuckAfter {
					l.Stuck++
				}
			}
		}
	}
	for name, h := range p.workers {
		load := HostLoad{Worker: name, Used: h.used.CPU, Empty: h.cordoned && h.answered && len(h.runs)+len(h.orphans) == 0, Usable: p.countsAsCapacity(at, h)}
		load.Lasting = l.addRuns(h, &held)
		l.Hosts = append(l.Hosts, load)
	}
	l.requestReplacement(held)
	l.Claims = p.limitDemands(requested)
	l.Demand = max(l.Demand, p.arrivals.forecast(at.Steady))
	return l
}

// addRuns adds what runs on a worker, and what late work holds there to an amount; it returns how many tasks that last
// are among the runs.
func (l *Load) addRuns(h *host, held *catalog.Amount) (lasting int) {
	for _, r := range h.runs {
		if r.job.isLate() {
			l.addLate(r.step)
			*held = held.Plus(fullNeed(r.step))
			continue
		}
		l.add(r.step)
		if r.step.Lasting {
			lasting++
		}
	}
	return lasting
}

// requestReplacement asks for as much room beside what running late work holds as other work needs: that work does without it until
// the runs end. A pool in which nothing can be in time asks for none.
func (l *Load) requestReplacement(held catalog.Amount) {
	if held.CPU == 0 {
		return
	}
	cpu := min(held.CPU, l.Demand)
	l.Demand += cpu
	l.Late -= cpu
	l.Memory += int(float64(held.MemoryMB) * float64(cpu) / float64(held.CPU))
}

// urgency is the part of the time until a task's latest start that its room may come late.
const urgency = 0.6

// addWaiting adds a ready task: the room for it is spread over the time in which it must have run, so that a
// task that could run three times over until then asks for a third of its processors.
func (l *Load) addWaiting(at Moment, it *item, step *job.Step) {
	if step.Lasting {
		l.add(step)
		return
	}
	if it.key < at.Steady {
		l.addLate(step)
		return
	}
	l.Memory += step.MemoryMB
	waves := 1.0
	if step.Estimate > 0 {
		slack := it.key - at.Steady // until its latest start
		waves += urgency * float64(max(0, slack)) / float64(step.Estimate)
	}
	cpu := int(float64(step.CPU) / waves)
	l.Demand += cpu
	l.addPlacement(step, cpu)
}

// addPlacement notes where demand can be met, or is best met.
func (l *Load) addPlacement(step *job.Step, cpu int) {
	if step.Label != "" {
		l.Labels[step.Label] += max(1, cpu)
	}
	if step.Rack != "" {
		l.Racks[step.Rack] += max(1, cpu)
	}
}

// addLate adds a task of a job that cannot be in time, running or not: its room is what other work leaves.
func (l *Load) addLate(step *job.Step) {
	l.Late += step.CPU
	l.addPlacement(step, step.CPU)
}

func (l *Load) add(step *job.Step) {
	l.Memory += step.MemoryMB
	l.addPlacement(step, step.CPU)
	if step.PerWorker > 0 && step.Lasting {
		l.Spread = max(l.Spread, (step.Count+step.PerWorker-1)/step.PerWorker)
	}
	if step.Lasting {
		l.Lasting += needOf(step).CPU
		return
	}
	l.Demand += step.CPU
}
