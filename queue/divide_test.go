package queue

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"marigoldshed.example/marigoldshed/common/id"
)

// TestMain fixes the seed of properties, so that every run gives the same verdict; -rapid.seed changes it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestDivideFollowsShares(t *testing.T) {
	tests := []struct {
		name   string
		rights []Right
		claims []Claim
		want   map[id.Team]int
	}{
		{"by share", []Right{{"a", 3, 100}, {"b", 1, 100}}, []Claim{
			{Member: "m", Pool: "p", Team: "a", Waiting: 100}, {Member: "m", Pool: "p", Team: "b", Waiting: 100},
		}, map[id.Team]int{"a": 30, "b": 10}},
		{"unused share is lent", []Right{{"a", 3, 100}, {"b", 1, 100}}, []Claim{
			{Member: "m", Pool: "p", Team: "a", Waiting: 5}, {Member: "m", Pool: "p", Team: "b", Waiting: 100},
		}, map[id.Team]int{"a": 5, "b": 35}},
		{"never above a limit", []Right{{"a", 3, 8}, {"b", 1, 100}}, []Claim{
			{Member: "m", Pool: "p", Team: "a", Waiting: 100}, {Member: "m", Pool: "p", Team: "b", Waiting: 100},
		}, map[id.Team]int{"a": 8, "b": 32}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Divide("m", []id.Member{"m"}, []Capacity{{"p", 40}}, tt.rights, tt.claims)
			for team, want := range tt.want {
				if got := d.Slots[Place{"p", team}]; got != want {
					t.Errorf("team %s gets %d slots, want %d", team, got, want)
				}
			}
		})
	}
}

// TestPartsAddUp checks that members which see the same reports allocate every slot exactly once.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []id.Member{"m1", "m2", "m3"}
		teams := []id.Team{"a", "b", "c"}
		pools := []Capacity{{"p", rapid.IntRange(0, 40).Draw(t, "p")}, {"q", rapid.IntRange(0, 40).Draw(t, "q")}}
		var rights []Right
		for _, team := range teams {
			rights = append(rights, Right{team, rapid.IntRange(1, 9).Draw(t, "share"), rapid.IntRange(0, 60).Draw(t, "limit")})
		}
		var claims []Claim
		for _, m := range members {
			for _, team := range teams {
				for _, pool := range pools {
					claims = append(claims, Claim{Member: m, Pool: pool.Pool, Team: team, Waiting: rapid.IntRange(0, 30).Draw(t, "waiting")})
				}
			}
		}
		used := map[id.Pool]int{}
		perTeam := map[id.Team]int{}
		slack := map[id.Pool]int{}
		for _, m := range members {
			d := Divide(m, members, pools, rights, claims)
			for place, n := range d.Slots {
				used[place.Pool] += n
				perTeam[place.Team] += n
			}
			for pool, n := range d.Slack {
				slack[pool] += n
			}
		}
		for _, pool := range pools {
			if used[pool.Pool]+slack[pool.Pool] != pool.Slots {
				t.Fatalf("pool %s of %d slots was divided into %d and %d", pool.Pool, pool.Slots, used[pool.Pool], slack[pool.Pool])
			}
		}
		for _, right := range rights {
			if perTeam[right.Team] > right.Limit {
				t.Fatalf("team %s got %d slots, its limit is %d", right.Team, perTeam[right.Team], right.Limit)
			}
		}
	})
}

// BenchmarkDivide divides the slots of the two-year target: 910 workers, 79 pools, 65 teams, 20 members.
func BenchmarkDivide(b *testing.B) {
	var members []id.Member
	var pools []Capacity
	var rights []Right
	var claims []Claim
	for m := range 20 {
		members = append(members, id.Member(rune('a'+m)))
	}
	for p := range 79 {
		pools = append(pools, Capacity{id.Pool(rune('A' + p)), 92})
	}
	for n := range 65 {
		team := id.Team(rune('A' + n))
		rights = append(rights, Right{team, 1 + n%5, 200})
		for k := range 3 {
			for _, m := range members {
				claims = append(claims, Claim{Member: m, Pool: pools[(n+k*7)%79].Pool, Team: team, Waiting: 4, Running: 2})
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Divide(members[0], members, pools, rights, claims)
	}
}
