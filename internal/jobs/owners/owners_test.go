package owners

import (
	"fmt"
	"net/netip"
	"testing"
)

func member(n, weight int) Member {
	return Member{Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:7000", n)), Weight: weight}
}

var someUnits = []string{"a", "b", "c", "d", "fleet"}

func TestSuccessors(t *testing.T) {
	one, two, three := member(1, 400), member(2, 400), member(3, 400)
	tests := []struct {
		name  string
		alive []Member
		table Table
		want  map[netip.AddrPort]int // units after the claims
	}{
		{"nobody owns anything", []Member{one, two, three}, Table{}, map[netip.AddrPort]int{one.Address: -1, two.Address: -1, three.Address: -1}},
		{"live owners stay", []Member{one, two}, Table{"a": one.Address, "b": one.Address, "c": one.Address, "d": one.Address, "fleet": one.Address},
			map[netip.AddrPort]int{one.Address: 5}},
		{"units of the dead go to those with the least", []Member{one, two},
			Table{"a": one.Address, "b": one.Address, "c": one.Address, "d": three.Address, "fleet": three.Address},
			map[netip.AddrPort]int{one.Address: 3, two.Address: 2}},
		{"weights count", []Member{member(1, 800), member(2, 200)}, Table{}, map[netip.AddrPort]int{one.Address: 4, two.Address: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := Table{}
			for unit, owner := range test.table {
				table[unit] = owner
			}
			for unit, owner := range Successors(someUnits, test.alive, test.table) {
				table[unit] = owner
			}
			counts := count(someUnits, test.alive, table)
			total := 0
			for owner, n := range counts {
				total += n
				if want, ok := test.want[owner]; ok && want >= 0 && want != n {
					t.Errorf("%v owns %d units, not %d", owner, n, want)
				}
				if want := test.want[owner]; want == -1 && (n < 1 || n > 2) {
					t.Errorf("%v owns %d units of 5 among 3", owner, n)
				}
			}
			if total != len(someUnits) {
				t.Errorf("%d of %d units have a live owner", total, len(someUnits))
			}
		})
	}
}

// TestSuccessorsDoNotDependOnOrder has members that list each other in another order choose alike.
func TestSuccessorsDoNotDependOnOrder(t *testing.T) {
	a := Successors(someUnits, []Member{member(1, 400), member(2, 300), member(3, 400)}, Table{})
	b := Successors(someUnits, []Member{member(3, 400), member(1, 400), member(2, 300)}, Table{})
	for unit, owner := range a {
		if b[unit] != owner {
			t.Errorf("unit %s goes to %v and to %v", unit, owner, b[unit])
		}
	}
}

func TestSurplus(t *testing.T) {
	one, two := member(1, 400), member(2, 400)
	all := Table{"a": one.Address, "b": one.Address, "c": one.Address, "d": one.Address, "fleet": one.Address}
	tests := []struct {
		name  string
		table Table
		alive []Member
		give  bool
	}{
		{"one has all", all, []Member{one, two}, true},
		{"nobody else lives", all, []Member{one}, false},
		{"nearly level", Table{"a": one.Address, "b": one.Address, "c": one.Address, "d": two.Address, "fleet": two.Address}, []Member{one, two}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			offer, give := Surplus(one, someUnits, test.alive, test.table)
			if give != test.give {
				t.Fatalf("offers %v: %v, not %v", offer, give, test.give)
			}
			if give && (offer.To != two.Address || test.table[offer.Unit] != one.Address) {
				t.Errorf("offers %v", offer)
			}
		})
	}
}

func TestHandoverLeavesNothingBehind(t *testing.T) {
	one, two, three := member(1, 400), member(2, 400), member(3, 400)
	table := Table{"a": one.Address, "b": one.Address, "c": two.Address, "d": three.Address, "fleet": one.Address}
	offers := Handover(one, someUnits, []Member{one, two, three}, table)
	if len(offers) != 3 {
		t.Fatalf("%d units are handed over, not 3: %v", len(offers), offers)
	}
	for _, o := range offers {
		if o.To == one.Address {
			t.Errorf("%v goes to the member that stops", o)
		}
	}
}

func TestMemberNames(t *testing.T) {
	tests := []struct {
		name string
		want Member
		bad  bool
	}{
		{"127.0.0.1:7000/400", member(1, 400), false},
		{"127.0.0.1:7000", member(1, 1), false},
		{"127.0.0.1:7000/x", member(1, 1), false},
		{"somebody", Member{}, true},
	}
	for _, test := range tests {
		got, err := ParseMember(test.name)
		if (err != nil) != test.bad || got != test.want {
			t.Errorf("%q is %v, %v", test.name, got, err)
		}
	}
}
