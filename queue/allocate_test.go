package queue

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"marigoldshed.example/marigoldshed/common/id"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result; -rapid.seed changes it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestAllocateFollowsShares(t *testing.T) {
	tests := []struct {
		name         string
		entitlements []Entitlement
		demands      []Demand
		want         map[id.Team]int
	}{
		{"by share", []Entitlement{{"a", 3, 100}, {"b", 1, 100}}, []Demand{
			{Member: "m", Pool: "p", Team: "a", Waiting: 100}, {Member: "m", Pool: "p", Team: "b", Waiting: 100},
		}, map[id.Team]int{"a": 30, "b": 10}},
		{"unused share is lent", []Entitlement{{"a", 3, 100}, {"b", 1, 100}}, []Demand{
			{Member: "m", Pool: "p", Team: "a", Waiting: 5}, {Member: "m", Pool: "p", Team: "b", Waiting: 100},
		}, map[id.Team]int{"a": 5, "b": 35}},
		{"never above a limit", []Entitlement{{"a", 3, 8}, {"b", 1, 100}}, []Demand{
			{Member: "m", Pool: "p", Team: "a", Waiting: 100}, {Member: "m", Pool: "p", Team: "b", Waiting: 100},
		}, map[id.Team]int{"a": 8, "b": 32}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			allocation := Allocate("m", []id.Member{"m"}, []Capacity{{"p", 40}}, tt.entitlements, tt.demands)
			for team, want := range tt.want {
				if got := allocation.Slots[PoolTeam{"p", team}]; got != want {
					t.Errorf("team %s gets %d slots, want %d", team, got, want)
				}
			}
		})
	}
}

// TestAllocationsAddUp checks that members which see the same reports allocate every slot exactly once.
func TestAllocationsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []id.Member{"m1", "m2", "m3"}
		teams := []id.Team{"a", "b", "c"}
		pools := []Capacity{{"p", rapid.IntRange(0, 40).Draw(t, "p")}, {"q", rapid.IntRange(0, 40).Draw(t, "q")}}
		var entitlements []Entitlement
		for _, team := range teams {
			entitlements = append(entitlements, Entitlement{team, rapid.IntRange(1, 9).Draw(t, "share"), rapid.IntRange(0, 60).Draw(t, "limit")})
		}
		var demands []Demand
		for _, m := range members {
			for _, team := range teams {
				for _, pool := range pools {
					demands = append(demands, Demand{Member: m, Pool: pool.Pool, Team: team, Waiting: rapid.IntRange(0, 30).Draw(t, "waiting")})
				}
			}
		}
		allocated := map[id.Pool]int{}
		perTeam := map[id.Team]int{}
		slack := map[id.Pool]int{}
		for _, m := range members {
			allocation := Allocate(m, members, pools, entitlements, demands)
			for poolTeam, n := range allocation.Slots {
				allocated[poolTeam.Pool] += n
				perTeam[poolTeam.Team] += n
			}
			for pool, n := range allocation.Slack {
				slack[pool] += n
			}
		}
		for _, pool := range pools {
			if allocated[pool.Pool]+slack[pool.Pool] != pool.Slots {
				t.Fatalf("pool %s of %d slots was divided into %d allocated slots and %d slack slots", pool.Pool, pool.Slots, allocated[pool.Pool], slack[pool.Pool])
			}
		}
		for _, entitlement := range entitlements {
			if perTeam[entitlement.Team] > entitlement.Limit {
				t.Fatalf("team %s got %d slots, its limit is %d", entitlement.Team, perTeam[entitlement.Team], entitlement.Limit)
			}
		}
	})
}

// BenchmarkDivide allocates the slots of the two-year target: 910 workers, 79 pools, 65 teams, 20 members.
func BenchmarkDivide(b *testing.B) {
	var members []id.Member
	var pools []Capacity
	var entitlements []Entitlement
	var demands []Demand
	for m := range 20 {
		members = append(members, id.Member(rune('a'+m)))
	}
	for p := range 79 {
		pools = append(pools, Capacity{id.Pool(rune('A' + p)), 92})
	}
	for n := range 65 {
		team := id.Team(rune('A' + n))
		entitlements = append(entitlements, Entitlement{team, 1 + n%5, 200})
		for k := range 3 {
			for _, m := range members {
				demands = append(demands, Demand{Member: m, Pool: pools[(n+k*7)%79].Pool, Team: team, Waiting: 4, Running: 2})
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Allocate(members[0], members, pools, entitlements, demands)
	}
}
