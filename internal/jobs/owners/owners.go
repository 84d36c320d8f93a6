package owners

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"marigoldshed.example/marigoldshed/common/id"
)

// Member is a live instance.
type Member struct {
	Address    netip.AddrPort
	Weight     int           // CPU that the member may use, in thousandths of a core
	DataCentre id.DataCentre // empty if the member did not name one
}

// String returns the member's name in the group.
func (m Member) String() string {
	return fmt.Sprintf("%s/%d/%s", m.Address, m.Weight, m.DataCentre)
}

// ParseMember parses a member's name. A missing or invalid weight counts as 1.
func ParseMember(name string) (Member, error) {
	address, rest, _ := strings.Cut(name, "/")
	weight, dataCentre, _ := strings.Cut(rest, "/")
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return Member{}, err
	}
	n, err := strconv.Atoi(weight)
	if err != nil || n < 1 {
		n = 1
	}
	return Member{Address: parsed, Weight: n, DataCentre: id.DataCentre(dataCentre)}, nil
}

// Table maps each shard to the address of its owner.
type Table map[string]netip.AddrPort

// Successors returns, for each shard without a live owner, the member that is to claim the shard: the one with the
// fewest shards for the square of its weight.
func Successors(shards []string, alive []Member, table Table) Table {
	return successorsBy(lessLoaded, shards, alive, table)
}

// loadOrder reports whether member a is to own a shard rather than b, given how many shards each member owns.
type loadOrder func(shard string, a, b Member, counts map[netip.AddrPort]int) bool

func successorsBy(less loadOrder, shards []string, alive []Member, table Table) Table {
	counts := count(shards, alive, table)
	chosen := Table{}
	for _, shard := range shards {
		if _, live := counts[table[shard]]; live {
			continue
		}
		if m, ok := leastBy(less, shard, alive, counts); ok {
			chosen[shard] = m.Address
			counts[m.Address]++
		}
	}
	return chosen
}

// count returns the number of shards that each live member owns.
func count(shards []string, alive []Member, table Table) map[netip.AddrPort]int {
	counts := make(map[netip.AddrPort]int, len(alive))
	for _, m := range alive {
		counts[m.Address] = 0
	}
	for _, shard := range shards {
		if _, live := counts[table[shard]]; live {
			counts[table[shard]]++
		}
	}
	return counts
}

// leastLoaded returns the member that would own the fewest shards for the square of its weight after taking one more. Ties are
// broken by a hash of the shard and the member.
func leastLoaded(shard string, alive []Member, counts map[netip.AddrPort]int) (Member, bool) {
	return leastBy(lessLoaded, shard, alive, counts)
}

func leastBy(less loadOrder, shard string, alive []Member, counts map[netip.AddrPort]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range alive {
		if !found || less(shard, m, best, counts) {
			best, found = m, true
		}
	}
	return best, found
}

// lessLoaded compares members by the shards for the square of their weights. One busy pool needs more than a light member has, so a light
// one takes a shard only when the heavy ones have many.
func lessLoaded(shard string, a, b Member, counts map[netip.AddrPort]int) bool {
	x, y := (counts[a.Address]+1)*b.Weight*b.Weight, (counts[b.Address]+1)*a.Weight*a.Weight
	if x != y {
		return x < y
	}
	return rank(shard, a) > rank(shard, b)
}

func rank(shard string, m Member) uint64 { return xxhash.Sum64String(shard + "@" + m.Address.String()) }

// Offer is a shard that its owner offers to another member.
type Offer struct {
	Shard string
	To    netip.AddrPort
}

// SurplusOffer returns a shard that member self should hand over to even out the load, or false. It offers a shard only
// if, relative to weight, self owns at least as many shards as the receiver would own with two more.
func SurplusOffer(self Member, shards []string, alive []Member, table Table) (Offer, bool) {
	counts := count(shards, alive, table)
	if counts[self.Address] < 2 {
		return Offer{}, false
	}
	var own []string
	for _, shard := range shards {
		if table[shard] == self.Address {
			own = append(own, shard)
		}
	}
	slices.Sort(own)
	shard := own[len(own)-1]
	to, ok := leastLoaded(shard, alive, counts)
	if !ok || to.Address == self.Address {
		return Offer{}, false
	}
	if counts[self.Address]*to.Weight < (counts[to.Address]+2)*self.Weight {
		return Offer{}, false
	}
	return Offer{Shard: shard, To: to.Address}, true
}

// HandoverOffers returns an offer for each shard of member self, which is stopping.
func HandoverOffers(self Member, shards []string, alive []Member, table Table) []Offer {
	others := slices.DeleteFunc(slices.Clone(alive), func(m Member) bool { return m.Address == self.Address })
	var offers []Offer
	for shard, to := range Successors(shards, others, table) {
		if table[shard] == self.Address {
			offers = append(offers, Offer{Shard: shard, To: to})
		}
	}
	slices.SortFunc(offers, func(a, b Offer) int { return strings.Compare(a.Shard, b.Shard) })
	return offers
}
