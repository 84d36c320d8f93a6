package queue

import (
	"container/heap"
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Claim is the demand of one team at one member for slots of one pool.
type Claim struct {
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

// Right is a team's entitlement: its weight when slots are scarce, and its upper limit.
type Right struct {
	Team  id.Team
	Share int // weight
	Limit int // slots
}

// Place identifies one team's work in one pool.
type Place struct {
	Pool id.Pool
	Team id.Team
}

// Division is one member's allocation in all pools.
type Division struct {
	Slots map[Place]int   // slots that a team's work may use here
	Slack map[id.Pool]int // further slots that any team's work may use here
}

// Divide returns a member's allocation. Slots are allocated one by one to the team that has the fewest
// relative to its share over the whole fleet, up to its demand and limit. A team's allocation in a pool
// is divided among members by demand, and the remainder goes to the members whose work has waited longest.
// Slots that no team requests are spread evenly over the members.
func Divide(self id.Member, members []id.Member, pools []Capacity, rights []Right, claims []Claim) Division {
	d := newAllocator(pools, rights, claims)
	d.allocate()
	division := Division{Slots: make(map[Place]int, len(d.places)), Slack: make(map[id.Pool]int, len(pools))}
	for _, p := range d.places {
		if n := memberAllocation(self, p.granted, p.claims); n > 0 {
			division.Slots[p.place] = n
		}
	}
	for _, pool := range d.pools {
		division.Slack[pool.name] = evenAllocation(self, members, pool.free)
	}
	return division
}

// poolAllocation is the state of one pool during allocation.
type poolAllocation struct {
	name id.Pool
	free int
}

// placeAllocation is the state of one team's work in one pool during allocation.
type placeAllocation struct {
	place   Place
	pool    *poolAllocation
	demand  int
	granted int
	claims  []Claim
}

// allocator allocates the slots of pools one by one.
type allocator struct {
	pools  []*poolAllocation
	places []*placeAllocation
	teams  teamHeap
}

func newAllocator(pools []Capacity, rights []Right, claims []Claim) *allocator {
	d := &allocator{}
	byPool := make(map[id.Pool]*poolAllocation, len(pools))
	for _, pool := range pools {
		fill := &poolAllocation{name: pool.Pool, free: pool.Slots}
		byPool[pool.Pool] = fill
		d.pools = append(d.pools, fill)
	}
	byTeam := map[id.Team][]*placeAllocation{}
	byPlace := map[Place]*placeAllocation{}
	for _, claim := range claims {
		place := Place{Pool: claim.Pool, Team: claim.Team}
		p, ok := byPlace[place]
		if !ok {
			if byPool[claim.Pool] == nil {
				continue
			}
			p = &placeAllocation{place: place, pool: byPool[claim.Pool]}
			byPlace[place] = p
			byTeam[claim.Team] = append(byTeam[claim.Team], p)
			d.places = append(d.places, p)
		}
		p.demand += claim.Running + claim.Waiting
		p.claims = append(p.claims, claim)
	}
	for _, right := range rights {
		if places := byTeam[right.Team]; len(places) > 0 {
			sort.Slice(places, func(i, j int) bool { return places[i].place.Pool < places[j].place.Pool })
			d.teams = append(d.teams, &teamAllocation{right: right, places: places})
		}
	}
	heap.Init(&d.teams)
	return d
}

// allocate allocates slots until no team can use another.
func (d *allocator) allocate() {
	for len(d.teams) > 0 {
		team := d.teams[0]
		p := team.next()
		if p == nil {
			heap.Pop(&d.teams)
			continue
		}
		p.granted++
		p.demand--
		p.pool.free--
		team.slots++
		heap.Fix(&d.teams, 0)
	}
}

// next returns the place with the most free slots among those where the team has unmet demand, or nil.
func (t *teamAllocation) next() *placeAllocation {
	if t.slots >= t.right.Limit {
		return nil
	}
	var best *placeAllocation
	for _, p := range t.places {
		if p.demand > 0 && p.pool.free > 0 && (best == nil || p.pool.free > best.pool.free) {
			best = p
		}
	}
	return best
}

// memberAllocation returns a member's part of the slots that a team was allocated in a pool.
func memberAllocation(self id.Member, slots int, claims []Claim) int {
	total := 0
	for _, claim := range claims {
		total += claim.Running + claim.Waiting
	}
	if total <= slots {
		slots = total
	}
	mine := 0
	remainder := slots
	for _, claim := range claims {
		n := slots * (claim.Running + claim.Waiting) / max(1, total)
		remainder -= n
		if claim.Member == self {
			mine = n
		}
	}
	if remainder == 0 {
		return mine
	}
	order := append([]Claim(nil), claims...)
	sort.Slice(order, func(i, j int) bool {
		if order[i].Oldest != order[j].Oldest {
			return order[i].Oldest > order[j].Oldest
		}
		return order[i].Member < order[j].Member
	})
	for i := 0; i < remainder && i < len(order); i++ {
		if order[i].Member == self {
			mine++
		}
	}
	return mine
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
	right  Right
	places []*placeAllocation
	slots  int
}

// teamHeap orders teams by allocated slots relative to their share, fewest first.
type teamHeap []*teamAllocation

// Len returns the number of teams.
func (h teamHeap) Len() int { return len(h) }

// Less reports whether team i has fewer slots relative to its share than team j, with ties broken by name.
func (h teamHeap) Less(i, j int) bool {
	a := h[i].slots * max(1, h[j].right.Share)
	b := h[j].slots * max(1, h[i].right.Share)
	if a != b {
		return a < b
	}
	return h[i].right.Team < h[j].right.Team
}

// Swap exchanges two teams.
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a team.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamAllocation)) }

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
