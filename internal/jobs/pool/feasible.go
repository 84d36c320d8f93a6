package pool

import (
	"container/heap"
	"slices"
	"time"
)

// packing is the part of the room that tasks of uneven size and length can use.
const packing = 0.9

// uneven is the length of the longest of a step's tasks as a multiple of their estimate.
const uneven = 1.4

// planLife is how long a choice of jobs holds; one that comes in meanwhile counts as timely.
const planLife = 40 * time.Millisecond

// choose decides which jobs the room is spent on, for a surge that brings more than the pool holds. Serving
// by the latest start alone makes nearly all of them late there: each is begun when its time is just over.
// So the jobs are gone through in the order of their due times, and where the work up to one of them
// does not fit, the newest jobs are passed over of the team that has the most work for its weight; what has
// begun goes on. The same is done with the rest for the time until which a late end is of use.
func (p *Pool) choose(at Moment) {
	if at.Steady-p.planned < planLife {
		return
	}
	p.planned = at.Steady
	claims := p.claims(at)
	room := p.room(at)
	var before time.Duration
	for len(claims) > 0 {
		n := 0
		for n < len(claims) && claims[n].rank == claims[0].rank {
			n++
		}
		rest := p.fit(at, claims[:n], &fitting{room: room, as: timely, sum: before})
		p.fit(at, rest, &fitting{room: room, as: tardy, sum: before + workOf(claims[:n], timely)})
		for _, c := range rest {
			if at.Steady+c.chain <= c.due {
				c.entry.chance = tight
			}
		}
		before += workOf(claims[:n], tardy)
		claims = claims[n:]
	}
}

// late reports whether a job that runs once can no longer be in time.
func (e *entry) late() bool { return e.job.Spec.Once() && e.chance > tight }

// claim is a job's claim on the room of the pool.
type claim struct {
	entry *entry
	rank  int
	due   time.Duration // steady time
	chain time.Duration // time that it takes from now on with room for all of it
	work  time.Duration // of a thousandth of a core
	begun bool
}

// end returns when the job must have ended for a chance.
func (c *claim) end(as chance) time.Duration {
	if as == tardy {
		return c.due + (lateFactor-1)*c.entry.job.Spec.Objective()
	}
	return c.due
}

// claims returns the jobs that run once and end, by priority and due time.
func (p *Pool) claims(at Moment) []claim {
	var claims []claim
	for _, e := range p.active {
		if e.job.State.Ended() || !e.job.Spec.Once() {
			continue
		}
		c := claim{entry: e, rank: e.job.Spec.Policy.Priority, due: e.due, begun: e.job.Begun}
		c.chain, c.work = p.outlook(at, e)
		e.chance = hopeless
		claims = append(claims, c)
	}
	slices.SortStableFunc(claims, func(a, b claim) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(a.due - b.due)
	})
	return claims
}

// outlook returns how long a job takes from now on with room for all of it, and its work that is left.
func (p *Pool) outlook(at Moment, e *entry) (chain, work time.Duration) {
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

// roomAhead is the room of a pool by when it is there, in thousandths of a core.
type roomAhead struct{ now, soon int }

// room returns what the pool has for tasks that end, and what is on its way to it. What other pools may yet
// give up is left out: in a surge of several pools each would count it.
func (p *Pool) room(at Moment) roomAhead {
	var r roomAhead
	for _, h := range p.workers {
		if !p.counts(at, h) {
			continue
		}
		r.now += h.info.Capacity.CPU
		for _, run := range h.runs {
			if run.step.Lasting {
				r.now -= run.need.CPU
			}
		}
	}
	if at.Steady <= p.reachTill {
		r.soon = p.soon
	}
	return r
}

// until returns the work that the room can do in a time.
func (r roomAhead) until(left time.Duration) time.Duration {
	work := time.Duration(r.now) * max(0, left)
	work += time.Duration(r.soon) * max(0, left-forecastLead)
	return time.Duration(packing * float64(work))
}

// fitting goes through claims in the order of their due times and keeps those that the room holds.
type fitting struct {
	room   roomAhead
	as     chance        // of the jobs that fit
	sum    time.Duration // work of these, and of what goes before them
	teams  map[string]*teamClaims
	passed []claim
}

// fit gives a chance to the jobs that fit and returns the others.
func (p *Pool) fit(at Moment, claims []claim, f *fitting) []claim {
	f.teams = map[string]*teamClaims{}
	for _, c := range claims {
		end := c.end(f.as) - at.Steady
		start := end - c.chain
		if !c.begun {
			start -= time.Duration((uneven - 1) * float64(c.chain))
		}
		if start < 0 {
			f.passed = append(f.passed, c)
			continue
		}
		f.take(p.teamClaims(f, c.entry.job.Spec.Team), c, start, end)
	}
	return f.passed
}

// take adds a job that must start and end within given times, and passes over others until all fit.
func (f *fitting) take(t *teamClaims, c claim, start, end time.Duration) {
	t.add(c)
	c.entry.chance = f.as
	f.sum += c.work
	for t.beyond(end) && len(t.waiting) > 0 {
		f.pass(t)
	}
	for f.sum-c.work > f.room.until(start) || f.sum > f.room.until(end) {
		most := busiest(f.teams)
		if most == nil {
			return // all have begun
		}
		f.pass(most)
	}
}

// pass passes over the newest job of a team.
func (f *fitting) pass(t *teamClaims) {
	dropped := t.drop()
	dropped.entry.chance = hopeless
	f.sum -= dropped.work
	f.passed = append(f.passed, dropped)
}

func (p *Pool) teamClaims(f *fitting, team string) *teamClaims {
	t := f.teams[team]
	if t == nil {
		t = &teamClaims{weight: p.weight(team), limit: p.team(team).cap.CPU}
		f.teams[team] = t
	}
	return t
}

// workOf returns the work of the jobs whose chance is at least as good as one.
func workOf(claims []claim, least chance) time.Duration {
	var sum time.Duration
	for _, c := range claims {
		if c.entry.chance <= least {
			sum += c.work
		}
	}
	return sum
}

// teamClaims are the claims of one team that fit so far; the heap holds those that have not begun, newest first.
type teamClaims struct {
	weight  float64
	limit   int // thousandths of a core that the team may use, 0 for no limit
	work    time.Duration
	waiting newest
}

// beyond reports whether the team's limit holds back some of its work for longer than a time.
func (t *teamClaims) beyond(left time.Duration) bool {
	return t.limit > 0 && t.work > roomAhead{now: t.limit}.until(left)
}

func (t *teamClaims) add(c claim) {
	t.work += c.work
	if !c.begun {
		heap.Push(&t.waiting, c)
	}
}

func (t *teamClaims) drop() claim {
	c := heap.Pop(&t.waiting).(claim)
	t.work -= c.work
	return c
}

// busiest returns the team with the most work for its weight among those of which a job can wait.
func busiest(teams map[string]*teamClaims) *teamClaims {
	var best *teamClaims
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

// newest is a heap of claims whose jobs came last.
type newest []claim

func (n newest) Len() int           { return len(n) }
func (n newest) Less(i, j int) bool { return n[i].entry.arrived > n[j].entry.arrived }
func (n newest) Swap(i, j int)      { n[i], n[j] = n[j], n[i] }

// Push adds a claim.
func (n *newest) Push(x any) { *n = append(*n, x.(claim)) }

// Pop takes the last claim.
func (n *newest) Pop() any {
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
