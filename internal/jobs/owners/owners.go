package owners

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is a live instance.
type Member struct {
	Address netip.AddrPort
	Weight  int // thousandths of a core that it may use
}

// String returns the member's name in the group.
func (m Member) String() string { return fmt.Sprintf("%s/%d", m.Address, m.Weight) }

// ParseMember reads a member's name.
func ParseMember(name string) (Member, error) {
	address, weight, _ := strings.Cut(name, "/")
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return Member{}, err
	}
	n, err := strconv.Atoi(weight)
	if err != nil || n < 1 {
		n = 1
	}
	return Member{Address: parsed, Weight: n}, nil
}

// Table is who owns which unit.
type Table map[string]netip.AddrPort

// Successors returns for each unit without a live owner the member that is to claim it: the one with the
// fewest units for its weight.
func Successors(units []string, alive []Member, table Table) Table {
	counts := count(units, alive, table)
	chosen := Table{}
	for _, unit := range units {
		if _, lives := counts[table[unit]]; lives {
			continue
		}
		if m, ok := lightest(unit, alive, counts); ok {
			chosen[unit] = m.Address
			counts[m.Address]++
		}
	}
	return chosen
}

// count returns how many units each live member owns.
func count(units []string, alive []Member, table Table) map[netip.AddrPort]int {
	counts := make(map[netip.AddrPort]int, len(alive))
	for _, m := range alive {
		counts[m.Address] = 0
	}
	for _, unit := range units {
		if _, lives := counts[table[unit]]; lives {
			counts[table[unit]]++
		}
	}
	return counts
}

// lightest returns the member that would carry the least for its weight with one more unit; a hash of
// the unit and the member decides among equals.
func lightest(unit string, alive []Member, counts map[netip.AddrPort]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range alive {
		if !found || lighter(unit, m, best, counts) {
			best, found = m, true
		}
	}
	return best, found
}

func lighter(unit string, a, b Member, counts map[netip.AddrPort]int) bool {
	x, y := (counts[a.Address]+1)*b.Weight, (counts[b.Address]+1)*a.Weight
	if x != y {
		return x < y
	}
	return rank(unit, a) > rank(unit, b)
}

func rank(unit string, m Member) uint64 { return xxhash.Sum64String(unit + "@" + m.Address.String()) }

// Offer is a unit that its owner hands to another member.
type Offer struct {
	Unit string
	To   netip.AddrPort
}

// Surplus returns a unit that a member should hand over because it owns at least two more for its weight
// than another would with it, or false.
func Surplus(self Member, units []string, alive []Member, table Table) (Offer, bool) {
	counts := count(units, alive, table)
	if counts[self.Address] < 2 {
		return Offer{}, false
	}
	var own []string
	for _, unit := range units {
		if table[unit] == self.Address {
			own = append(own, unit)
		}
	}
	slices.Sort(own)
	unit := own[len(own)-1]
	to, ok := lightest(unit, alive, counts)
	if !ok || to.Address == self.Address {
		return Offer{}, false
	}
	if counts[self.Address]*to.Weight < (counts[to.Address]+2)*self.Weight {
		return Offer{}, false
	}
	return Offer{Unit: unit, To: to.Address}, true
}

// Handover returns to whom each unit of a member goes that stops.
func Handover(self Member, units []string, alive []Member, table Table) []Offer {
	others := slices.DeleteFunc(slices.Clone(alive), func(m Member) bool { return m.Address == self.Address })
	var offers []Offer
	for unit, to := range Successors(units, others, table) {
		if table[unit] == self.Address {
			offers = append(offers, Offer{Unit: unit, To: to})
		}
	}
	slices.SortFunc(offers, func(a, b Offer) int { return strings.Compare(a.Unit, b.Unit) })
	return offers
}
