package machines

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// fleet is a set of instances whose pools report the loads that a test sets.
type fleet struct {
	planner     *Planner
	now         time.Duration
	instances   []catalog.Instance
	loads       map[string]Load
	busy        map[string]int // thousandths of a core in use by worker
	longRunning map[string]int
	moved       int
}

func newFleet(sizes map[string]int) *fleet {
	f := &fleet{planner: NewPlanner(), now: time.Hour, loads: map[string]Load{}, busy: map[string]int{}, longRunning: map[string]int{}}
	pools := make([]string, 0, len(sizes))
	for pool := range sizes {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	for _, pool := range pools {
		for i := range sizes[pool] {
			name := fmt.Sprintf("%s%d", pool, i)
			f.instances = append(f.instances, catalog.Instance{
				Name: name, Pool: pool, State: catalog.Up, Worker: "w-" + name, Capacity: catalog.Resources{CPU: 16000, MemoryMB: 64000},
			})
		}
		if pool != "spare" {
			f.loads[pool] = Load{}
		}
	}
	return f
}

// tick runs one round with the loads of the pools and returns the planner's decisions.
func (f *fleet) tick() Plan {
	f.now += 200 * time.Millisecond
	loads := map[string]Load{}
	for pool, load := range f.loads {
		load.Hosts = nil
		for _, m := range f.instances {
			if m.Pool == pool && m.State == catalog.Up {
				_, leaves := f.planner.draining[m.Name]
				load.Hosts = append(load.Hosts, Host{
					Worker: m.Worker, Used: f.busy[m.Worker], LongRunning: f.longRunning[m.Worker], Usable: !leaves, Empty: leaves && f.busy[m.Worker] == 0,
				})
			}
		}
		loads[pool] = load
	}
	return f.planner.Tick(Input{
		Now: f.now, Listed: f.now, Instances: f.instances, Loads: loads, Spare: "spare", Evacuated: id.Set[id.DataCentre]{},
	})
}

// complete completes the moves of a plan at once and counts them.
func (f *fleet) complete(plan Plan) {
	for _, a := range plan.Actions {
		move, ok := a.(MoveAction)
		if !ok {
			continue
		}
		f.moved++
		for i := range f.instances {
			if f.instances[i].Name == move.Instance {
				f.instances[i].Pool = move.Pool
				f.instances[i].Worker += "'"
			}
		}
		f.planner.RecordMove(f.now, move, Completed)
	}
}

// play runs rounds whose moves are completed at once.
func (f *fleet) play(rounds int) {
	for range rounds {
		f.complete(f.tick())
	}
}

func (f *fleet) size(pool string) int {
	count := 0
	for _, m := range f.instances {
		if m.Pool == pool {
			count++
		}
	}
	return count
}

func TestNothingMovesBeforeWorkComes(t *testing.T) {
	f := newFleet(map[string]int{"a": 4, "b": 4, "spare": 3})
	f.play(20)
	if f.moved != 0 {
		t.Errorf("%d instances moved", f.moved)
	}
}

// TestSurgeTakesFreeInstances runs a surge in one pool while the other is idle: the busy pool gets the instances that
// are off and those that the other does not need, and releases them after the surge.
func TestSurgeTakesFreeInstances(t *testing.T) {
	f := newFleet(map[string]int{"a": 4, "b": 6, "spare": 2})
	f.loads["a"] = Load{Demand: 100_000}
	f.play(10)
	if got := f.size("a"); got != 7 {
		t.Errorf("the busy pool has %d instances, want 7", got)
	}
	f.loads["a"] = Load{Demand: 4000}
	f.play(30)
	if a, b := f.size("a"), f.size("b"); a != minInstances || b != minInstances {
		t.Errorf("idle pools have %d and %d instances, not %d", a, b, minInstances)
	}
}

func TestShortPoolTakesWhatAnotherJustNeeded(t *testing.T) {
	f := newFleet(map[string]int{"a": 2, "b": 8, "spare": 0})
	f.loads["b"] = Load{Demand: 110_000}
	f.complete(f.tick())
	f.loads["b"] = Load{Demand: 10_000}
	f.loads["a"] = Load{Demand: 100_000}
	f.play(4)
	if got := f.size("a"); got != 7 {
		t.Errorf("the busy pool has %d instances after 0.8 s, want 7", got)
	}
}

func TestRoomForTasksThatAreSpread(t *testing.T) {
	tests := []struct {
		name string
		load Load
		want int
	}{
		{"few tasks of a step on one worker", Load{Demand: 1, MinWorkers: 3}, 3},
		{"memory", Load{Demand: 1, Memory: 230_000}, 4},
		{"a task that found no worker", Load{Demand: 1, Unplaceable: 1}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(map[string]int{"a": 2, "spare": 4})
			f.loads["a"] = test.load
			f.complete(f.tick())
			if got := f.size("a"); got != test.want {
				t.Errorf("the pool has %d instances, not %d", got, test.want)
			}
		})
	}
}

// TestWave checks that a wave maintains each instance once, only when empty, and within its limit of instances at once.
func TestWave(t *testing.T) {
	f := newFleet(map[string]int{"a": 4, "b": 4, "spare": 2})
	for pool := range f.loads {
		f.loads[pool] = Load{Demand: 40_000}
	}
	for _, m := range f.instances {
		f.busy[m.Worker] = 5000
	}
	var names []string
	for _, m := range f.instances {
		names = append(names, m.Name)
	}
	f.planner.AddWave(f.now, catalog.Wave{Number: 1, Instances: names, Within: 30 * time.Second, AtOnce: 3}, nil)
	up := map[string]time.Duration{}
	count := map[string]int{}
	for range 200 {
		plan := f.tick()
		for _, a := range plan.Actions {
			m, ok := a.(MaintainAction)
			if !ok {
				continue
			}
			count[m.Instance]++
			i := slices.IndexFunc(f.instances, func(x catalog.Instance) bool { return x.Name == m.Instance })
			if f.instances[i].Pool != "spare" && f.busy[f.instances[i].Worker] > 0 {
				t.Errorf("%s was taken down while tasks ran on it", m.Instance)
			}
			f.instances[i].State = catalog.InMaintenance
			up[m.Instance] = f.now + 2*time.Second
			f.planner.RecordMaintenance(f.now, m, Completed)
		}
		down := 0
		for i := range f.instances {
			m := &f.instances[i]
			if m.State != catalog.InMaintenance {
				continue
			}
			down++
			if f.now >= up[m.Name] {
				m.State = catalog.Up
				m.Worker += "'"
			}
		}
		if down > 3 {
			t.Fatalf("%d instances are down at once", down)
		}
		for name := range f.planner.draining {
			i := slices.IndexFunc(f.instances, func(x catalog.Instance) bool { return x.Name == name })
			f.busy[f.instances[i].Worker] = max(0, f.busy[f.instances[i].Worker]-500)
		}
		f.complete(plan)
	}
	if p := f.planner.Progress(1); !p.Complete || len(p.Done) != len(names) {
		t.Errorf("%d of %d instances were maintained", len(p.Done), len(names))
	}
	for name, n := range count {
		if n != 1 {
			t.Errorf("%s was taken down %d times", name, n)
		}
	}
}

// TestWorkerEndedByRepeatedOrder repeats a maintenance order whose answer was lost. When the second answer arrives, a new
// worker already runs on the instance, which must not be reported as retired.
func TestWorkerEndedByRepeatedOrder(t *testing.T) {
	f := newFleet(map[string]int{"a": 3, "spare": 0})
	f.planner.AddWave(f.now, catalog.Wave{Number: 1, Instances: []string{"a0"}, Within: 30 * time.Second, AtOnce: 1}, nil)
	var order MaintainAction
	for range 5 {
		for _, a := range f.tick().Actions {
			if m, ok := a.(MaintainAction); ok {
				order = m
			}
		}
	}
	f.planner.RecordMaintenance(f.now, order, Unanswered)
	f.instances[0].Worker = "w-new"
	f.tick()
	f.planner.RecordMaintenance(f.now, order, Completed)
	retired := f.tick().Orders["a"].Retired
	if !slices.Contains(retired, "w-a0") || slices.Contains(retired, "w-new") {
		t.Errorf("workers %v are reported as retired, want w-a0 and not w-new", retired)
	}
}

// TestWorkOnTimeComesFirst runs a pool whose backlog can no longer be on time beside one whose work can: the latter
// gets instances first, and only surplus ones serve the backlog.
func TestWorkOnTimeComesFirst(t *testing.T) {
	f := newFleet(map[string]int{"a": 2, "b": 8, "spare": 0})
	f.loads["b"] = Load{Demand: 20_000, Late: 200_000}
	f.loads["a"] = Load{Demand: 80_000}
	f.play(5)
	if got := f.size("a"); got != 6 {
		t.Errorf("the pool with work on time has %d instances, want 6", got)
	}
	f.loads["a"] = Load{Demand: 1000}
	f.play(30)
	if got := f.size("b"); got != 8 {
		t.Errorf("%d instances serve the backlog, want all 8 available", got)
	}
}

// TestWaveGoesOnInShrinkingPool guards against a wave that stalls in a shrinking pool: surplus instances drain for as
// long as their tasks run, and must not count against the limit of instances drained for maintenance.
func TestWaveGoesOnInShrinkingPool(t *testing.T) {
	f := newFleet(map[string]int{"a": 6, "spare": 0})
	f.loads["a"] = Load{Demand: 90_000}
	f.tick()
	f.loads["a"] = Load{Demand: 1000}
	for _, m := range f.instances {
		f.busy[m.Worker] = 1000
	}
	f.play(20)
	kept := ""
	for _, m := range f.instances {
		if _, leaves := f.planner.draining[m.Name]; !leaves {
			kept = m.Name
		}
	}
	f.planner.AddWave(f.now, catalog.Wave{Number: 1, Instances: []string{kept}, Within: 30 * time.Second, AtOnce: 1}, nil)
	f.tick()
	if g, leaves := f.planner.draining[kept]; !leaves || g.wave != 1 {
		t.Errorf("%s waits for %q", kept, f.planner.Waiting(1)[kept])
	}
}

// TestWaveAfterTakeover guards against too many instances down after a takeover: those that the list shows in
// maintenance count, and those with recent orders of an earlier holder, which the list may not show yet.
func TestWaveAfterTakeover(t *testing.T) {
	f := newFleet(map[string]int{"a": 2, "spare": 6})
	f.instances[2].State = catalog.InMaintenance // spare0
	f.planner.SetCooldown("spare1", f.now+3*time.Second)
	var names []string
	for _, m := range f.instances[2:] {
		names = append(names, m.Name)
	}
	f.planner.AddWave(f.now, catalog.Wave{Number: 1, Instances: names, Within: 30 * time.Second, AtOnce: 3}, nil)
	ordered := 0
	for range 5 {
		for _, a := range f.tick().Actions {
			if m, ok := a.(MaintainAction); ok {
				ordered++
				f.planner.RecordMaintenance(f.now, m, Completed)
			}
		}
	}
	if ordered != 1 {
		t.Errorf("%d instances were taken down while two others are down, at most 3 may be down at once", ordered)
	}
}
