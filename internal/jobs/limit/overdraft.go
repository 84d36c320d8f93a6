package limit

import "slices"

// maxHeldRounds is the number of rounds for which a pool keeps an overdraft that it does not use while others wait for it.
const maxHeldRounds = 5

// overdraft is the right to start one task of a team beyond the allocations. At most one pool has it, so that all pools together use at
// most the limit and one task more. Which pools may have it is known from their reports alone: while that of any of them is missing, no
// other pool gets it.
type overdraft struct {
	holders map[string]struct{} // pools that may have it
	newest  string              // pool that got it last
	since   int64               // round in which that pool got it
	excess  int                 // what the newest task that started with it uses beyond the allocation of its pool, at most
	ceiling Ceiling             // limit for which that holds
}

// recordOverdrafts records which overdrafts a pool has, after it has applied its latest grant.
func (a *Allocator) recordOverdrafts(pool string, demands Demands) {
	for team, demand := range demands {
		d := a.draftOf(team)
		if demand.Ceiling != d.ceiling {
			d.excess, d.ceiling = 0, demand.Ceiling
		}
		if demand.Overdraft {
			d.excess = max(d.excess, demand.Used-demand.Allocation)
			d.holders[pool] = struct{}{}
			if d.newest == "" {
				d.newest, d.since = pool, a.round
			}
		}
	}
	for team, d := range a.drafts {
		if !demands[team].Overdraft {
			delete(d.holders, pool)
		}
	}
}

func (a *Allocator) draftOf(team string) *overdraft {
	d, ok := a.drafts[team]
	if !ok {
		d = &overdraft{holders: map[string]struct{}{}}
		a.drafts[team] = d
	}
	return d
}

// grantOverdraft returns the pool that may start a task of a team beyond its allocation, with the limit for which that holds. Nobody may
// while the pools may use more than the limit, another pool may still have the overdraft, or not all go by the same limit.
func (a *Allocator) grantOverdraft(pools []string, team string) (string, Ceiling, bool) {
	ceiling, same := a.ceiling(pools, team)
	if !same || a.free(pools, team) < 0 {
		return "", Ceiling{}, false
	}
	d := a.draftOf(team)
	pool := a.nextHolder(pools, team, d)
	for holder := range d.holders {
		if holder != pool {
			return "", Ceiling{}, false
		}
	}
	if pool != d.newest {
		d.newest, d.since = pool, a.round
	}
	d.holders[pool] = struct{}{}
	return pool, ceiling, true
}

// ceiling returns the limit of a team, and reports whether all pools go by it.
func (a *Allocator) ceiling(pools []string, team string) (Ceiling, bool) {
	first, reported := a.reports[pools[0]][team]
	if !reported {
		return Ceiling{}, false
	}
	for _, pool := range pools[1:] {
		if demand, ok := a.reports[pool][team]; !ok || demand.Ceiling != first.Ceiling {
			return Ceiling{}, false
		}
	}
	return first.Ceiling, true
}

// nextHolder returns the pool that should have the overdraft: of those with tasks that do not fit into their allocations the one that has
// waited longest, or, if there is none, the one that had it last.
func (a *Allocator) nextHolder(pools []string, team string, d *overdraft) string {
	blocked := slices.DeleteFunc(a.byTurn(pools, team), func(pool string) bool {
		demand := a.reports[pool][team]
		return !demand.isBlocked() || demand.isOver()
	})
	holds := slices.Contains(pools, d.newest)
	switch {
	case len(blocked) == 0 && holds:
		return d.newest
	case len(blocked) == 0:
		return pools[0]
	case !holds || !slices.Contains(blocked, d.newest):
		return blocked[0]
	case a.turns[team][d.newest] >= d.since: // it has started a task since
		return blocked[0]
	case a.round-d.since < maxHeldRounds:
		return d.newest
	}
	a.takeTurn(team, d.newest)
	return a.byTurn(blocked, team)[0]
}
