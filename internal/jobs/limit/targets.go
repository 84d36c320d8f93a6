package limit

// minUnit is the smallest step in which targets rise, in thousandths of the limit.
const minUnit = 10

// target is what one pool should get of a team's limit.
type target struct {
	pool      string
	demand    Demand
	requested int
	step      int // what lets one more task start, 0 if the limit is too low for that
	amount    int
	settled   bool // gets no more
}

// targets returns what the pools should get of a team's limit. The target of each is at least the initial allocation. Requests that
// fit together are met in full; otherwise the pool with the smallest target is raised first, by what the next of its tasks needs, as long as
// that is left: a part of it would be of no use. Among equals the pool comes first that has waited longest. What is left over is
// divided equally.
func (a *Allocator) targets(pools []string, team string) map[string]int {
	initial := Initial(len(pools))
	list := make([]target, 0, len(pools))
	sum := 0
	for _, pool := range a.byTurn(pools, team) {
		d := a.reports[pool][team]
		t := target{pool: pool, demand: d, requested: min(FullLimit, max(initial, d.Requested)), step: d.step(len(pools)), amount: initial}
		sum += t.requested
		list = append(list, t)
	}
	left := FullLimit - initial*len(pools)
	if sum <= FullLimit {
		left = meet(list)
	} else {
		left = raiseInTurn(list, left)
	}
	targets := map[string]int{}
	for _, t := range list {
		targets[t.pool] = t.amount + left/len(pools)
	}
	return targets
}

// meet meets all requests and returns what is left of the limit.
func meet(list []target) (left int) {
	left = FullLimit
	for i := range list {
		list[i].amount = list[i].requested
		left -= list[i].amount
	}
	return left
}

// raiseInTurn raises the smallest target by one step at a time and returns what no pool can use.
func raiseInTurn(list []target, left int) int {
	for {
		lowest := -1
		for i := range list {
			if !list[i].settled && (lowest < 0 || list[i].amount < list[lowest].amount) {
				lowest = i
			}
		}
		if lowest < 0 {
			return left
		}
		t := &list[lowest]
		next := t.next()
		if next <= t.amount || next-t.amount > left {
			t.settled = true
			continue
		}
		left -= next - t.amount
		t.amount = next
	}
}

// next returns the next larger amount that lets one more task run, of those that run now or wait.
func (t *target) next() int {
	switch {
	case t.amount >= t.requested:
		return t.amount
	case t.step == 0:
		return max(t.amount, t.demand.Used)
	}
	offset := t.demand.Used % t.step // what is used is a number of steps above it
	next := offset + max(0, t.amount-offset+t.step)/t.step*t.step
	if t.demand.Unit == 0 {
		return min(t.requested, next)
	}
	return next
}

// step returns in which steps an allocation should rise, so that one more task can start with each, or 0 if none ever can. What does not
// fit into the limit beside the initial allocations of other pools needs an overdraft for one task.
func (d Demand) step(pools int) int {
	if d.Unit == 0 {
		return minUnit
	}
	if d.Unit <= FullLimit-Initial(pools)*(pools-1) {
		return max(minUnit, d.Unit)
	}
	return d.Unit - d.Task
}
