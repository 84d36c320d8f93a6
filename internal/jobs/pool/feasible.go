package pool

import (
	"container/heap"
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// packingEfficiency is the fraction of the capacity that tasks of different sizes and lengths can use.
const packingEfficiency = 0.9

// unevenness is the assumed ratio between the longest of a step's tasks and the estimate.
const unevenness = 1.4

// planTTL is how long a plan is used; a job that arrives in the meantime counts as on time.
const planTTL = 40 * time.Millisecond

// planCapacity decides which jobs get the capacity in a surge of more work than the pool can hold. Ordering by the
// latest start alone would make nearly all jobs late, since each would be started when its time is just over. Instead
// the jobs are added in the order of their due times. If the work up to a job does not fit, the newest jobs of the team
// with the most work per weight are rejected, except jobs that have begun. The rejected jobs then go through the same
// procedure with the latest time at which a late end is still of use.
func (p *Pool) planCapacity(at Moment) {
	if at.Steady-p.lastPlanned < planTTL {
		return
	}
	p.lastPlanned = at.Steady
	demands := p.jobDemands(at)
	capacity := p.capacity(at)
	var before job.CoreTime
	for len(demands) > 0 {
		n := 0
		for n < len(demands) && demands[n].rank == demands[0].rank {
			n++
		}
		rejected := p.fit(at, demands[:n], &fitPass{capacity: capacity, as: onTime, sum: before})
		p.fit(at, rejected, &fitPass{capacity: capacity, as: late, sum: before + workOf(demands[:n], onTime)})
		for _, c := range rejected {
			if at.Steady+c.chain <= c.due {
				c.entry.feasibility = atRisk
			}
		}
		before += workOf(demands[:n], late)
		demands = demands[n:]
	}
}

// isLate reports whether a one-time job can no longer be on time.
func (e *entry) isLate() bool { return e.job.Spec.Once() && e.feasibility > atRisk }

// jobDemand is the demand of a job on the capacity of the pool.
type jobDemand struct {
	entry *entry
	rank  int
	due   time.Duration // steady time
	chain time.Duration // remaining time with capacity for all its tasks
	work  job.CoreTime  // remaining work
	begun bool
}

// deadline returns when the job must have ended to reach a feasibility.
func (c *jobDemand) deadline(as feasibility) time.Duration {
	if as == late {
		return c.due + (lateFactor-1)*c.entry.job.Spec.Objective()
	}
	return c.due
}

// jobDemands returns the demands of the unfinished one-time jobs by priority and due time. It marks these jobs as
// infeasible until the plan says otherwise.
func (p *Pool) jobDemands(at Moment) []jobDemand {
	var demands []jobDemand
	for _, e := range p.active {
		if e.job.State.Ended() || !e.job.Spec.Once() {
			continue
		}
		c := jobDemand{entry: e, rank: e.job.Spec.Policy.Priority, due: e.due, begun: e.job.Begun}
		c.chain, c.work = p.remainingWork(at, e)
		e.feasibility = infeasible
		demands = append(demands, c)
	}
	slices.SortStableFunc(demands, func(a, b jobDemand) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(a.due - b.due)
	})
	return demands
}

// remainingWork returns the remaining time of a job with capacity for all its tasks, and its remaining work.
func (p *Pool) remainingWork(at Moment, e *entry) (chain time.Duration, work job.CoreTime) {
	o := e.job.Occurrences[0]
	lengths := make([]time.Duration, len(o.Steps))
	for s := range o.Steps {
		step := &e.job.Spec.Steps[s]
		if o.Left(s) == 0 {
			continue
		}
		expected := p.expectedOf(e, s)
		for i := range o.Steps[s] {
			t := &o.Steps[s][i]
			if t.Done {
				continue
			}
			left, mean := expected.median, expected.mean
			if r := p.runOf(t); r != nil && r.began > 0 {
				left = max(left/8, left-(at.Steady-r.began))
				mean = max(mean/8, mean-(at.Steady-r.began))
			}
			lengths[s] = max(lengths[s], left)
			work += job.WorkOn(step.CPU, mean)
		}
	}
	return e.job.LongestChain(o, func(step int) time.Duration { return lengths[step] }), work
}

// capacityForecast is the capacity of a pool now and the capacity that is being moved to it, in thousandths of a core.
type capacityForecast struct{ now, incoming int }

// capacity returns the pool's capacity beside long-running tasks and the capacity that is being moved to it. Capacity
// that other pools may yet release is left out, since in a surge of several pools each of them would count it.
func (p *Pool) capacity(at Moment) capacityForecast {
	var r capacityForecast
	for _, h := range p.workers {
		if !p.countsAsCapacity(at, h) {
			continue
		}
		r.now += h.info.Capacity.CPU
		for _, run := range h.runs {
			if run.step.LongRunning {
				r.now -= run.need.CPU
			}
		}
	}
	if at.Steady <= p.obtainableUntil {
		r.incoming = p.incoming
	}
	return r
}

// workUntil returns the work that the capacity can do in the given time.
func (r capacityForecast) workUntil(left time.Duration) job.CoreTime {
	work := job.WorkOn(r.now, max(0, left))
	work += job.WorkOn(r.incoming, max(0, left-forecastLead))
	return packingEfficiency * work
}

// fitPass is a pass over demands in the order of their due times that keeps those which fit into the capacity.
type fitPass struct {
	capacity capacityForecast
	as       feasibility  // feasibility of the jobs that fit
	sum      job.CoreTime // work of these jobs and of those with a better rank or feasibility
	teams    map[string]*teamDemand
	rejected []jobDemand
}

// fit sets the feasibility of the jobs that fit and returns the others.
func (p *Pool) fit(at Moment, demands []jobDemand, f *fitPass) []jobDemand {
	f.teams = map[string]*teamDemand{}
	for _, c := range demands {
		end := c.deadline(f.as) - at.Steady
		start := end - c.chain
		if !c.begun {
			start -= time.Duration((unevenness - 1) * float64(c.chain))
		}
		if start < 0 {
			f.rejected = append(f.rejected, c)
			continue
		}
		f.add(p.teamDemand(f, c.entry.job.Spec.Team), c, start, end)
	}
	return f.rejected
}

// add adds a job that must start and end within the given times, and rejects others until all fit.
func (f *fitPass) add(t *teamDemand, c jobDemand, start, end time.Duration) {
	t.add(c)
	c.entry.feasibility = f.as
	f.sum += c.work
	for t.exceedsLimit(end) && len(t.notBegun) > 0 {
		f.reject(t)
	}
	for f.sum-c.work > f.capacity.workUntil(start) || f.sum > f.capacity.workUntil(end) {
		most := busiest(f.teams)
		if most == nil {
			return // all remaining jobs have begun
		}
		f.reject(most)
	}
}

// reject rejects the newest job of a team that has not begun.
func (f *fitPass) reject(t *teamDemand) {
	dropped := t.dropNewest()
	dropped.entry.feasibility = infeasible
	f.sum -= dropped.work
	f.rejected = append(f.rejected, dropped)
}

func (p *Pool) teamDemand(f *fitPass, team string) *teamDemand {
	t := f.teams[team]
	if t == nil {
		t = &teamDemand{weight: p.weight(team), limit: p.team(team).allowed.CPU}
		f.teams[team] = t
	}
	return t
}

// workOf returns the work of the jobs whose feasibility is at least as good as the given one.
func workOf(demands []jobDemand, least feasibility) job.CoreTime {
	var sum job.CoreTime
	for _, c := range demands {
		if c.entry.feasibility <= least {
			sum += c.work
		}
	}
	return sum
}

// teamDemand holds the work of one team's jobs that fit so far, and a heap of those that have not begun, newest first.
type teamDemand struct {
	weight   float64
	limit    int // thousandths of a core that the team may use, 0 for no limit
	work     job.CoreTime
	notBegun newestFirst
}

// exceedsLimit reports whether the team's limit is too low to do all its work in the given time.
func (t *teamDemand) exceedsLimit(left time.Duration) bool {
	return t.limit > 0 && t.work > capacityForecast{now: t.limit}.workUntil(left)
}

func (t *teamDemand) add(c jobDemand) {
	t.work += c.work
	if !c.begun {
		heap.Push(&t.notBegun, c)
	}
}

func (t *teamDemand) dropNewest() jobDemand {
	c := heap.Pop(&t.notBegun).(jobDemand)
	t.work -= c.work
	return c
}

// busiest returns the team with the most work per weight among those with a job that has not begun, or nil.
func busiest(teams map[string]*teamDemand) *teamDemand {
	var best *teamDemand
	var name string
	for team, t := range teams {
		if len(t.notBegun) == 0 {
			continue
		}
		a, b := 0.0, 0.0
		if best != nil {
			a, b = float64(t.work)/t.weight, float64(best.work)/best.weight
		}
		if best == nil || a > b || a == b && team < name {
			best, name = t, team
		}
	}
	return best
}

// newestFirst is a heap of demands in which the job that arrived last comes first.
type newestFirst []jobDemand

func (n newestFirst) Len() int           { return len(n) }
func (n newestFirst) Less(i, j int) bool { return n[i].entry.arrived > n[j].entry.arrived }
func (n newestFirst) Swap(i, j int)      { n[i], n[j] = n[j], n[i] }

// Push implements heap.Interface.
func (n *newestFirst) Push(x any) { *n = append(*n, x.(jobDemand)) }

// Pop implements heap.Interface.
func (n *newestFirst) Pop() any {
	old := *n
	last := old[len(old)-1]
	*n = old[:len(old)-1]
	return last
}

// SetWeights replaces the weights by which teams share a full pool.
func (p *Pool) SetWeights(weights map[string]int) { p.weights = weights }

// weight returns a team's weight, or the average weight if none is set for the team.
func (p *Pool) weight(team string) float64 {
	if w := p.weights[team]; w > 0 {
		return float64(w)
	}
	if len(p.weights) == 0 {
		return 1
	}
	sum := 0
	for _, w := range p.weights {
		sum += w
	}
	return max(1, float64(sum)/float64(len(p.weights)))
}
