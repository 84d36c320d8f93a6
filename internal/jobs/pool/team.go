package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
)

// team holds what a team uses in this pool and what it may use.
type team struct {
	limit      catalog.Resources // upper limit over all pools; a zero field means no limit
	allocation int               // thousandths of the limit that this pool may use, 0 if nothing was allocated to it
	allowed    catalog.Resources // limit in this pool: the allocated part of the limit
	used       catalog.Resources
}

func (t *team) admits(need catalog.Resources) bool {
	if t.used == (catalog.Resources{}) {
		return true
	}
	sum := t.used.Add(need)
	return within(sum.CPU, t.allowed.CPU) && within(sum.MemoryMB, t.allowed.MemoryMB) && within(sum.Accelerators, t.allowed.Accelerators)
}

func within(value, limit int) bool { return limit == 0 || value <= limit }

func (p *Pool) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{}
		p.teams[name] = t
	}
	return t
}

// SetLimits replaces the upper limits of the teams. minAllocation is the minimum allocation of each team in thousandths
// of its limit, which this pool may use as long as nothing else was allocated to it.
func (p *Pool) SetLimits(limits map[string]catalog.Resources, minAllocation int) {
	p.minAllocation = minAllocation
	for name := range p.teams {
		p.teams[name].limit = limits[name]
	}
	for name, limit := range limits {
		p.team(name).limit = limit
	}
	p.applyAllocations()
}

// allocationTTL is how long an allocation above the minimum is valid without being renewed.
const allocationTTL = 3 * time.Second

// SetAllocations replaces the allocations of the teams' limits that this pool may use. A nil argument changes nothing.
func (p *Pool) SetAllocations(at Moment, allocations limit.Allocations) {
	if allocations == nil {
		return
	}
	for _, t := range p.teams {
		t.allocation = 0
	}
	for name, allocation := range allocations {
		p.team(name).allocation = allocation
	}
	p.allocationsUntil = at.Steady + allocationTTL
	p.applyAllocations()
}

// expireAllocations falls back to the minimum allocation when allocations were not renewed in time. A smaller
// allocation stays as it is, since other pools may be using the rest of the limit.
func (p *Pool) expireAllocations(at Moment) {
	if p.allocationsUntil == 0 || at.Steady <= p.allocationsUntil {
		return
	}
	p.allocationsUntil = 0
	for _, t := range p.teams {
		t.allocation = min(t.allocation, p.minAllocation)
	}
	p.applyAllocations()
}

func (p *Pool) applyAllocations() {
	for _, t := range p.teams {
		allocation := p.allocationOf(t)
		t.allowed = catalog.Resources{
			CPU: portion(t.limit.CPU, allocation), MemoryMB: portion(t.limit.MemoryMB, allocation), Accelerators: portion(t.limit.Accelerators, allocation),
		}
	}
}

func (p *Pool) allocationOf(t *team) int {
	if t.allocation == 0 {
		return p.minAllocation
	}
	return t.allocation
}

// portion returns the given thousandths of a limit, at least 1 for a limit that is set since 0 would mean no limit.
func portion(value, thousandths int) int {
	if value == 0 {
		return 0
	}
	return max(1, value*thousandths/limit.FullLimit)
}

// shareOf returns the share of a team's limit that the given resources need, in thousandths rounded up. The resource
// with the largest share decides.
func (t *team) shareOf(a catalog.Resources) int {
	share := 0
	for _, pair := range [...][2]int{{a.CPU, t.limit.CPU}, {a.MemoryMB, t.limit.MemoryMB}, {a.Accelerators, t.limit.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, (pair[0]*limit.FullLimit+pair[1]-1)/pair[1])
		}
	}
	return share
}

// limitDemands returns the usage, request and allocation of each team with a limit. waiting holds the resources that
// the teams' ready tasks need.
func (p *Pool) limitDemands(waiting map[string]catalog.Resources) limit.Demands {
	demands := limit.Demands{}
	for name, t := range p.teams {
		if t.limit == (catalog.Resources{}) {
			continue
		}
		needed := waiting[name]
		if t.used == (catalog.Resources{}) && needed == (catalog.Resources{}) && t.allocation == 0 {
			continue
		}
		demands[name] = limit.Demand{Used: t.shareOf(t.used), Requested: t.shareOf(t.used.Add(needed)), Allocation: p.allocationOf(t)}
	}
	return demands
}

// fullNeed returns the resources of a task that count against its team's limit. These include the CPU of best-effort
// tasks.
func fullNeed(s *job.Step) catalog.Resources {
	return catalog.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}
