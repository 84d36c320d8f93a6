package pool

import (
	"container/heap"
	"slices"
	"time"
)

// packingEfficiency is the part of the room that tasks of uneven size and length can use.
const packingEfficiency = 0.9

// unevenness is the length of the longest of a step's tasks as a multiple of their estimate.
const unevenness = 1.4

// planTTL is how long a choice of jobs holds; one that comes in meanwhile counts as timely.
const planTTL = 40 * time.Millisecond

// planCapacity decides which jobs the room is spent on, for a surge that brings more than the pool holds. Serving
// by the latest start alone makes nearly all of them late there: each is begun when its time is just over.
// So the jobs are gone through in the order of their due times, and where the work up to one of them
// does not fit, the newest jobs are passed over of the team that has the most work for its weight; what has
// begun goes on. The same is done with the rest for the time until which a late end is of use.
func (p *Pool) planCapacity(at Moment) {
	if at.Steady-p.lastPlanned < planTTL {
		return
	}
	p.lastPlanned = at.Steady
	claims := p.jobDemands(at)
	room := p.capacity(at)
	var before time.Duration
	for len(claims) > 0 {
		n := 0
		for n < len(claims) && claims[n].rank == claims[0].rank {
			n++
		}
		rest := p.fit(at, claims[:n], &fitPass{capacity: room, as: onTime, sum: before})
		p.fit(at, rest, &fitPass{capacity: room, as: late, sum: before + workOf(claims[:n], onTime)})
		for _, c := range rest {
			if at.Steady+c.chain <= c.due {
				c.entry.feasibility = atRisk
			}
		}
		before += workOf(claims[:n], late)
		claims = claims[n:]
	}
}

// isLate reports whether a job that runs once can no longer be in time.
func (e *entry) isLate() bool { return e.job.Spec.Once() && e.feasibility > atRisk }

// jobDemand is a job's claim on the room of the pool.
type jobDemand struct {
	entry *entry
	rank  int
	due   time.Duration // steady time
	chain time.Duration // time that it takes from now on with room for all of it
	work  time.Duration // of a thousandth of a core
	begun bool
}

// deadline returns when the job must have ended for a chance.
func (c *jobDemand) deadline(as feasibility) time.Duration {
	if as == late {
		return c.due + (lateFactor-1)*c.entry.job.Spec.Objective()
	}
	return c.due
}

// jobDemands returns the jobs that run once and end, by priority and due time.
func (p *Pool) jobDemands(at Moment) []jobDemand {
	var claims []jobDemand
	for _, e := range p.active {
		if e.job.State.Ended() || !e.job.Spec.Once() {
			continue
		}
		c := jobDemand{entry: e, rank: e.job.Spec.Policy.Priority, due: e.due, begun: e.job.Begun}
		c.chain, c.work = p.remainingWork(at, e)
		e.feasibility = infeasible
		claims = append(claims, c)
	}
	slices.SortStableFunc(claims, func(a, b jobDemand) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(a.due - b.due)
	})
	return claims
}

// remainingWork returns how long a job takes from now on with room for all of it, and its work that is left.
func (p *Pool) remainingWork(at Moment, e *entry) (chain, work time.Duration) {
	o := e.job.Occurrences[0]
	lengths := make([]time.Duration, len(o.Steps))
	for s := range o.Steps {
		step := &e.job.Spec.Steps[s]
		if o.Left(s) == 0 {
			continue
		}
		for i := range o.Steps[s] {
			t := &o.Steps[s][i]
			if t.Done {
				continue
			}
			left := step.Estimate
			if r := p.runOf(t); r != nil && r.began > 0 {
				left = max(left/8, left-(at.Steady-r.began))
			}
			lengths[s] = max(lengths[s], left)
			work += time.Duration(step.CPU) * left
		}
	}
	return e.job.Longest(o, func(step int) time.Duration { return lengths[step] }), work
}

// capacityForecast is the room of a pool by when it is there, in thousandths of a core.
type capacityForecast struct{ now, soon int }

// capacity returns what the pool has for tasks that end, and what is on its way to it. What other pools may yet
// give up is left out: in a surge of several pools each would count it.
func (p *Pool) capacity(at Moment) capacityForecast {
	var r capacityForecast
	for _, h := range p.workers {
		if !p.countsAsCapacity(at, h) {
			continue
		}
		r.now += h.info.Capacity.CPU
		for _, run := range h.runs {
			if run.step.Lasting {
				r.now -= run.need.CPU
			}
		}
	}
	if at.Steady <= p.obtainableUntil {
		r.soon = p.incoming
	}
	return r
}

// workUntil returns the work that the room can do in a time.
func (r capacityForecast) workUntil(left time.Duration) time.Duration {
	work := time.Duration(r.now) * max(0, left)
	work += time.Duration(r.soon) * max(0, left-forecastLead)
	return time.Duration(packingEfficiency * float64(work))
}

// fitPass goes through claims in the order of their due times and keeps those that the room holds.
type fitPass struct {
	capacity capacityForecast
	as       feasibility   // of the jobs that fit
	sum      time.Duration // work of these, and of what goes before them
	teams    map[string]*teamDemand
	rejected []jobDemand
}

// fit gives a chance to the jobs that fit and returns the others.
func (p *Pool) fit(at Moment, claims []jobDemand, f *fitPass) []jobDemand {
	f.teams = map[string]*teamDemand{}
	for _, c := range claims {
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

// add adds a job that must start and end within given times, and passes over others until all fit.
func (f *fitPass) add(t *teamDemand, c jobDemand, start, end time.Duration) {
	t.add(c)
	c.entry.feasibility = f.as
	f.sum += c.work
	for t.exceedsLimit(end) && len(t.waiting) > 0 {
		f.reject(t)
	}
	for f.sum-c.work > f.capacity.workUntil(start) || f.sum > f.capacity.workUntil(end) {
		most := busiest(f.teams)
		if most == nil {
			return // all have begun
		}
		f.reject(most)
	}
}

// reject passes over the newest job of a team.
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

// workOf returns the work of the jobs whose chance is at least as good as one.
func workOf(claims []jobDemand, least feasibility) time.Duration {
	var sum time.Duration
	for _, c := range claims {
		if c.entry.feasibility <= least {
			sum += c.work
		}
	}
	return sum
}

// teamDemand are the claims of one team that fit so far; the heap holds those that have not begun, newest first.
type teamDemand struct {
	weight  float64
	limit   int // thousandths of a core that the team may use, 0 for no limit
	work    time.Duration
	waiting newestFirst
}

// exceedsLimit reports whether the team's limit holds back some of its work for longer than a time.
func (t *teamDemand) exceedsLimit(left time.Duration) bool {
	return t.limit > 0 && t.work > capacityForecast{now: t.limit}.workUntil(left)
}

func (t *teamDemand) add(c jobDemand) {
	t.work += c.work
	if !c.begun {
		heap.Push(&t.waiting, c)
	}
}

func (t *teamDemand) dropNewest() jobDemand {
	c := heap.Pop(&t.waiting).(jobDemand)
	t.work -= c.work
	return c
}

// busiest returns the team with the most work for its weight among those of which a job can wait.
func busiest(teams map[string]*teamDemand) *teamDemand {
	var best *teamDemand
	var name string
	for team, t := range teams {
		if len(t.waiting) == 0 {
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

// newestFirst is a heap of claims whose jobs came last.
type newestFirst []jobDemand

func (n newestFirst) Len() int           { return len(n) }
func (n newestFirst) Less(i, j int) bool { return n[i].entry.arrived > n[j].entry.arrived }
func (n newestFirst) Swap(i, j int)      { n[i], n[j] = n[j], n[i] }

// Push adds a claim.
func (n *newestFirst) Push(x any) { *n = append(*n, x.(jobDemand)) }

// Pop takes the last claim.
func (n *newestFirst) Pop() any {
	old := *n
	last := old[len(old)-1]
	*n = old[:len(old)-1]
	return last
}

// SetWeights replaces the teams' shares of the pool when it is full.
func (p *Pool) SetWeights(weights map[string]int) { p.weights = weights }

// weight returns a team's share, and that of a usual team where none is set.
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
