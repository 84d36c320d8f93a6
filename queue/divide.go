package queue

import (
	"container/heap"
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Claim is one member's demand of one team for slots of one pool.
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

// Right is what a team may have: a weight when slots are short, and never more than its limit.
type Right struct {
	Team  id.Team
	Share int // weight
	Limit int // slots
}

// Place names one team's work in one pool.
type Place struct {
	Pool id.Pool
	Team id.Team
}

// Division is one member's part of all pools.
type Division struct {
	Slots map[Place]int   // slots that a team's work may use here
	Slack map[id.Pool]int // further slots that any team's work may use here
}

// Divide returns a member's part of the slots. The slots of full pools go one by one to the team
// that has the least for its share over the whole fleet, up to its demand and limit; a team's part
// of a pool goes to members by demand, and what does not divide to those whose work waits longest.
// Slots that nobody asks for are spread over the members.
func Divide(self id.Member, members []id.Member, pools []Capacity, rights []Right, claims []Claim) Division {
	d := newDivider(pools, rights, claims)
	d.fill()
	division := Division{Slots: make(map[Place]int, len(d.places)), Slack: make(map[id.Pool]int, len(pools))}
	for _, p := range d.places {
		if n := part(self, p.granted, p.claims); n > 0 {
			division.Slots[p.place] = n
		}
	}
	for _, pool := range d.pools {
		division.Slack[pool.name] = even(self, members, pool.left)
	}
	return division
}

// poolFill is one pool while its slots are granted.
type poolFill struct {
	name id.Pool
	left int
}

// placeFill is one team's work in one pool while slots are granted.
type placeFill struct {
	place   Place
	pool    *poolFill
	need    int
	granted int
	claims  []Claim
}

// divider fills pools slot by slot.
type divider struct {
	pools  []*poolFill
	places []*placeFill
	teams  teamHeap
}

func newDivider(pools []Capacity, rights []Right, claims []Claim) *divider {
	d := &divider{}
	byPool := make(map[id.Pool]*poolFill, len(pools))
	for _, pool := range pools {
		fill := &poolFill{name: pool.Pool, left: pool.Slots}
		byPool[pool.Pool] = fill
		d.pools = append(d.pools, fill)
	}
	byTeam := map[id.Team][]*placeFill{}
	byPlace := map[Place]*placeFill{}
	for _, claim := range claims {
		place := Place{Pool: claim.Pool, Team: claim.Team}
		p, ok := byPlace[place]
		if !ok {
			if byPool[claim.Pool] == nil {
				continue
			}
			p = &placeFill{place: place, pool: byPool[claim.Pool]}
			byPlace[place] = p
			byTeam[claim.Team] = append(byTeam[claim.Team], p)
			d.places = append(d.places, p)
		}
		p.need += claim.Running + claim.Waiting
		p.claims = append(p.claims, claim)
	}
	for _, right := range rights {
		if places := byTeam[right.Team]; len(places) > 0 {
			sort.Slice(places, func(i, j int) bool { return places[i].place.Pool < places[j].place.Pool })
			d.teams = append(d.teams, &teamFill{right: right, places: places})
		}
	}
	heap.Init(&d.teams)
	return d
}

// fill grants slots until no team can take another.
func (d *divider) fill() {
	for len(d.teams) > 0 {
		team := d.teams[0]
		p := team.next()
		if p == nil {
			heap.Pop(&d.teams)
			continue
		}
		p.granted++
		p.need--
		p.pool.left--
		team.slots++
		heap.Fix(&d.teams, 0)
	}
}

// next returns the place with the most free slots among those that the team still asks for, or nil.
func (t *teamFill) next() *placeFill {
	if t.slots >= t.right.Limit {
		return nil
	}
	var best *placeFill
	for _, p := range t.places {
		if p.need > 0 && p.pool.left > 0 && (best == nil || p.pool.left > best.pool.left) {
			best = p
		}
	}
	return best
}

// part returns a member's part of the slots that a team was granted in a pool.
func part(self id.Member, slots int, claims []Claim) int {
	total := 0
	for _, claim := range claims {
		total += claim.Running + claim.Waiting
	}
	if total <= slots {
		slots = total
	}
	mine := 0
	rest := slots
	for _, claim := range claims {
		n := slots * (claim.Running + claim.Waiting) / max(1, total)
		rest -= n
		if claim.Member == self {
			mine = n
		}
	}
	if rest == 0 {
		return mine
	}
	order := append([]Claim(nil), claims...)
	sort.Slice(order, func(i, j int) bool {
		if order[i].Oldest != order[j].Oldest {
			return order[i].Oldest > order[j].Oldest
		}
		return order[i].Member < order[j].Member
	})
	for i := 0; i < rest && i < len(order); i++ {
		if order[i].Member == self {
			mine++
		}
	}
	return mine
}

// even returns a member's part of slots that are spread evenly.
func even(self id.Member, members []id.Member, slots int) int {
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

// teamFill is one team while slots are granted.
type teamFill struct {
	right  Right
	places []*placeFill
	slots  int
}

// teamHeap orders teams by what they have for their share, least first.
type teamHeap []*teamFill

// Len returns the number of teams.
func (h teamHeap) Len() int { return len(h) }

// Less reports whether one team has less for its share than another.
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
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamFill)) }

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
