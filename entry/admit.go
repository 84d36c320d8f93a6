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
	maxWaiting                = 20_000                // waiting requests per pool on this instance
	minAllocateInterval       = 10 * time.Millisecond // between allocations
	runTimeSmoothing          = 8                     // a new run time has a weight of 1/runTimeSmoothing
	waitSafetyFactor          = 2                     // early refusal needs a wait of this many times the time left
	minWaitingForEarlyRefusal = 16                    // waiting requests of the team before early refusal is considered
)

// ticket tracks one request from admission to its end.
type ticket struct {
	item      queue.Item
	pool      id.Pool
	key       string // hash of the caller's key; empty for an open queue without one
	request   string // request ID
	needs     Needs
	placement chan placement
	worker    *worker // where the request runs; nil while it waits
	started   time.Time
}

// placement tells a waiting request which worker to run on, or why it will not run.
type placement struct {
	worker  id.Instance
	address netip.AddrPort
	at      time.Time // when the worker was chosen
	err     error
}

// placementValidity is how long after a placement the request may be sent. An instance that was paused for longer must
// check again whether it may start work.
const placementValidity = time.Second

// admit queues a request for a slot, or refuses it at once.
func (c *Control) admit(now time.Time, t *ticket) {
	if err := c.checkAdmission(now, t); err != nil {
		t.placement <- placement{err: err}
		return
	}
	c.nextID++
	t.item.ID = c.nextID
	c.tickets[t.item.ID] = t
	c.enqueue(now, t)
}

// checkAdmission returns a RefusedError if a request cannot be queued, or errHandedOver if a successor will run it.
func (c *Control) checkAdmission(now time.Time, t *ticket) error {
	if c.stage == stopping && c.isWaitingTask(t.request) {
		return errHandedOver
	}
	if c.stage == stopping {
		return RefusedError{Status: statusUnavailable, Reason: "this instance is stopping", RetryAfter: time.Second}
	}
	if err := c.checkStart(now); err != nil {
		return RefusedError{Status: statusUnavailable, Reason: err.Error(), RetryAfter: time.Second}
	}
	p := c.pool(t.pool)
	if p.waitQueue.Len() >= maxWaiting {
		return RefusedError{Status: statusTooMany, Reason: "too many requests wait for pool " + string(t.pool), RetryAfter: time.Second}
	}
	if err := c.checkNeeds(t.pool, t.needs); err != nil {
		return err
	}
	if wait, late := c.estimateWait(now, p, t.item); late {
		return RefusedError{Status: statusTooMany, Reason: "the wait would pass the deadline", RetryAfter: wait}
	}
	return nil
}

// estimateWait estimates a request's wait from the run times and slots of its team on this instance, and reports
// whether the wait is so far past the deadline that the request should be refused.
func (c *Control) estimateWait(now time.Time, p *pool, item queue.Item) (time.Duration, bool) {
	waiting := p.waitQueue.Waiting(item.Team)
	runTime := p.runTimes[item.Team]
	if waiting < minWaitingForEarlyRefusal || runTime == 0 || item.Deadline.IsZero() {
		return 0, false
	}
	slots := max(1, p.allocated[item.Team]+p.slack)
	wait := runTime * time.Duration(waiting) / time.Duration(slots)
	return wait, wait > waitSafetyFactor*item.Deadline.Sub(now)
}

// enqueue adds a request to the wait queue of its pool and dispatches the queue.
func (c *Control) enqueue(now time.Time, t *ticket) {
	p := c.pool(t.pool)
	p.waitQueue.Push(t.item)
	c.demandChanged = true
	if now.Sub(c.lastAllocation) > minAllocateInterval {
		c.allocate(now)
	}
	c.dispatch(now, p)
}

// dispatchAll dispatches the wait queues of all pools.
func (c *Control) dispatchAll(now time.Time) {
	for _, p := range c.pools {
		c.dispatch(now, p)
	}
}

// dispatch starts waiting requests of a pool while workers have capacity. If no worker fits the next request of a
// team, the other teams go first.
func (c *Control) dispatch(now time.Time, p *pool) {
	if p.waitQueue.Len() == 0 || c.checkStart(now) != nil {
		return
	}
	blocked := id.Set[id.Team]{}
	for p.waitQueue.Len() > 0 {
		if _, ok := c.choose(now, p, Needs{}); !ok {
			return
		}
		item, ok := p.waitQueue.Next(now, c.teamUsages(p, blocked))
		if !ok {
			return
		}
		t := c.tickets[item.ID]
		w, ok := c.choose(now, p, t.needs)
		if !ok {
			p.waitQueue.Push(item)
			blocked.Add(item.Team)
			continue
		}
		c.start(now, p, w, t)
	}
}

// teamUsages returns the teams that may start one more request in a pool. It records in missingSlots the teams that
// have a pool allocation but no idle slot of their limit on this instance.
func (c *Control) teamUsages(p *pool, blocked id.Set[id.Team]) []queue.TeamUsage {
	var usages []queue.TeamUsage
	freeSlack := p.slack
	for team, n := range p.running {
		freeSlack -= max(0, n-p.allocated[team])
	}
	for _, team := range p.waitQueue.Teams() {
		running := p.running[team]
		if blocked.Has(team) || running >= p.allocated[team] && freeSlack <= 0 {
			continue
		}
		if c.holder.Idle(team) == 0 && !c.config.DisabledChecks.IgnoreLimits {
			if c.missingSlots[team] == 0 {
				c.links.sendSoon()
			}
			c.missingSlots[team] = max(1, min(p.waitQueue.Waiting(team), p.allocated[team]-running+max(0, freeSlack)))
			continue
		}
		delete(c.missingSlots, team)
		usages = append(usages, queue.TeamUsage{Team: team, Running: running, Slots: p.allocated[team]})
	}
	return usages
}

// start starts one request on a worker, unless its key was withdrawn while the request waited.
func (c *Control) start(now time.Time, p *pool, w *worker, t *ticket) {
	if t.key != "" && !c.view.Load().isKeyInForce(t.key) {
		c.refuse(t, RefusedError{Status: statusUnauthorized, Reason: "the key was withdrawn"})
		return
	}
	if err := c.holder.Acquire(t.item.Team); err != nil && !c.config.DisabledChecks.IgnoreLimits {
		p.waitQueue.Push(t.item)
		return
	}
	w.occupySlot(now)
	p.running[t.item.Team]++
	t.worker = w
	t.started = now
	t.placement <- placement{worker: w.name, address: w.address, at: now}
}

// release frees the worker slot and the team slot of a request.
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
	c.demandChanged = true
}

// finish ends a request.
func (c *Control) finish(now time.Time, t *ticket, o outcome) {
	if w := t.worker; w != nil {
		w.recordOutcome(now, o)
		if o.kind == answered {
			c.recordRunTime(t, now.Sub(t.started))
		}
	} else {
		c.pool(t.pool).waitQueue.Remove(t.item)
	}
	c.release(t)
	delete(c.tickets, t.item.ID)
	c.yieldSlot(now, t.item.Team)
	c.dispatch(now, c.pool(t.pool))
}

// requeue puts a request back in the wait queue after a worker did not accept it.
func (c *Control) requeue(now time.Time, t *ticket, o outcome) {
	if t.worker != nil {
		t.worker.recordOutcome(now, o)
	}
	c.release(t)
	if err := c.checkStart(now); err != nil {
		c.refuse(t, RefusedError{Status: statusUnavailable, Reason: err.Error(), RetryAfter: time.Second})
		return
	}
	if !t.item.Deadline.IsZero() && !now.Before(t.item.Deadline) {
		c.refuse(t, RefusedError{Status: statusTimeout, Reason: "no slot before the deadline"})
		return
	}
	c.enqueue(now, t)
}

// refuse ends a waiting request with a RefusedError.
func (c *Control) refuse(t *ticket, refusal RefusedError) {
	delete(c.tickets, t.item.ID)
	t.placement <- placement{err: refusal}
}

// recordRunTime updates the smoothed run time of the team in its pool.
func (c *Control) recordRunTime(t *ticket, runTime time.Duration) {
	p := c.pool(t.pool)
	previous := p.runTimes[t.item.Team]
	if previous == 0 {
		p.runTimes[t.item.Team] = runTime
		return
	}
	p.runTimes[t.item.Team] = previous + (runTime-previous)/runTimeSmoothing
}

// recordOutcome updates the state of a worker with the outcome of a request.
func (w *worker) recordOutcome(now time.Time, o outcome) {
	switch o.kind {
	case answered:
		w.downSince = time.Time{}
		w.recordFreeSlots(o.free)
		if o.failed {
			w.recordFailure(now)
			return
		}
		w.failures = 0
	case refused:
		w.downSince = time.Time{}
		w.recordFull(now)
	case unreachable, unknown:
		if w.downSince.IsZero() {
			w.downSince = now
		}
		w.backOff(now)
	}
}

// recordFailure counts an answer that reports a failure. After failureLimit failures in a row the worker is avoided.
func (w *worker) recordFailure(now time.Time) {
	if w.failures+1 >= failureLimit {
		w.backOff(now)
		return
	}
	w.failures++
}

// expireWaiting refuses requests whose deadline passed while they waited.
func (c *Control) expireWaiting(now time.Time) {
	for _, p := range c.pools {
		for _, item := range p.waitQueue.RemoveExpired(now) {
			c.refuse(c.tickets[item.ID], RefusedError{Status: statusTimeout, Reason: "no slot before the deadline"})
		}
	}
}

// allocate computes the slots of all pools that this instance may use, from the demands that all members report.
func (c *Control) allocate(now time.Time) {
	if !c.demandChanged {
		return
	}
	c.demandChanged = false
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
	members, demands := c.memberDemands(now)
	allocation := queue.Allocate(c.self, members, capacities, entitlements, demands)
	for _, p := range c.pools {
		clear(p.allocated)
		p.slack = allocation.Slack[p.name]
	}
	for poolTeam, slots := range allocation.Slots {
		c.pool(poolTeam.Pool).allocated[poolTeam.Team] = slots
	}
}

// memberDemands returns the members in contact and their demands. For this instance it returns the demands of the last
// heartbeat sent, so that all members allocate from the same numbers.
func (c *Control) memberDemands(now time.Time) ([]id.Member, []queue.Demand) {
	members := []id.Member{c.self}
	demands := append([]queue.Demand(nil), c.sentDemands...)
	for name, r := range c.remotes {
		if now.Sub(r.lastHeard) < c.contact() && !r.heartbeat.Stopping {
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
				Running: p.running[team.Name], Waiting: p.waitQueue.Waiting(team.Name),
			}
			if demand.Running+demand.Waiting == 0 {
				continue
			}
			if oldest, ok := p.waitQueue.Oldest(team.Name); ok {
				demand.Oldest = now.Sub(oldest)
			}
			demands = append(demands, demand)
		}
	}
	return demands
}

// countWaiting returns how many requests of a team wait on this instance.
func (c *Control) countWaiting(team id.Team) int {
	n := 0
	for _, p := range c.pools {
		n += p.waitQueue.Waiting(team)
	}
	return n
}

// busy reports whether requests wait or run on this instance.
func (c *Control) busy() bool { return len(c.tickets) > 0 }
