package limit

import (
	"cmp"
	"maps"
	"slices"
)

// Allocator allocates the limits in rounds. A pool's allocation grows only by what no other pool may still use, neither
// through an allocation that was sent to it and may still be in force, nor through runs beyond its allocation.
type Allocator struct {
	round   int64                       // from 1 on
	owners  map[string]int64            // newest owner of each pool that has reported
	reports map[string]Demands          // latest report of each pool
	bounds  map[string]map[string]int   // most that a pool may be using, by pool and team
	turns   map[string]map[string]int64 // round in which a team last began to use more of a pool, by team and pool; 0 if it has not
	drafts  map[string]*overdraft       // by team
}

// NewAllocator returns an allocator without reports of pools.
func NewAllocator() *Allocator {
	return &Allocator{
		round: 1, owners: map[string]int64{}, reports: map[string]Demands{}, bounds: map[string]map[string]int{}, turns: map[string]map[string]int64{},
		drafts: map[string]*overdraft{},
	}
}

// RecordDemand records the demand of a pool whose owner has applied its latest grant. It ignores an owner that has been replaced.
func (a *Allocator) RecordDemand(pool string, owner int64, demands Demands) {
	if owner != 0 && owner < a.owners[pool] {
		return
	}
	a.owners[pool] = owner
	for team, demand := range demands {
		if demand.Used > a.reports[pool][team].Used {
			a.takeTurn(team, pool)
		}
	}
	a.reports[pool] = demands
	bound := map[string]int{}
	for team, demand := range demands {
		bound[team] = max(demand.Allocation, demand.Used)
	}
	a.bounds[pool] = bound
	a.recordOverdrafts(pool, demands)
}

// takeTurn moves a pool to the end of the order in which a team's tasks start that do not fit everywhere at once.
func (a *Allocator) takeTurn(team, pool string) {
	if a.turns[team] == nil {
		a.turns[team] = map[string]int64{}
	}
	a.turns[team][pool] = a.round
}

// byTurn returns the pools in the order in which they started tasks of a team, the one that has waited longest first.
func (a *Allocator) byTurn(pools []string, team string) []string {
	return slices.SortedFunc(slices.Values(pools), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.turns[team][x], a.turns[team][y]), cmp.Compare(x, y))
	})
}

// Allocate returns the grants of all pools, or nil until each pool has reported; from then on they count as in use.
func (a *Allocator) Allocate(pools []string) map[string]Grant {
	a.round++
	a.forgetPools(pools)
	teams := map[string]bool{}
	for _, pool := range pools {
		demands, reported := a.reports[pool]
		if !reported {
			return nil
		}
		for team := range demands {
			teams[team] = true
		}
	}
	grants := map[string]Grant{}
	for _, pool := range pools {
		grants[pool] = Grant{Owner: a.owners[pool], Allocations: Allocations{}, Overdrafts: map[string]Ceiling{}}
	}
	for team := range teams {
		for pool, allocation := range a.allocateTeam(pools, team) {
			grants[pool].Allocations[team] = allocation
			a.bounds[pool][team] = max(a.bounds[pool][team], allocation)
		}
		if pool, ceiling, granted := a.grantOverdraft(pools, team); granted {
			grants[pool].Overdrafts[team] = ceiling
		}
	}
	return grants
}

// forgetPools drops what is known of pools that are gone.
func (a *Allocator) forgetPools(pools []string) {
	isGone := func(pool string) bool { return !slices.Contains(pools, pool) }
	maps.DeleteFunc(a.owners, func(pool string, _ int64) bool { return isGone(pool) })
	maps.DeleteFunc(a.reports, func(pool string, _ Demands) bool { return isGone(pool) })
	maps.DeleteFunc(a.bounds, func(pool string, _ map[string]int) bool { return isGone(pool) })
	for _, turns := range a.turns {
		maps.DeleteFunc(turns, func(pool string, _ int64) bool { return isGone(pool) })
	}
	for _, d := range a.drafts {
		maps.DeleteFunc(d.holders, func(pool string, _ struct{}) bool { return isGone(pool) })
	}
}

// allocateTeam lowers allocations to their targets and raises others by what is certainly free.
func (a *Allocator) allocateTeam(pools []string, team string) map[string]int {
	free := a.free(pools, team)
	targets := a.targets(pools, team)
	if free < 0 {
		a.lower(pools, team, targets)
		return targets
	}
	for _, pool := range a.byTurn(pools, team) {
		bound := a.boundOf(pool, team, len(pools))
		rise := min(max(0, free), max(0, targets[pool]-bound))
		free -= rise
		targets[pool] = min(targets[pool], bound+rise)
	}
	return targets
}

// lower lowers the targets of pools that may use more than the limit together. None rises, and beyond what one task with an overdraft
// uses, nothing starts in place of what ends.
func (a *Allocator) lower(pools []string, team string, targets map[string]int) {
	used := 0
	for _, pool := range pools {
		used += a.reports[pool][team].Used
	}
	for _, pool := range pools {
		if used > FullLimit+a.draftOf(team).excess {
			targets[pool] = minAllocation
			continue
		}
		if demand, ok := a.reports[pool][team]; ok {
			targets[pool] = min(targets[pool], max(minAllocation, demand.Allocation))
		}
	}
}

// free returns what no pool may be using of a team's limit; it is negative where pools may use more than the limit.
func (a *Allocator) free(pools []string, team string) int {
	free := FullLimit
	for _, pool := range pools {
		free -= a.boundOf(pool, team, len(pools))
	}
	return free
}

// boundOf returns the most that a pool may be using; it is the initial allocation if the pool has not reported the team.
func (a *Allocator) boundOf(pool, team string, pools int) int {
	if bound, ok := a.bounds[pool][team]; ok {
		return bound
	}
	return Initial(pools)
}
