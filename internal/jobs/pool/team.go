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
	overdraft  bool              // one task may start beyond the allocation; at most one pool has this right
	used       catalog.Resources
}

// admits reports whether a task, or all members of a gang, may start within the team's limit.
func (t *team) admits(step *job.Step) bool {
	need := fullNeed(step)
	sum := t.used.Add(need)
	if step.Gang {
		for range step.Count - 1 {
			sum = sum.Add(need)
		}
	}
	return t.allows(sum) || t.overdraft && t.allows(sum.Sub(need))
}

// allows reports whether the team may use the given resources in this pool without an overdraft.
func (t *team) allows(r catalog.Resources) bool {
	return within(r.CPU, t.allowed.CPU) && within(r.MemoryMB, t.allowed.MemoryMB) && within(r.Accelerators, t.allowed.Accelerators)
}

func within(value, limit int) bool { return limit == 0 || value <= limit }

func (t *team) ceiling() limit.Ceiling {
	return limit.Ceiling{CPU: t.limit.CPU, MemoryMB: t.limit.MemoryMB, Accelerators: t.limit.Accelerators}
}

// setLimit replaces the team's limit. An overdraft holds for the limit for which it was granted.
func (t *team) setLimit(r catalog.Resources) {
	t.overdraft = t.overdraft && t.limit == r
	t.limit = r
}

func (p *Pool) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{}
		p.teams[name] = t
	}
	return t
}

// SetLimits replaces the upper limits of the teams, which a number of pools share.
func (p *Pool) SetLimits(limits map[string]catalog.Resources, pools int) {
	wasOnly := p.pools <= 1
	p.pools = pools
	for name, t := range p.teams {
		t.setLimit(limits[name])
		t.overdraft = t.overdraft && !wasOnly
	}
	for name, r := range limits {
		p.team(name).setLimit(r)
	}
	p.applyAllocations()
}

// allocationTTL is how long an allocation above the minimum is valid without being renewed.
const allocationTTL = 3 * time.Second

// SetAllocations replaces what this pool may use of the teams' limits. A grant without allocations, or for another owner of the pool,
// changes nothing.
func (p *Pool) SetAllocations(at Moment, g limit.Grant) {
	if g.Allocations == nil || g.Owner != 0 && g.Owner != p.config.Fence {
		return
	}
	for _, t := range p.teams {
		t.allocation, t.overdraft = 0, false
	}
	for name, allocation := range g.Allocations {
		p.team(name).allocation = allocation
	}
	for name, ceiling := range g.Overdrafts {
		t := p.team(name)
		t.overdraft = ceiling == t.ceiling()
	}
	p.allocationsUntil = at.Steady + allocationTTL
	p.applyAllocations()
}

// expireAllocations lowers the allocations, and drops the overdrafts, when they were not renewed in time. A smaller
// allocation stays as it is, since other pools may be using the rest of the limit.
func (p *Pool) expireAllocations(at Moment) {
	if p.allocationsUntil == 0 || at.Steady <= p.allocationsUntil {
		return
	}
	p.allocationsUntil = 0
	for _, t := range p.teams {
		t.allocation, t.overdraft = min(t.allocation, limit.Fallback(p.pools)), false
	}
	p.applyAllocations()
}

// applyAllocations updates what the teams may use in this pool. The only pool has all limits to itself.
func (p *Pool) applyAllocations() {
	for _, t := range p.teams {
		t.overdraft = t.overdraft || p.pools <= 1
		allocation := p.allocationOf(t)
		t.allowed = catalog.Resources{
			CPU: portion(t.limit.CPU, allocation), MemoryMB: portion(t.limit.MemoryMB, allocation), Accelerators: portion(t.limit.Accelerators, allocation),
		}
	}
}

func (p *Pool) allocationOf(t *team) int {
	if t.allocation == 0 || p.pools <= 1 {
		return limit.Initial(p.pools)
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

// waitingDemand is what the ready tasks of a team need.
type waitingDemand struct {
	all  catalog.Resources
	unit int // smallest share of the team's limit that lets a task, or a gang, start
	task int // share that one task of these needs
}

// addWaiting adds a ready step with a number of tasks that wait for a run.
func (p *Pool) addWaiting(demands map[string]waitingDemand, name string, step *job.Step, count int) {
	if count == 0 {
		return
	}
	d := demands[name]
	need := fullNeed(step)
	task := p.team(name).shareOf(need)
	unit := task
	if step.Gang {
		unit *= step.Count
	}
	for range count {
		d.all = d.all.Add(need)
	}
	if d.unit == 0 || unit < d.unit {
		d.unit, d.task = unit, task
	}
	demands[name] = d
}

// limitDemands returns the usage, request and allocation of each team with a limit, given what waits.
func (p *Pool) limitDemands(waiting map[string]waitingDemand) limit.Demands {
	demands := limit.Demands{}
	for name, t := range p.teams {
		if t.limit == (catalog.Resources{}) {
			continue
		}
		needed := waiting[name]
		if t.used == (catalog.Resources{}) && needed.unit == 0 && t.allocation == 0 {
			continue
		}
		demands[name] = limit.Demand{
			Used: t.shareOf(t.used), Requested: t.shareOf(t.used.Add(needed.all)), Allocation: p.allocationOf(t), Unit: needed.unit, Task: needed.task, Overdraft: t.overdraft,
			Ceiling: t.ceiling(),
		}
	}
	return demands
}

// fullNeed returns the resources of a task that count against its team's limit. These include the CPU of best-effort
// tasks.
func fullNeed(s *job.Step) catalog.Resources {
	return catalog.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}
