package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
)

// team is what a team uses in this pool and may use.
type team struct {
	whole catalog.Amount // its upper limit over all pools; a zero field is no limit
	part  int            // thousandths of that which this pool may use, 0 as long as nothing was dealt to it
	cap   catalog.Amount // that part
	used  catalog.Amount
}

func (t *team) admits(need catalog.Amount) bool {
	if t.used == (catalog.Amount{}) {
		return true
	}
	sum := t.used.Plus(need)
	return within(sum.CPU, t.cap.CPU) && within(sum.MemoryMB, t.cap.MemoryMB) && within(sum.Accelerators, t.cap.Accelerators)
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
	p.floor = floor
	for name := range p.teams {
		p.teams[name].whole = limits[name]
	}
	for name, limit := range limits {
		p.team(name).whole = limit
	}
	p.applyParts()
}

// partLife is how long a part that was dealt may be more than the floor without being dealt again.
const partLife = 3 * time.Second

// SetParts replaces the parts of the teams' limits that this pool may use; nil leaves them as they are.
func (p *Pool) SetParts(at Moment, parts limit.Parts) {
	if parts == nil {
		return
	}
	for _, t := range p.teams {
		t.part = 0
	}
	for name, part := range parts {
		p.team(name).part = part
	}
	p.partsTill = at.Steady + partLife
	p.applyParts()
}

// expireParts goes back to the floors when nothing was dealt for a while. A part that is less stays as it is, since
// the rest may be in use elsewhere.
func (p *Pool) expireParts(at Moment) {
	if p.partsTill == 0 || at.Steady <= p.partsTill {
		return
	}
	p.partsTill = 0
	for _, t := range p.teams {
		t.part = min(t.part, p.floor)
	}
	p.applyParts()
}

func (p *Pool) applyParts() {
	for _, t := range p.teams {
		part := p.partOf(t)
		t.cap = catalog.Amount{
			CPU: portion(t.whole.CPU, part), MemoryMB: portion(t.whole.MemoryMB, part), Accelerators: portion(t.whole.Accelerators, part),
		}
	}
}

func (p *Pool) partOf(t *team) int {
	if t.part == 0 {
		return p.floor
	}
	return t.part
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
	for _, pair := range [...][2]int{{a.CPU, t.whole.CPU}, {a.MemoryMB, t.whole.MemoryMB}, {a.Accelerators, t.whole.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, (pair[0]*limit.Whole+pair[1]-1)/pair[1])
		}
	}
	return share
}

// limitClaims returns how the teams with a limit stand, given what their ready tasks wait for.
func (p *Pool) limitClaims(waiting map[string]catalog.Amount) limit.Claims {
	claims := limit.Claims{}
	for name, t := range p.teams {
		if t.whole == (catalog.Amount{}) {
			continue
		}
		wait := waiting[name]
		if t.used == (catalog.Amount{}) && wait == (catalog.Amount{}) && t.part == 0 {
			continue
		}
		claims[name] = limit.Claim{Used: t.shareOf(t.used), Wish: t.shareOf(t.used.Plus(wait)), Part: p.partOf(t)}
	}
	return claims
}

// fullNeed is what a task counts for against its team's limit.
func fullNeed(s *job.Step) catalog.Amount {
	return catalog.Amount{CPU: s.CPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}
