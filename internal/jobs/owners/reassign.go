package owners

import (
	"net/netip"
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Thresholds of a Reassigner.
const (
	// heavierFactor is the ratio of weights from which a shard moves to a heavier member. A change of owner interrupts the
	// pool, which a smaller difference does not justify.
	heavierFactor = 2
	// SettleTime is the time for which a member has to be listed, and for which its process has to run, before it is
	// offered a shard. A member that returns every 2 s never gets one.
	SettleTime = 2500 * time.Millisecond
	// spreadTime is how long a shard whose place is with a member that has not settled waits for that member while another
	// one could take it. Members that return one after another so share the shards without further handovers.
	spreadTime = 2500 * time.Millisecond
	// reassignInterval is the time between two moves of a shard to a heavier member: three in 30 s at most.
	reassignInterval = 10 * time.Second
	// forgetTime is the time after which a member that is not listed is forgotten.
	forgetTime = time.Minute
)

// Reassigner decides which shards a member hands over to much heavier members. It serves members that took over shards
// while no heavier member was listed: after a cut of all members, or during a rolling restart. Unlike SurplusOffer it also
// moves the only shard of a member, and it does not wait until the group has stopped changing. In a group of equal
// weights it moves nothing.
//
// It holds what one instance has seen of the group; the zero value is not usable. It is not safe for concurrent use.
type Reassigner struct {
	members       map[netip.AddrPort]presence
	movedAt       map[string]time.Duration // when a shard last moved to a much heavier member
	takeableSince map[string]time.Duration // since when a settled member could have taken a shard of this instance
}

// presence is what is known of a member.
type presence struct {
	weight int
	listed bool
	since  time.Duration // when listed last changed, or when the member declined a shard
}

// NewReassigner returns a Reassigner that has seen nothing yet.
func NewReassigner() *Reassigner {
	return &Reassigner{members: map[netip.AddrPort]presence{}, movedAt: map[string]time.Duration{}, takeableSince: map[string]time.Duration{}}
}

// RecordMembers records the live members by the newest list.
func (r *Reassigner) RecordMembers(at time.Duration, alive []Member) {
	listed := id.Set[netip.AddrPort]{}
	for _, m := range alive {
		listed.Add(m.Address)
		p, known := r.members[m.Address]
		if !known || !p.listed {
			p.since = at
		}
		p.weight, p.listed = m.Weight, true
		r.members[m.Address] = p
	}
	for address, p := range r.members {
		switch {
		case listed.Has(address):
		case p.listed:
			r.members[address] = presence{weight: p.weight, since: at}
		case at >= p.since+forgetTime:
			delete(r.members, address)
		}
	}
}

// RecordOwner records that the owner of a shard has changed, by whatever cause.
func (r *Reassigner) RecordOwner(at time.Duration, shard string, from, to netip.AddrPort) {
	delete(r.takeableSince, shard)
	f, t := r.members[from], r.members[to]
	if f.weight > 0 && t.weight >= heavierFactor*f.weight {
		r.movedAt[shard] = at
	}
}

// RecordDecline records that a member has declined a shard or has not answered. It counts as listed from now on.
func (r *Reassigner) RecordDecline(at time.Duration, member netip.AddrPort) {
	if p, known := r.members[member]; known {
		p.since = at
		r.members[member] = p
	}
}

// Group is the state of the group that a decision is made on.
type Group struct {
	Shards []string
	Alive  []Member
	Table  Table
}

// Waits holds, for the shards of a member, how long their owner still waits for runs of earlier owners that no answer has
// shown. Successor is how long a successor waits at least.
type Waits struct {
	Remaining map[string]time.Duration // no entry: the owner does not wait
	Successor time.Duration
}

// lengthened reports whether a handover of a shard would prolong the wait. The successor waits for what is left of it or for
// Successor, whichever is longer.
func (w Waits) lengthened(shard string) bool {
	left := w.Remaining[shard]
	return left > 0 && left < w.Successor
}

// Offers returns the shards that member self is to hand over now, each with a much heavier member that has capacity for
// it. All members plan for all shards in the same order, so that two owners do not choose one member while another is free.
// Shards of the lightest owners go first, and of one owner those that come first in g.Shards.
func (r *Reassigner) Offers(at time.Duration, self Member, g Group, w Waits) []Offer {
	if !slices.ContainsFunc(g.Shards, func(shard string) bool { return g.Table[shard] == self.Address }) {
		return nil
	}
	counts := count(g.Shards, g.Alive, g.Table)
	var offers []Offer
	for _, s := range lightestFirst(g) {
		to, ok := leastLoaded(s.shard, heavierWithCapacity(s.owner, g.Alive, counts), counts)
		if ok && s.owner.Address == self.Address && !r.isSettled(at, to) {
			to, ok = r.settledInstead(at, s, g, counts, to)
		}
		if !ok {
			delete(r.takeableSince, s.shard)
			continue
		}
		counts[s.owner.Address]--
		counts[to.Address]++
		if s.owner.Address == self.Address && r.isSettled(at, to) && r.isDue(at, s.shard) && !w.lengthened(s.shard) {
			offers = append(offers, Offer{Shard: s.shard, To: to.Address})
		}
	}
	return offers
}

// settledInstead returns a settled member for a shard that has waited for planned long enough, else planned. It returns
// false if no settled member has capacity.
func (r *Reassigner) settledInstead(at time.Duration, s ownedShard, g Group, counts map[netip.AddrPort]int, planned Member) (Member, bool) {
	settled := slices.DeleteFunc(heavierWithCapacity(s.owner, g.Alive, counts), func(m Member) bool { return !r.isSettled(at, m) })
	to, ok := leastLoaded(s.shard, settled, counts)
	if !ok {
		return Member{}, false
	}
	since, waiting := r.takeableSince[s.shard]
	if !waiting {
		since = at
		r.takeableSince[s.shard] = at
	}
	if at < since+spreadTime {
		return planned, true
	}
	return to, true
}

// isSettled reports whether a member has been listed for SettleTime.
func (r *Reassigner) isSettled(at time.Duration, m Member) bool {
	p := r.members[m.Address]
	return p.listed && at >= p.since+SettleTime
}

// isDue reports whether a shard may move to a heavier member again.
func (r *Reassigner) isDue(at time.Duration, shard string) bool {
	moved, known := r.movedAt[shard]
	return !known || at >= moved+reassignInterval
}

// ownedShard is a shard with its live owner.
type ownedShard struct {
	shard string
	owner Member
}

// lightestFirst returns the shards that have live owners, those of the lightest owners first.
func lightestFirst(g Group) []ownedShard {
	members := make(map[netip.AddrPort]Member, len(g.Alive))
	for _, m := range g.Alive {
		members[m.Address] = m
	}
	var owned []ownedShard
	for _, shard := range g.Shards {
		if owner, live := members[g.Table[shard]]; live {
			owned = append(owned, ownedShard{shard: shard, owner: owner})
		}
	}
	slices.SortStableFunc(owned, func(a, b ownedShard) int { return a.owner.Weight - b.owner.Weight })
	return owned
}

// heavierWithCapacity returns the members much heavier than an owner that, with one more shard, own less for their weight
// than the owner does now. SurplusOffer never gives such a shard back. Equal loads stay where an election has put them.
func heavierWithCapacity(owner Member, alive []Member, counts map[netip.AddrPort]int) []Member {
	var heavier []Member
	for _, m := range alive {
		if m.Weight >= heavierFactor*owner.Weight && (counts[m.Address]+1)*owner.Weight < counts[owner.Address]*m.Weight {
			heavier = append(heavier, m)
		}
	}
	return heavier
}
