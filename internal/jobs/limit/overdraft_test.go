package limit

import (
	"slices"
	"testing"
)

// reportAll has all pools report one demand of team t, with changes for some of them.
func reportAll(a *Allocator, names []string, changed map[string]Demand) {
	for _, name := range names {
		d, ok := changed[name]
		if !ok {
			d = Demand{Allocation: 250, Ceiling: Ceiling{CPU: 2000}}
		}
		a.RecordDemand(name, 1, Demands{"t": d})
	}
}

// TestOverdraft guards against two pools that go beyond a limit by a task each, and against pools that never get their turn.
func TestOverdraft(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	ceiling := Ceiling{CPU: 2000}
	blocked := Demand{Requested: 1700, Allocation: 250, Unit: 1700, Task: 1700, Ceiling: ceiling}
	holding := blocked
	holding.Overdraft = true
	idleHolder := Demand{Allocation: 250, Overdraft: true, Ceiling: ceiling}
	over := Demand{Used: 1700, Requested: 1700, Allocation: 250, Overdraft: true, Ceiling: ceiling}
	tests := []struct {
		name string
		do   func(a *Allocator)
		want []string
	}{
		{"a pool has a task that does not fit", func(a *Allocator) { reportAll(a, names, map[string]Demand{"c": blocked}) }, []string{"c"}},
		{"another pool has the overdraft", func(a *Allocator) { reportAll(a, names, map[string]Demand{"a": idleHolder, "c": blocked}) }, nil},
		{"that pool has given it back", func(a *Allocator) {
			reportAll(a, names, map[string]Demand{"a": idleHolder, "c": blocked})
			a.Allocate(names)
			reportAll(a, names, map[string]Demand{"c": blocked})
		}, []string{"c"}},
		{"that pool does not report", func(a *Allocator) {
			reportAll(a, names, map[string]Demand{"a": holding, "c": blocked})
			for range 3 * maxHeldRounds {
				a.Allocate(names)
				reportAll(a, names[1:], map[string]Demand{"c": blocked})
			}
		}, nil},
		{"a pool has not reported since the allocator began", func(a *Allocator) { reportAll(a, names[1:], map[string]Demand{"c": blocked}) }, nil},
		{"a task runs beyond the limit", func(a *Allocator) { reportAll(a, names, map[string]Demand{"a": over, "c": blocked}) }, nil},
		{"a pool goes by another limit", func(a *Allocator) {
			other := Demand{Allocation: 250, Ceiling: Ceiling{CPU: 200_000}}
			reportAll(a, names, map[string]Demand{"a": other, "c": blocked})
		}, nil},
		{"the owner before reports late", func(a *Allocator) {
			a.RecordDemand("a", 2, Demands{"t": holding})
			reportAll(a, names, map[string]Demand{"c": blocked})
		}, []string{"a"}},
		{"nothing waits", func(a *Allocator) { reportAll(a, names, map[string]Demand{"b": idleHolder}) }, []string{"b"}},
		{"two pools wait", func(a *Allocator) {
			reportAll(a, names, map[string]Demand{"b": over})
			a.Allocate(names)
			reportAll(a, names, map[string]Demand{"b": blocked, "c": blocked})
		}, []string{"c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewAllocator()
			test.do(a)
			var got []string
			for name, g := range a.Allocate(names) {
				if _, granted := g.Overdrafts["t"]; granted {
					got = append(got, name)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("the overdraft goes to %v, want %v", got, test.want)
			}
		})
	}
}

// TestTasksFitIntoAllocations guards against allocations that are divided into parts in which no task fits, while two tasks fit into the
// limit.
func TestTasksFitIntoAllocations(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	a := NewAllocator()
	waiting := Demand{Requested: 2000, Allocation: Initial(4), Unit: 425, Task: 425, Ceiling: Ceiling{CPU: 4000}}
	reportAll(a, names, map[string]Demand{"a": waiting, "b": waiting, "c": waiting, "d": waiting})
	fit := 0
	for _, g := range a.Allocate(names) {
		if g.Allocations["t"] >= waiting.Unit {
			fit++
		}
	}
	if fit != 2 {
		t.Errorf("a task fits into %d allocations, want 2", fit)
	}
}

// TestOverdraftKeepsAllocations guards against allocations that fall in all pools while one task runs with an overdraft, so that nothing
// starts in place of what ends, and against starts while more than that is beyond the limit.
func TestOverdraftKeepsAllocations(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	ceiling := Ceiling{CPU: 60_000}
	busy := Demand{Used: 250, Requested: 2000, Allocation: 250, Unit: 28, Task: 28, Ceiling: ceiling}
	over := Demand{Used: 278, Requested: 2000, Allocation: 250, Unit: 28, Task: 28, Overdraft: true, Ceiling: ceiling}
	fallen := Demand{Used: 278, Requested: 2000, Allocation: 250, Unit: 28, Task: 28, Ceiling: ceiling}
	tests := []struct {
		name    string
		demands map[string]Demand
		want    int // smallest allocation of all pools
	}{
		{"one task runs with an overdraft", map[string]Demand{"a": over, "b": busy, "c": busy, "d": busy}, 222},
		{"tasks of all pools are beyond a limit that has fallen", map[string]Demand{"a": fallen, "b": fallen, "c": fallen, "d": fallen}, minAllocation},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewAllocator()
			reportAll(a, names, test.demands)
			smallest := FullLimit
			for _, g := range a.Allocate(names) {
				smallest = min(smallest, g.Allocations["t"])
			}
			if smallest < test.want || test.want == minAllocation && smallest != minAllocation {
				t.Errorf("the smallest allocation is %d, want %d", smallest, test.want)
			}
		})
	}
}
