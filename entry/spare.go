package entry

import (
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/rules"
)

// returnThresholdPercent is the percentage of its remaining slots that demand may reach for a pool to give an instance
// up.
const returnThresholdPercent = 80

// borrowInstances moves instances to pools whose demand has exceeded their slots for a while, from the spare pool if
// it has one to move. It returns instances to the spare pool when demand has fallen.
func (c *Control) borrowInstances(now time.Time) {
	spare, ok := c.tables.Rules().SparePool()
	if !ok {
		return
	}
	demand := c.demandByPool(now)
	borrowed := 0
	for _, rule := range c.byShortage(demand) {
		p := c.pool(rule.Name)
		if demand[rule.Name] <= p.slots {
			p.shortSince = time.Time{}
			c.returnInstance(now, p, rule, spare, demand[rule.Name])
			continue
		}
		if p.shortSince.IsZero() {
			p.shortSince = now
		}
		if now.Sub(p.shortSince) < c.timing.BorrowDelay {
			continue
		}
		name, ok := c.pickMovable(spare.Name, borrowed)
		if ok {
			borrowed++
		} else {
			name, ok = c.pickSurplus(demand)
		}
		if ok {
			p.shortSince = now
			c.propose(now, "borrow "+string(rule.Name), fleet.Drain{Instance: name, Reason: fleet.ForMove, Pool: rule.Name})
		}
	}
}

// demandByPool returns the slots that requests of all members in contact use or wait for, by pool.
func (c *Control) demandByPool(now time.Time) map[id.Pool]int {
	_, demands := c.memberDemands(now)
	demand := map[id.Pool]int{}
	for _, d := range demands {
		demand[d.Pool] += d.Running + d.Waiting
	}
	return demand
}

// byShortage returns the pools other than the spare pool, sorted by the number of slots they lack, largest first.
func (c *Control) byShortage(demand map[id.Pool]int) []rules.Pool {
	var pools []rules.Pool
	for _, rule := range c.tables.Rules().Pools {
		if !rule.Spare {
			pools = append(pools, rule)
		}
	}
	shortage := func(p rules.Pool) int { return demand[p.Name] - c.pool(p.Name).slots }
	sort.SliceStable(pools, func(i, j int) bool { return shortage(pools[i]) > shortage(pools[j]) })
	return pools
}

// pickMovable returns an instance of a pool that may be moved. It skips the given number of instances, which are
// already picked.
func (c *Control) pickMovable(from id.Pool, skip int) (id.Instance, bool) {
	if c.tables.CheckStop(from) != nil {
		return "", false
	}
	var names []id.Instance
	for name, instance := range c.tables.Instances {
		if instance.Pool == from && instance.State == fleet.Up && !c.isOut(instance.DataCentre) && !c.hasMoveRule(name) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	if skip >= len(names) {
		return "", false
	}
	return names[skip], true
}

// pickSurplus returns an instance of a pool that is above its size and can spare it. This needs one move instead of
// two through the spare pool.
func (c *Control) pickSurplus(demand map[id.Pool]int) (id.Instance, bool) {
	for _, rule := range c.tables.Rules().Pools {
		if rule.Spare || c.tables.CountServing(rule.Name) <= rule.Size {
			continue
		}
		name, ok := c.pickMovable(rule.Name, 0)
		if ok && c.pool(rule.Name).canSpare(c.tables.Instances[name].Slots, demand[rule.Name]) {
			return name, true
		}
	}
	return "", false
}

// canSpare reports whether a pool's demand does not exceed returnThresholdPercent of its slots without the given
// number of slots.
func (p *pool) canSpare(slots, demand int) bool {
	return demand*100 <= (p.slots-slots)*returnThresholdPercent
}

func (c *Control) hasMoveRule(name id.Instance) bool {
	for _, move := range c.tables.Rules().Moves {
		if move.Instance == name {
			return true
		}
	}
	return false
}

// returnInstance proposes to move one instance above a pool's size back to the spare pool, if the pool can spare it
// and it has stayed for MinBorrowTime.
func (c *Control) returnInstance(now time.Time, p *pool, rule, spare rules.Pool, demand int) {
	if c.tables.CountServing(rule.Name) <= rule.Size {
		return
	}
	var best id.Instance
	for name, instance := range c.tables.Instances {
		if instance.Pool != rule.Name || instance.State != fleet.Up || c.hasMoveRule(name) {
			continue
		}
		if now.Sub(instance.Moved) < c.timing.MinBorrowTime || !p.canSpare(instance.Slots, demand) {
			continue
		}
		if best == "" || c.movedLater(name, best) {
			best = name
		}
	}
	if best != "" {
		c.propose(now, "return "+string(rule.Name), fleet.Drain{Instance: best, Reason: fleet.ForMove, Pool: spare.Name})
	}
}

// movedLater reports whether instance a moved to its pool after instance b.
func (c *Control) movedLater(a, b id.Instance) bool {
	x := c.tables.Instances[a].Moved
	y := c.tables.Instances[b].Moved
	if !x.Equal(y) {
		return x.After(y)
	}
	return a < b
}
