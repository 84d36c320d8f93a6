package queue

import (
	"container/heap"
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Demand is the demand of one team at one member for slots of one pool.
type Demand struct {
	Member  id.Member
	Pool    id.Pool
	Team    id.Team
	Running int           // slots in use
	Waiting int           // requests that would use a slot now
	Oldest  time.Duration // age of the oldest waiting request
}

// Capacity is how many slots of a pool can be used now.
type Capacity struct {
	Pool  id.Pool
	Slots int
}

// Entitlement is a team's weight when slots are scarce, and its upper limit.
type Entitlement struct {
	Team  id.Team
	Share int // weight
	Limit int // slots
}

// PoolTeam identifies one team's work in one pool.
type PoolTeam struct {
	Pool id.Pool
	Team id.Team
}

// Allocation is one member's allocation in all pools.
type Allocation struct {
	Slots map[PoolTeam]int // slots that a team's work may use here
	Slack map[id.Pool]int  // further slots that any team's work may use here
}

// Allocate returns a member's allocation. Slots are allocated one by one, each to the team that has the fewest
// relative to its share over the whole fleet, up to its demand and limit. A team's allocation in a pool
// is split among members by demand, and the remainder goes to the members whose work has waited longest.
// Slots that no team requests are spread evenly over the members.
func Allocate(self id.Member, members []id.Member, pools []Capacity, entitlements []Entitlement, demands []Demand) Allocation {
	a := newAllocator(pools, entitlements, demands)
	a.allocate()
	allocation := Allocation{Slots: make(map[PoolTeam]int, len(a.poolTeams)), Slack: make(map[id.Pool]int, len(pools))}
	for _, p := range a.poolTeams {
		if n := memberAllocation(self, p.granted, p.demands); n > 0 {
			allocation.Slots[p.poolTeam] = n
		}
	}
	for _, pool := range a.pools {
		allocation.Slack[pool.name] = evenAllocation(self, members, pool.free)
	}
	return allocation
}

// poolAllocation is the state of one pool during allocation.
type poolAllocation struct {
	name id.Pool
	free int
}

// poolTeamAllocation is the state of one team's work in one pool during allocation.
type poolTeamAllocation struct {
	poolTeam PoolTeam
	pool     *poolAllocation
	demand   int
	granted  int
	demands  []Demand
}

// allocator allocates the slots of pools one by one.
type allocator struct {
	pools     []*poolAllocation
	poolTeams []*poolTeamAllocation
	teams     teamHeap
}

func newAllocator(pools []Capacity, entitlements []Entitlement, demands []Demand) *allocator {
	a := &allocator{}
	byPool := make(map[id.Pool]*poolAllocation, len(pools))
	for _, pool := range pools {
		state := &poolAllocation{name: pool.Pool, free: pool.Slots}
		byPool[pool.Pool] = state
		a.pools = append(a.pools, state)
	}
	byTeam := map[id.Team][]*poolTeamAllocation{}
	byPoolTeam := map[PoolTeam]*poolTeamAllocation{}
	for _, demand := range demands {
		poolTeam := PoolTeam{Pool: demand.Pool, Team: demand.Team}
		p, ok := byPoolTeam[poolTeam]
		if !ok {
			if byPool[demand.Pool] == nil {
				continue
			}
			p = &poolTeamAllocation{poolTeam: poolTeam, pool: byPool[demand.Pool]}
			byPoolTeam[poolTeam] = p
			byTeam[demand.Team] = append(byTeam[demand.Team], p)
			a.poolTeams = append(a.poolTeams, p)
		}
		p.demand += demand.Running + demand.Waiting
		p.demands = append(p.demands, demand)
	}
	for _, entitlement := range entitlements {
		if poolTeams := byTeam[entitlement.Team]; len(poolTeams) > 0 {
			sort.Slice(poolTeams, func(i, j int) bool { return poolTeams[i].poolTeam.Pool < poolTeams[j].poolTeam.Pool })
			a.teams = append(a.teams, &teamAllocation{entitlement: entitlement, poolTeams: poolTeams})
		}
	}
	heap.Init(&a.teams)
	return a
}

// allocate allocates slots until no team can use another.
func (a *allocator) allocate() {
	for len(a.teams) > 0 {
		team := a.teams[0]
		p := team.next()
		if p == nil {
			heap.Pop(&a.teams)
			continue
		}
		p.granted++
		p.demand--
		p.pool.free--
		team.slots++
		heap.Fix(&a.teams, 0)
	}
}

// next returns the pool with the most free slots among those where the team has unmet demand, or nil.
func (t *teamAllocation) next() *poolTeamAllocation {
	if t.slots >= t.entitlement.Limit {
		return nil
	}
	var best *poolTeamAllocation
	for _, p := range t.poolTeams {
		if p.demand > 0 && p.pool.free > 0 && (best == nil || p.pool.free > best.pool.free) {
			best = p
		}
	}
	return best
}

// memberAllocation returns a member's part of the slots that were allocated to a team in a pool.
func memberAllocation(self id.Member, slots int, demands []Demand) int {
	total := 0
	for _, demand := range demands {
		total += demand.Running + demand.Waiting
	}
	if total <= slots {
		slots = total
	}
	own := 0
	remainder := slots
	for _, demand := range demands {
		n := slots * (demand.Running + demand.Waiting) / max(1, total)
		remainder -= n
		if demand.Member == self {
			own = n
		}
	}
	if remainder == 0 {
		return own
	}
	order := append([]Demand(nil), demands...)
	sort.Slice(order, func(i, j int) bool {
		if order[i].Oldest != order[j].Oldest {
			return order[i].Oldest > order[j].Oldest
		}
		return order[i].Member < order[j].Member
	})
	for i := 0; i < remainder && i < len(order); i++ {
		if order[i].Member == self {
			own++
		}
	}
	return own
}

// evenAllocation returns a member's part of slots that are spread evenly.
func evenAllocation(self id.Member, members []id.Member, slots int) int {
	if len(members) == 0 || slots <= 0 {
		return 0
	}
	n := slots / len(members)
	for i, member := range members {
		if member == self && i < slots%len(members) {
			n++
		}
	}
	return n
}

// teamAllocation is the state of one team during allocation.
type teamAllocation struct {
	entitlement Entitlement
	poolTeams   []*poolTeamAllocation
	slots       int
}

// teamHeap orders teams by allocated slots relative to their share, fewest first.
type teamHeap []*teamAllocation

// Len returns the number of teams.
func (h teamHeap) Len() int { return len(h) }

// Less reports whether team i has fewer slots relative to its share than team j, with ties broken by name.
func (h teamHeap) Less(i, j int) bool {
	a := h[i].slots * max(1, h[j].entitlement.Share)
	b := h[j].slots * max(1, h[i].entitlement.Share)
	if a != b {
		return a < b
	}
	return h[i].entitlement.Team < h[j].entitlement.Team
}

// Swap exchanges two teams.
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a team.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamAllocation)) }

// Pop removes and returns the last team.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
