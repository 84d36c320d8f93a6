package machines

import (
	"maps"
	"testing"
)

func TestFairShare(t *testing.T) {
	tests := []struct {
		name          string
		needs, floors map[string]int
		total         int
		want          map[string]int
	}{
		{"enough for all", map[string]int{"a": 4, "b": 3}, nil, 9, map[string]int{"a": 4, "b": 3}},
		{"two short pools halve what there is", map[string]int{"a": 90, "b": 30}, nil, 20, map[string]int{"a": 10, "b": 10}},
		{"a small need is met whole", map[string]int{"a": 90, "b": 30, "c": 4}, nil, 24, map[string]int{"a": 10, "b": 10, "c": 4}},
		{"long-running tasks keep their capacity", map[string]int{"a": 90, "b": 90}, map[string]int{"b": 14}, 20, map[string]int{"a": 6, "b": 14}},
		{"an odd one goes to the larger need", map[string]int{"a": 9, "b": 90}, nil, 11, map[string]int{"a": 5, "b": 6}},
		{"less than the floors", map[string]int{"a": 9, "b": 9}, map[string]int{"a": 5, "b": 5}, 6, map[string]int{"a": 5, "b": 5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := fairShare(test.needs, test.floors, test.total); !maps.Equal(got, test.want) {
				t.Errorf("needs %v of %d instances: allocated %v, want %v", test.needs, test.total, got, test.want)
			}
		})
	}
}

// TestSecondSurge runs a surge that takes all free instances, and a second one in another pool during the first: both
// pools get about half, and a third pool keeps the few instances that it needs.
func TestSecondSurge(t *testing.T) {
	f := newFleet(map[string]int{"a": 8, "b": 8, "c": 4, "spare": 4})
	f.loads["a"] = Load{Demand: 500_000}
	f.loads["b"], f.loads["c"] = Load{Demand: 10_000}, Load{Demand: 40_000}
	f.play(20)
	if a, b, c := f.size("a"), f.size("b"), f.size("c"); a != 19 || b != 2 || c != 3 {
		t.Fatalf("the pool in need has %d instances, the others %d and %d", a, b, c)
	}
	f.loads["b"] = Load{Demand: 300_000}
	f.play(10)
	if a, b, c := f.size("a"), f.size("b"), f.size("c"); a < 10 || b < 10 || c != 3 {
		t.Errorf("the two pools in need have %d and %d instances, the third %d", a, b, c)
	}
}
