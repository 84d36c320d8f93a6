package entry

import (
	"net/netip"
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/queue"
)

// Bounds on waiting work.
const (
	maxWaiting          = 20_000                // requests that wait here for one pool
	minAllocateInterval = 10 * time.Millisecond // between allocations
	tookSmoothing       = 8                     // a new run time counts for one part in so many
	waitSafety          = 2                     // a request is refused early only when its wait is expected to pass its deadline so many times
	leastLateCheck      = 16                    // requests waiting before early refusal is considered
)

// ticket is one request between its admission and its end.
type ticket struct {
	item    queue.Item
	pool    id.Pool
	key     string // hash of the key it came with, empty for an open queue without one
	request string // id of the request
	needs   Needs
	verdict chan verdict
	worker  *worker // where it runs
	started time.Time
}

// verdict tells a waiting request where to run, or why it does not.
type verdict struct {
	worker  id.Instance
	address netip.AddrPort
	at      time.Time // when it was given
	err     error
}

// verdictValid is how long after its verdict a request may be sent: an instance that was paused in
// between must look again at what is allowed.
const verdictValid = time.Second

// admit lets a request wait for a slot, or refuses it at once.
func (c *Control) admit(now time.Time, t *ticket) {
	if err := c.admissible(now, t); err != nil {
		t.verdict <- verdict{err: err}
		return
	}
	c.nextID++
	t.item.ID = c.nextID
	c.tickets[t.item.ID] = t
	c.wait(now, t)
}

func (c *Control) admissible(now time.Time, t *ticket) error {
	if c.stage == stopping {
		return RefusedError{Status: statusUnavailable, Reason: "this instance is stopping", RetryAfter: time.Second}
	}
	if err := c.mayStart(now); err != nil {
		return RefusedError{Status: statusUnavailable, Reason: err.Error(), RetryAfter: time.Second}
	}
	p := c.pool(t.pool)
	if p.line.Len() >= maxWaiting {
		return RefusedError{Status: statusTooMany, Reason: "too many requests wait for pool " + string(t.pool), RetryAfter: time.Second}
	}
	if err := c.checkNeeds(t.pool, t.needs); err != nil {
		return err
	}
	if wait, late := c.tooLate(now, p, t.item); late {
		return RefusedError{Status: statusTooMany, Reason: "the wait would pass the deadline", RetryAfter: wait}
	}
	return nil
}

// tooLate estimates how long a request would wait from the run times and slots of its team here.
func (c *Control) tooLate(now time.Time, p *pool, item queue.Item) (time.Duration, bool) {
	waiting := p.line.Waiting(item.Team)
	took := p.took[item.Team]
	if waiting < leastLateCheck || took == 0 || item.Deadline.IsZero() {
		return 0, false
	}
	slots := max(1, p.allocated[item.Team]+p.slack)
	wait := took * time.Duration(waiting) / time.Duration(slots)
	return wait, wait > waitSafety*item.Deadline.Sub(now)
}

// wait puts a request in line and serves the line.
func (c *Control) wait(now time.Time, t *ticket) {
	p := c.pool(t.pool)
	p.line.Push(t.item)
	c.dirty = true
	if now.Sub(c.lastAllocation) > minAllocateInterval {
		c.allocate(now)
	}
	c.dispatch(now, p)
}

// dispatchAll serves every line.
func (c *Control) dispatchAll(now time.Time) {
	for _, p := range c.pools {
		c.dispatch(now, p)
	}
}

// dispatch starts waiting requests of a pool while there is capacity for them. A team whose next request
// finds no worker that it fits on lets the others go first.
func (c *Control) dispatch(now time.Time, p *pool) {
	if p.line.Len() == 0 || c.mayStart(now) != nil {
		return
	}
	blocked := id.Set[id.Team]{}
	for p.line.Len() > 0 {
		if _, ok := c.choose(now, p, Needs{}); !ok {
			return
		}
		item, ok := p.line.Next(now, c.teamUsages(p, blocked))
		if !ok {
			return
		}
		t := c.tickets[item.ID]
		w, ok := c.choose(now, p, t.needs)
		if !ok {
			p.line.Push(item)
			blocked.Add(item.Team)
			continue
		}
		c.start(now, p, w, t)
	}
}

// teamUsages returns the teams that may start one more request in a pool; it notes the teams that have
// capacity but no slot of their limit here.
func (c *Control) teamUsages(p *pool, blocked id.Set[id.Team]) []queue.TeamUsage {
	var usages []queue.TeamUsage
	free := p.slack
	for team, n := range p.running {
		free -= max(0, n-p.allocated[team])
	}
	for _, team := range p.line.Teams() {
		running := p.running[team]
		if blocked.Has(team) || running >= p.allocated[team] && free <= 0 {
			continue
		}
		if c.holder.Idle(team) == 0 && !c.config.Planted.IgnoreLimits {
			if c.wanting[team] == 0 {
				c.links.urge()
			}
			c.wanting[team] = max(1, min(p.line.Waiting(team), p.allocated[team]-running+max(0, free)))
			continue
		}
		delete(c.wanting, team)
		usages = append(usages, queue.TeamUsage{Team: team, Running: running, Slots: p.allocated[team]})
	}
	return usages
}

// start sends one request to a worker, unless its key has been withdrawn while it waited.
func (c *Control) start(now time.Time, p *pool, w *worker, t *ticket) {
	if t.key != "" && !c.view.Load().granted(t.key) {
		c.refuse(t, RefusedError{Status: statusUnauthorized, Reason: "the key was withdrawn"})
		return
	}
	if err := c.holder.Acquire(t.item.Team); err != nil && !c.config.Planted.IgnoreLimits {
		p.line.Push(t.item)
		return
	}
	w.use(now)
	p.running[t.item.Team]++
	t.worker = w
	t.started = now
	t.verdict <- verdict{worker: w.name, address: w.address, at: now}
}

// release ends a request's use of its worker and slot.
func (c *Control) release(t *ticket) {
	if t.worker == nil {
		return
	}
	t.worker.running--
	p := c.pool(t.pool)
	p.running[t.item.Team]--
	if p.running[t.item.Team] == 0 {
		delete(p.running, t.item.Team)
	}
	c.holder.Release(t.item.Team)
	t.worker = nil
	c.dirty = true
}

// finish ends a request.
func (c *Control) finish(now time.Time, t *ticket, o outcome) {
	if w := t.worker; w != nil {
		w.learn(now, o)
		if o.kind == answered {
			c.learnTime(t, now.Sub(t.started))
		}
	} else {
		c.pool(t.pool).line.Remove(t.item)
	}
	c.release(t)
	delete(c.tickets, t.item.ID)
	c.yield(now, t.item.Team)
	c.dispatch(now, c.pool(t.pool))
}

// again puts a request back in line after a worker did not take it.
func (c *Control) again(now time.Time, t *ticket, o outcome) {
	if t.worker != nil {
		t.worker.learn(now, o)
	}
	c.release(t)
	if err := c.mayStart(now); err != nil {
		c.refuse(t, RefusedError{Status: statusUnavailable, Reason: err.Error(), RetryAfter: time.Second})
		return
	}
	if !t.item.Deadline.IsZero() && !now.Before(t.item.Deadline) {
		c.refuse(t, RefusedError{Status: statusTimeout, Reason: "no slot before the deadline"})
		return
	}
	c.wait(now, t)
}

// refuse ends a request that waits.
func (c *Control) refuse(t *ticket, why RefusedError) {
	delete(c.tickets, t.item.ID)
	t.verdict <- verdict{err: why}
}

func (c *Control) learnTime(t *ticket, took time.Duration) {
	p := c.pool(t.pool)
	old := p.took[t.item.Team]
	if old == 0 {
		p.took[t.item.Team] = took
		return
	}
	p.took[t.item.Team] = old + (took-old)/tookSmoothing
}

// learn takes in how a request went on a worker.
func (w *worker) learn(now time.Time, o outcome) {
	switch o.kind {
	case answered:
		w.down = time.Time{}
		w.tells(o.free)
		if o.failed {
			w.fail(now)
			return
		}
		w.failures = 0
	case refused:
		w.down = time.Time{}
		w.lacks(now)
	case unreachable, unknown:
		if w.down.IsZero() {
			w.down = now
		}
		w.trouble(now)
	}
}

// fail counts an answer that says the worker failed; after some in a row the worker is avoided.
func (w *worker) fail(now time.Time) {
	if w.failures+1 >= failureLimit {
		w.trouble(now)
		return
	}
	w.failures++
}

// expireWaiting refuses requests that have waited past their deadline.
func (c *Control) expireWaiting(now time.Time) {
	for _, p := range c.pools {
		for _, item := range p.line.Expired(now) {
			c.refuse(c.tickets[item.ID], RefusedError{Status: statusTimeout, Reason: "no slot before the deadline"})
		}
	}
}

// allocate works out which slots of all pools this instance may use, from what all members report.
func (c *Control) allocate(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.lastAllocation = now
	set := c.tables.Rules()
	entitlements := make([]queue.Entitlement, 0, len(set.Teams))
	for _, team := range set.Teams {
		entitlements = append(entitlements, queue.Entitlement{Team: team.Name, Share: team.Share, Limit: team.Limit})
	}
	capacities := make([]queue.Capacity, 0, len(set.Pools))
	for _, rule := range set.Pools {
		capacities = append(capacities, queue.Capacity{Pool: rule.Name, Slots: c.pool(rule.Name).reachable(now)})
	}
	members, demands := c.reports(now)
	allocation := queue.Allocate(c.self, members, capacities, entitlements, demands)
	for _, p := range c.pools {
		clear(p.allocated)
		p.slack = allocation.Slack[p.name]
	}
	for poolTeam, slots := range allocation.Slots {
		c.pool(poolTeam.Pool).allocated[poolTeam.Team] = slots
	}
}

// reports returns the members in contact and the demands of all of them. This one's demands are those
// that it told the others, so that all allocate alike.
func (c *Control) reports(now time.Time) ([]id.Member, []queue.Demand) {
	members := []id.Member{c.self}
	demands := append([]queue.Demand(nil), c.sentDemands...)
	for name, r := range c.remotes {
		if now.Sub(r.heard) < c.contact() && !r.heartbeat.Stopping {
			members = append(members, name)
			demands = append(demands, r.demands...)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i] < members[j] })
	return members, demands
}

// demands returns this instance's own demand.
func (c *Control) demands(now time.Time) []queue.Demand {
	var demands []queue.Demand
	for _, rule := range c.tables.Rules().Pools {
		p := c.pool(rule.Name)
		for _, team := range c.tables.Rules().Teams {
			demand := queue.Demand{
				Member: c.self, Pool: p.name, Team: team.Name,
				Running: p.running[team.Name], Waiting: p.line.Waiting(team.Name),
			}
			if demand.Running+demand.Waiting == 0 {
				continue
			}
			if oldest, ok := p.line.Oldest(team.Name); ok {
				demand.Oldest = now.Sub(oldest)
			}
			demands = append(demands, demand)
		}
	}
	return demands
}

// waiting returns how many requests of a team wait here.
func (c *Control) waiting(team id.Team) int {
	n := 0
	for _, p := range c.pools {
		n += p.line.Waiting(team)
	}
	return n
}

// busy reports whether requests wait or run here.
func (c *Control) busy() bool { return len(c.tickets) > 0 }
