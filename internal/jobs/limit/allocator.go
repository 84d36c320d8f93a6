package limit

import (
	"maps"
	"slices"
)

// FullLimit is all of a team's limit; allocations are thousandths of the limit, so that a new limit takes effect at
// once.
const FullLimit = 1000

// minAllocationDivisor divides a pool's equal share to give its minimum allocation, so that its first tasks need not
// wait.
const minAllocationDivisor = 4

// MinAllocation returns the minimum allocation: what a pool has of every team's limit until another allocation reaches
// it.
func MinAllocation(pools int) int { return max(1, FullLimit/minAllocationDivisor/max(1, pools)) }

// Demand is the demand and allocation of a team in one pool, in thousandths of the team's limit.
type Demand struct {
	Used       int `cbor:"1,keyasint,omitempty"` // used by runs that exist or may exist
	Requested  int `cbor:"2,keyasint,omitempty"` // requested by these runs and the tasks that could start
	Allocation int `cbor:"3,keyasint,omitempty"` // allocation: the most that the pool lets the team use
}

// Demands holds the demand of each team in one pool.
type Demands map[string]Demand

// Allocations holds the allocation of one pool from each team's limit.
type Allocations map[string]int

// Allocator allocates the limits in rounds. A pool's allocation grows only by what no other pool may still use, neither
// through an allocation that was sent to it and may still be in force, nor through runs beyond its allocation.
type Allocator struct {
	reports map[string]Demands        // latest report of each pool
	bounds  map[string]map[string]int // most that a pool may be using, by pool and team
}

// NewAllocator returns an allocator without reports of pools.
func NewAllocator() *Allocator {
	return &Allocator{reports: map[string]Demands{}, bounds: map[string]map[string]int{}}
}

// RecordDemand records the demand of a pool that has applied its latest allocations.
func (a *Allocator) RecordDemand(pool string, demands Demands) {
	a.reports[pool] = demands
	bound := map[string]int{}
	for team, demand := range demands {
		bound[team] = max(demand.Allocation, demand.Used)
	}
	a.bounds[pool] = bound
}

// Allocate returns the allocations of all pools, or nil until each pool has reported; from then on they count as in use.
func (a *Allocator) Allocate(pools []string) map[string]Allocations {
	maps.DeleteFunc(a.reports, func(pool string, _ Demands) bool { return !slices.Contains(pools, pool) })
	maps.DeleteFunc(a.bounds, func(pool string, _ map[string]int) bool { return !slices.Contains(pools, pool) })
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
	allocations := map[string]Allocations{}
	for _, pool := range pools {
		allocations[pool] = Allocations{}
	}
	for team := range teams {
		for pool, allocation := range a.allocateTeam(pools, team) {
			allocations[pool][team] = allocation
			a.bounds[pool][team] = max(a.bounds[pool][team], allocation)
		}
	}
	return allocations
}

// allocateTeam lowers allocations to their targets and raises others by what is certainly free.
func (a *Allocator) allocateTeam(pools []string, team string) map[string]int {
	free := FullLimit
	for _, pool := range pools {
		free -= a.boundOf(pool, team, len(pools))
	}
	targets := a.targets(pools, team)
	for pool, target := range targets {
		bound := a.boundOf(pool, team, len(pools))
		rise := min(max(0, free), max(0, target-bound))
		free -= rise
		targets[pool] = min(target, bound+rise)
	}
	return targets
}

// boundOf returns the most that a pool may be using; it is the minimum allocation if the pool has not reported the team.
func (a *Allocator) boundOf(pool, team string, pools int) int {
	if bound, ok := a.bounds[pool][team]; ok {
		return bound
	}
	return MinAllocation(pools)
}

// targets returns the max-min fair shares of the pools: small requests are met in full, large ones share the remainder
// equally, no request counts as less than the minimum allocation, and what is left over is divided equally.
func (a *Allocator) targets(pools []string, team string) map[string]int {
	minimum := MinAllocation(len(pools))
	requests := make([]int, len(pools))
	for i, pool := range pools {
		requests[i] = min(FullLimit, max(minimum, a.reports[pool][team].Requested))
	}
	targets := map[string]int{}
	order := make([]int, len(pools))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return requests[x] - requests[y] })
	left := FullLimit
	for n, i := range order {
		share := min(requests[i], left/(len(pools)-n))
		targets[pools[i]] = share
		left -= share
	}
	for i := range pools {
		targets[pools[i]] += left / len(pools)
	}
	return targets
}
