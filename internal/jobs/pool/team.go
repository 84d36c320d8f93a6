package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
)

// team is what a team uses in this pool and may use.
type team struct {
	limit      catalog.Amount // its upper limit over all pools; a zero field is no limit
	allocation int            // thousandths of that which this pool may use, 0 as long as nothing was dealt to it
	allowed    catalog.Amount // that part
	used       catalog.Amount
}

func (t *team) admits(need catalog.Amount) bool {
	if t.used == (catalog.Amount{}) {
		return true
	}
	sum := t.used.Plus(need)
	return within(sum.CPU, t.allowed.CPU) && within(sum.MemoryMB, t.allowed.MemoryMB) && within(sum.Accelerators, t.allowed.Accelerators)
}

func within(amount, limit int) bool { return limit == 0 || amount <= limit }

func (p *Pool) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{}
		p.teams[name] = t
	}
	return t
}

// SetLimits replaces the upper limits of the teams; floor is the part of each, in thousandths, that this pool may use
// as long as nothing else was dealt to it.
func (p *Pool) SetLimits(limits map[string]catalog.Amount, floor int) {
	p.minAllocation = floor
	for name := range p.teams {
		p.teams[name].limit = limits[name]
	}
	for name, limit := range limits {
		p.team(name).limit = limit
	}
	p.applyAllocations()
}

// allocationTTL is how long a part that was dealt may be more than the floor without being dealt again.
const allocationTTL = 3 * time.Second

// SetParts replaces the parts of the teams' limits that this pool may use; nil leaves them as they are.
func (p *Pool) SetParts(at Moment, parts limit.Parts) {
	if parts == nil {
		return
	}
	for _, t := range p.teams {
		t.allocation = 0
	}
	for name, part := range parts {
		p.team(name).allocation = part
	}
	p.allocationsUntil = at.Steady + allocationTTL
	p.applyAllocations()
}

// expireAllocations goes back to the floors when nothing was dealt for a while. A part that is less stays as it is, since
// the rest may be in use elsewhere.
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
		part := p.allocationOf(t)
		t.allowed = catalog.Amount{
			CPU: portion(t.limit.CPU, part), MemoryMB: portion(t.limit.MemoryMB, part), Accelerators: portion(t.limit.Accelerators, part),
		}
	}
}

func (p *Pool) allocationOf(t *team) int {
	if t.allocation == 0 {
		return p.minAllocation
	}
	return t.allocation
}

// portion returns a part of a limit; a limit that is set never turns into none.
func portion(amount, part int) int {
	if amount == 0 {
		return 0
	}
	return max(1, amount*part/limit.Whole)
}

// shareOf returns how many thousandths of a team's limit an amount is, rounded up.
func (t *team) shareOf(a catalog.Amount) int {
	share := 0
	for _, pair := range [...][2]int{{a.CPU, t.limit.CPU}, {a.MemoryMB, t.limit.MemoryMB}, {a.Accelerators, t.limit.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, (pair[0]*limit.Whole+pair[1]-1)/pair[1])
		}
	}
	return share
}

// limitDemands returns how the teams with a limit stand, given what their ready tasks wait for.
func (p *Pool) limitDemands(waiting map[string]catalog.Amount) limit.Claims {
	claims := limit.Claims{}
	for name, t := range p.teams {
		if t.limit == (catalog.Amount{}) {
			continue
		}
		wait := waiting[name]
		if t.used == (catalog.Amount{}) && wait == (catalog.Amount{}) && t.allocation == 0 {
			continue
		}
		claims[name] = limit.Claim{Used: t.shareOf(t.used), Wish: t.shareOf(t.used.Plus(wait)), Part: p.allocationOf(t)}
	}
	return claims
}

// fullNeed is what a task counts for against its team's limit.
func fullNeed(s *job.Step) catalog.Amount {
	return catalog.Amount{CPU: s.CPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}
