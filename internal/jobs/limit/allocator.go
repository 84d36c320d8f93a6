package limit

import (
	"maps"
	"slices"
)

// Whole is all of a team's limit; parts of it are counted in thousandths, so that a new limit is in force at once.
const Whole = 1000

// floorShare is the share of its even part that every pool keeps, so that its first tasks need not wait.
const floorShare = 4

// Floor returns the part that a pool has of every team's limit as long as nothing else was dealt to it.
func Floor(pools int) int { return max(1, Whole/floorShare/max(1, pools)) }

// Claim is how a team stands in one pool, in thousandths of its limit.
type Claim struct {
	Used int `cbor:"1,keyasint,omitempty"` // by runs that exist or may exist
	Wish int `cbor:"2,keyasint,omitempty"` // by these and the tasks that could start
	Part int `cbor:"3,keyasint,omitempty"` // the most that the pool lets the team use
}

// Claims are the claims of the teams in one pool.
type Claims map[string]Claim

// Parts are the parts of the teams' limits that one pool may use.
type Parts map[string]int

// Dealer deals the limits out again and again. A pool's part rises only by what no other pool may use any more: neither
// by a part that it was given and may still hold, nor by runs beyond its part.
type Dealer struct {
	heard map[string]Claims         // newest by pool
	bound map[string]map[string]int // most that a pool may use, by pool and team
}

// NewDealer returns a dealer that has heard of no pool.
func NewDealer() *Dealer {
	return &Dealer{heard: map[string]Claims{}, bound: map[string]map[string]int{}}
}

// Hear takes in the claims of a pool that has taken over the newest parts dealt to it.
func (d *Dealer) Hear(pool string, claims Claims) {
	d.heard[pool] = claims
	bound := map[string]int{}
	for team, c := range claims {
		bound[team] = max(c.Part, c.Used)
	}
	d.bound[pool] = bound
}

// Deal returns the parts of all pools, or nil until each of them was heard; all of them count as given from now on.
func (d *Dealer) Deal(pools []string) map[string]Parts {
	maps.DeleteFunc(d.heard, func(pool string, _ Claims) bool { return !slices.Contains(pools, pool) })
	maps.DeleteFunc(d.bound, func(pool string, _ map[string]int) bool { return !slices.Contains(pools, pool) })
	teams := map[string]bool{}
	for _, pool := range pools {
		claims, heard := d.heard[pool]
		if !heard {
			return nil
		}
		for team := range claims {
			teams[team] = true
		}
	}
	dealt := map[string]Parts{}
	for _, pool := range pools {
		dealt[pool] = Parts{}
	}
	for team := range teams {
		for pool, part := range d.dealTeam(pools, team) {
			dealt[pool][team] = part
			d.bound[pool][team] = max(d.bound[pool][team], part)
		}
	}
	return dealt
}

// dealTeam lowers parts to their targets and raises others by what is surely free.
func (d *Dealer) dealTeam(pools []string, team string) map[string]int {
	free := Whole
	for _, pool := range pools {
		free -= d.boundOf(pool, team, len(pools))
	}
	targets := d.targets(pools, team)
	for pool, target := range targets {
		bound := d.boundOf(pool, team, len(pools))
		rise := min(max(0, free), max(0, target-bound))
		free -= rise
		targets[pool] = min(target, bound+rise)
	}
	return targets
}

// boundOf returns the most that a pool may use; one that has not named a team has the floor of its limit.
func (d *Dealer) boundOf(pool, team string, pools int) int {
	if bound, ok := d.bound[pool][team]; ok {
		return bound
	}
	return Floor(pools)
}

// targets returns the parts that the pools should have: small wishes are met whole, large ones get equal parts of the
// rest, none falls below the floor, and what nobody wishes for is spread evenly.
func (d *Dealer) targets(pools []string, team string) map[string]int {
	floor := Floor(len(pools))
	wishes := make([]int, len(pools))
	for i, pool := range pools {
		wishes[i] = min(Whole, max(floor, d.heard[pool][team].Wish))
	}
	targets := map[string]int{}
	order := make([]int, len(pools))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return wishes[a] - wishes[b] })
	left := Whole
	for n, i := range order {
		part := min(wishes[i], left/(len(pools)-n))
		targets[pools[i]] = part
		left -= part
	}
	for i := range pools {
		targets[pools[i]] += left / len(pools)
	}
	return targets
}
