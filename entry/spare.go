package entry

import (
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/rules"
)

// returnBelow is the part of the remaining slots that demand must stay under before a pool gives an
// instance back, in percent.
const returnBelow = 80

// borrow moves instances from the spare pool to pools whose demand has been above their slots for a
// while, and back when it has fallen.
func (c *Control) borrow(now time.Time) {
	spare, ok := c.tables.Rules().SparePool()
	if !ok {
		return
	}
	demand := c.demand(now)
	lent := 0
	for _, rule := range c.byShortage(demand) {
		p := c.pool(rule.Name)
		if demand[rule.Name] <= p.slots {
			p.short = time.Time{}
			c.giveBack(now, p, rule, spare, demand[rule.Name])
			continue
		}
		if p.short.IsZero() {
			p.short = now
		}
		if now.Sub(p.short) < c.timing.SpareAfter {
			continue
		}
		name, ok := c.pick(spare.Name, lent)
		if ok {
			lent++
		} else {
			name, ok = c.pickSurplus(demand)
		}
		if ok {
			p.short = now
			c.propose(now, "borrow "+string(rule.Name), fleet.Drain{Instance: name, Reason: fleet.ForMove, Pool: rule.Name})
		}
	}
}

// demand returns the slots that all members' work in each pool uses or waits for.
func (c *Control) demand(now time.Time) map[id.Pool]int {
	_, demands := c.reports(now)
	demand := map[id.Pool]int{}
	for _, d := range demands {
		demand[d.Pool] += d.Running + d.Waiting
	}
	return demand
}

// byShortage returns the pools other than the spare one, the one that lacks most slots first.
func (c *Control) byShortage(demand map[id.Pool]int) []rules.Pool {
	var pools []rules.Pool
	for _, rule := range c.tables.Rules().Pools {
		if !rule.Spare {
			pools = append(pools, rule)
		}
	}
	short := func(p rules.Pool) int { return demand[p.Name] - c.pool(p.Name).slots }
	sort.SliceStable(pools, func(i, j int) bool { return short(pools[i]) > short(pools[j]) })
	return pools
}

// pick returns an instance of a pool that may be moved, skipping as many as are already promised.
func (c *Control) pick(from id.Pool, skip int) (id.Instance, bool) {
	if c.tables.CheckStop(from) != nil {
		return "", false
	}
	var names []id.Instance
	for name, instance := range c.tables.Instances {
		if instance.Pool == from && instance.State == fleet.Up && !c.out(instance.DataCentre) && !c.pinned(name) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	if skip >= len(names) {
		return "", false
	}
	return names[skip], true
}

// pickSurplus returns an instance of a pool that is above its size and would do without it: one move
// brings it where it is needed, instead of two by way of the spare pool.
func (c *Control) pickSurplus(demand map[id.Pool]int) (id.Instance, bool) {
	for _, rule := range c.tables.Rules().Pools {
		if rule.Spare || c.tables.CountServing(rule.Name) <= rule.Size {
			continue
		}
		name, ok := c.pick(rule.Name, 0)
		if ok && c.pool(rule.Name).wouldDoWithout(c.tables.Instances[name].Slots, demand[rule.Name]) {
			return name, true
		}
	}
	return "", false
}

// wouldDoWithout reports whether a pool's demand would leave some of its slots free if it had fewer.
func (p *pool) wouldDoWithout(slots, demand int) bool {
	return demand*100 <= (p.slots-slots)*returnBelow
}

func (c *Control) pinned(name id.Instance) bool {
	for _, move := range c.tables.Rules().Moves {
		if move.Instance == name {
			return true
		}
	}
	return false
}

// giveBack moves one instance above a pool's size to the spare pool when its slots have not been
// needed and it has stayed for a while.
func (c *Control) giveBack(now time.Time, p *pool, rule, spare rules.Pool, demand int) {
	if c.tables.CountServing(rule.Name) <= rule.Size {
		return
	}
	var best id.Instance
	for name, instance := range c.tables.Instances {
		if instance.Pool != rule.Name || instance.State != fleet.Up || c.pinned(name) {
			continue
		}
		if now.Sub(instance.Moved) < c.timing.SpareHold || !p.wouldDoWithout(instance.Slots, demand) {
			continue
		}
		if best == "" || c.later(name, best) {
			best = name
		}
	}
	if best != "" {
		c.propose(now, "return "+string(rule.Name), fleet.Drain{Instance: best, Reason: fleet.ForMove, Pool: spare.Name})
	}
}

// later reports whether an instance came to its pool after another.
func (c *Control) later(a, b id.Instance) bool {
	x := c.tables.Instances[a].Moved
	y := c.tables.Instances[b].Moved
	if !x.Equal(y) {
		return x.After(y)
	}
	return a < b
}
