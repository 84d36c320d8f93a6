package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Limits for slowing down best-effort tasks in favour of serving tasks, which have a latency target.
const (
	paceCut      = 3                      // divisor of the speed when a serving task is over its target
	paceRise     = 20                     // percentage points by which the speed is raised
	paceRiseGap  = 3 * time.Second        // between two raises
	paceCutGap   = 700 * time.Millisecond // between two cuts, so that the first can take effect
	targetMargin = 0.9                    // fraction of the target from which latency counts as over it
)

// recordLatency records since when a serving task has been over its latency target.
func (p *Pool) recordLatency(at Moment, r *run, reported worker.Running) {
	if r.step.Target <= 0 || r.step.BestEffort || r.phase != running {
		return
	}
	if float64(reported.Tail) < targetMargin*float64(r.step.Target) {
		r.overTargetSince = 0
		return
	}
	if r.overTargetSince == 0 {
		r.overTargetSince = at.Steady
	}
}

// Pace slows down best-effort tasks on workers with a serving task over its target, and speeds them up again in steps
// on the others.
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
		if !r.step.BestEffort || r.phase != running {
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
		p.actions = append(p.actions, PaceAction{To: h.target(), Run: r.id, Percent: share, Fence: h.fence})
	}
}

// RecordPace handles the outcome of a PaceAction. A failed one will be ordered again.
func (p *Pool) RecordPace(at Moment, a PaceAction, reply worker.Reply, err error) {
	r := p.find(a.To.ID, a.Run)
	if r == nil {
		return
	}
	if err != nil {
		r.orderedPercent = r.percent
		return
	}
	p.updateClock(at, r.host, reply)
}

// isServing reports whether a long-running task is available to its users.
func (p *Pool) isServing(t *job.Task) bool {
	r := p.runOf(t)
	return r != nil && !t.Leaving && !r.host.unresponsive && r.phase == running && (r.percent >= fullShare || r.orderedPercent < fullShare)
}

// fullShare is the speed of a task that is not slowed down, in percent.
const fullShare = 100

// Limits for runs that take much longer than expected.
const (
	overdueFactor = 2.5 // multiple of the expected time after which a run is long; in the tail of its kind it is not overdue yet
	overdueSlack  = 400 * time.Millisecond
	stallTimeout  = 1200 * time.Millisecond // since a run last ended with outcome done on the worker
	maxRescues    = 1                       // a task that is long on every worker is not moved a second time
	stalledRuns   = 4                       // long runs, and no others, that show a stalled worker though each may be in its tail
)

// Rescue stops overdue tasks on a worker, so that they start elsewhere, if several are overdue there and no run has
// ended done for a while: the worker is slow or stalled. A single overdue task may just be long.
//
// Where 3% of the tasks take 7 times as long, these are 18% of the running ones, so that two of them often meet on a worker. Four, and
// nothing else, are there for 0.1% of the time, so the worker is to blame.
func (p *Pool) Rescue(at Moment) {
	for _, h := range p.workers {
		if h.unresponsive || at.Steady-h.lastDone < stallTimeout {
			continue
		}
		var overdue, long []*run
		for _, r := range h.runs {
			isLong, isOverdue := p.lateness(at, r)
			if !isLong || !p.hasCapacityElsewhere(at, r) {
				continue
			}
			long = append(long, r)
			if isOverdue {
				overdue = append(overdue, r)
			}
		}
		if len(long) >= stalledRuns && len(long) == h.countTerminating() {
			overdue = long
		}
		if len(overdue) < overdueThreshold {
			continue
		}
		h.overdue = max(h.overdue, len(overdue))
		for _, r := range overdue {
			r.job.rescues[r.id.Task]++
			p.stop(at, r)
		}
	}
}

// countTerminating returns the number of runs on a worker that end by themselves.
func (h *host) countTerminating() int {
	count := 0
	for _, r := range h.runs {
		if !r.step.LongRunning {
			count++
		}
	}
	return count
}

// lateness reports whether a run that may be moved has taken much longer than expected, and whether it is beyond the tail of its kind, too.
func (p *Pool) lateness(at Moment, r *run) (isLong, isOverdue bool) {
	step := r.step
	if step.LongRunning || step.Gang || r.phase != running || r.began <= 0 || r.orphaned {
		return false, false
	}
	if step.Rack != "" && step.Rack != r.host.info.Rack || r.job.rescues[r.id.Task] >= maxRescues {
		return false, false
	}
	expected := p.expectedRun(r)
	limit := time.Duration(overdueFactor * float64(expected.Median))
	age := at.Steady - r.began - overdueSlack
	return limit > 0 && age > limit, limit > 0 && age > max(limit, expected.Tail)
}

func (p *Pool) hasCapacityElsewhere(at Moment, r *run) bool {
	for _, h := range p.workers {
		if h != r.host && p.usable(at, h) && !h.isSlow() && h.free().Covers(r.need) && h.info.Has(r.step.Label) {
			return true
		}
	}
	return false
}

// unplaceableAfter is how long a long-running task must have found no worker before the pool requests another one.
const unplaceableAfter = 400 * time.Millisecond

// Load describes the workers of a pool and its demand for capacity.
type Load struct {
	Hosts        []HostLoad
	Demand       int // thousandths of a core for running and ready tasks, at least the forecast for new jobs
	Late         int // thousandths of a core for running and ready tasks of jobs that can no longer be on time
	LongRunning  int // thousandths of a core for long-running tasks
	Memory       int // megabytes for all but late tasks
	MinWorkers   int // workers that the widest step needs because few of its tasks may share one
	Unplaceable  int // long-running tasks that found no worker
	LimitDemands limit.Demands
	Labels       map[string]int // thousandths of a core that only workers with a label can provide
	Racks        map[string]int // thousandths of a core for tasks with data on a rack
}

// HostLoad describes the load of one worker.
type HostLoad struct {
	Worker      string
	Used        int // thousandths of a core
	LongRunning int // long-running tasks
	Empty       bool
	Usable      bool
}

// lacksWorker reports whether a waiting task of a step has found no worker for so long that the pool needs one more.
func (e *entry) lacksWorker(at Moment, step *job.Step) bool {
	if e.suspectSince > 0 && at.Steady-e.suspectSince > isolationRequest {
		return true
	}
	return step.LongRunning && e.unplaceableSince > 0 && at.Steady-e.unplaceableSince > unplaceableAfter
}

// countsAsCapacity reports whether a worker counts as capacity of the pool. A worker that this owner has not reached
// yet counts, and so does one that has just refused a start: it is back sooner than another instance could come.
func (p *Pool) countsAsCapacity(at Moment, h *host) bool {
	notReached := h.listed && !h.answered && !h.unresponsive && !h.ended && !h.retired && !h.info.Draining
	return p.inService(at, h) || notReached && !h.cordoned && !p.evacuated.Has(h.info.DataCentre)
}

// Load returns the load of the workers and the demand of the pool.
func (p *Pool) Load(at Moment) Load {
	l := Load{Labels: map[string]int{}, Racks: map[string]int{}}
	requested := map[string]waitingDemand{}
	var held catalog.Resources
	for _, it := range p.waiting(at) {
		step := &it.entry.job.Spec.Steps[it.step]
		p.addWaiting(requested, it.entry.job.Spec.Team, step, it.countWaiting())
		for i := range it.occurrence.Steps[it.step] {
			if it.occurrence.Steps[it.step][i].Waiting() {
				l.addWaiting(at, &it, step, p.expectedOf(it.entry, it.step).median)
				if it.entry.lacksWorker(at, step) {
					l.Unplaceable++
				}
			}
		}
	}
	for name, h := range p.workers {
		load := HostLoad{Worker: name, Used: h.used.CPU, Empty: h.cordoned && h.answered && len(h.runs)+len(h.orphans) == 0, Usable: p.countsAsCapacity(at, h)}
		load.LongRunning = l.addRuns(h, &held)
		l.Hosts = append(l.Hosts, load)
	}
	l.requestReplacement(held)
	l.LimitDemands = p.limitDemands(requested)
	l.Demand = max(l.Demand, p.arrivals.forecast(at.Steady))
	return l
}

// addRuns adds the demand of the runs on a worker, and the resources of late runs to held. It returns the number of
// long-running tasks that are not late.
func (l *Load) addRuns(h *host, held *catalog.Resources) (longRunning int) {
	for _, r := range h.runs {
		if r.job.isLate() {
			l.addLate(r.step)
			*held = held.Add(fullNeed(r.step))
			continue
		}
		l.add(r.step)
		if r.step.LongRunning {
			longRunning++
		}
	}
	return longRunning
}

// requestReplacement moves demand from Late to Demand. Other work cannot use the resources that late runs hold until
// these end, so it requests as much capacity in addition, up to its own demand. A pool in which no work can be on time
// requests none.
func (l *Load) requestReplacement(held catalog.Resources) {
	if held.CPU == 0 {
		return
	}
	cpu := min(held.CPU, l.Demand)
	l.Demand += cpu
	l.Late -= cpu
	l.Memory += int(float64(held.MemoryMB) * float64(cpu) / float64(held.CPU))
}

// urgency is the fraction of the time until a task's latest start over which its demand is spread.
const urgency = 0.6

// addWaiting adds a ready task. The CPU demand of a task that is neither long-running nor late is its CPU divided by
// 1 + urgency * slack / length, where slack is the time until its latest start, or all its CPU if its length is unknown.
func (l *Load) addWaiting(at Moment, it *item, step *job.Step, length time.Duration) {
	if step.LongRunning {
		l.add(step)
		return
	}
	if it.key < at.Steady {
		l.addLate(step)
		return
	}
	l.Memory += step.MemoryMB
	rounds := 1.0
	if length > 0 {
		slack := it.key - at.Steady // until its latest start
		rounds += urgency * float64(max(0, slack)) / float64(length)
	}
	cpu := int(float64(step.CPU) / rounds)
	l.Demand += cpu
	l.addPlacement(step, cpu)
}

// addPlacement adds CPU to the demand for the label and the rack of a step.
func (l *Load) addPlacement(step *job.Step, cpu int) {
	if step.Label != "" {
		l.Labels[step.Label] += max(1, cpu)
	}
	if step.Rack != "" {
		l.Racks[step.Rack] += max(1, cpu)
	}
}

// addLate adds a running or ready task of a job that cannot be on time, which only gets capacity that other work
// leaves.
func (l *Load) addLate(step *job.Step) {
	l.Late += step.CPU
	l.addPlacement(step, step.CPU)
}

func (l *Load) add(step *job.Step) {
	l.Memory += step.MemoryMB
	l.addPlacement(step, step.CPU)
	if step.PerWorker > 0 && step.LongRunning {
		l.MinWorkers = max(l.MinWorkers, (step.Count+step.PerWorker-1)/step.PerWorker)
	}
	if step.LongRunning {
		l.LongRunning += needOf(step).CPU
		return
	}
	l.Demand += step.CPU
}
