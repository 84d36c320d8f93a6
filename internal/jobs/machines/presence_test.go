package machines

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// listGap is the time between two lists in these tests.
const listGap = 400 * time.Millisecond

// waveWorld is an instance service with idle instances of one pool, and a planner with a wave of them.
type waveWorld struct {
	planner    *Planner
	now        time.Duration
	listed     time.Duration
	isDown     bool            // the service answers no list
	missing    map[string]bool // instances that the next lists lack
	instances  []catalog.Instance
	list       []catalog.Instance // newest list
	maintained map[string]bool
	ends       map[string]time.Duration // of maintenance
	atOnce     int                      // most instances in maintenance at once
}

// newWaveWorld returns a service with the instances m0 to m5, all of them but one in service for a while.
func newWaveWorld() *waveWorld {
	w := &waveWorld{planner: NewPlanner(), now: time.Hour, missing: map[string]bool{}, maintained: map[string]bool{}, ends: map[string]time.Duration{}}
	for i := range 6 {
		w.join(fmt.Sprintf("m%d", i))
	}
	w.play(5)
	return w
}

func (w *waveWorld) join(name string) {
	w.instances = append(w.instances, catalog.Instance{
		Name: name, Pool: "p", State: catalog.Up, Worker: "w-" + name, Capacity: catalog.Resources{CPU: 16000, MemoryMB: 64000},
	})
}

func (w *waveWorld) find(name string) *catalog.Instance {
	for i := range w.instances {
		if w.instances[i].Name == name {
			return &w.instances[i]
		}
	}
	return nil
}

// removeNewest removes the instance that joined last.
func (w *waveWorld) removeNewest() { w.instances = w.instances[:len(w.instances)-1] }

// announce announces a wave, which the planner reads before the next list.
func (w *waveWorld) announce(cap int, names ...string) {
	w.planner.AddWave(w.now, catalog.Wave{Number: 1, Instances: names, Within: time.Minute, AtOnce: cap}, nil)
}

// play plays rounds, each with a list unless the service is down.
func (w *waveWorld) play(rounds int) {
	for range rounds {
		w.now += listGap
		w.readList()
		load := Load{}
		for _, m := range w.list {
			load.Hosts = append(load.Hosts, Host{Worker: m.Worker, Empty: true, Usable: true})
		}
		plan := w.planner.Tick(Input{Now: w.now, Listed: w.listed, Instances: w.list, Loads: map[string]Load{"p": load}})
		for _, a := range plan.Actions {
			if m, ok := a.(MaintainAction); ok {
				w.planner.RecordMaintenance(w.now, m, w.maintain(m.Instance))
			}
		}
	}
}

// readList ends the maintenance that is over and reads the list.
func (w *waveWorld) readList() {
	for name, end := range w.ends {
		if m := w.find(name); m != nil && w.now >= end {
			m.State = catalog.Up
			delete(w.ends, name)
		}
	}
	if w.isDown {
		return
	}
	w.listed, w.list = w.now, nil
	for _, m := range w.instances {
		if !w.missing[m.Name] {
			w.list = append(w.list, m)
		}
	}
}

// maintain carries out an order.
func (w *waveWorld) maintain(name string) Outcome {
	m := w.find(name)
	switch {
	case w.isDown:
		return Unanswered
	case m == nil:
		return NoInstance
	}
	m.State = catalog.InMaintenance
	w.maintained[name] = true
	w.ends[name] = w.now + 4*time.Second
	w.atOnce = max(w.atOnce, len(w.ends))
	return Completed
}

func (w *waveWorld) complete() bool { return w.planner.Progress(1).Complete }

// TestWaveWaitsForInstancesThatAListLacks guards against issue 40, review/9 (MIXED): a list that was older than the wave, or
// a single one, was taken as proof that an instance had left, and the wave was completed without it.
func TestWaveWaitsForInstancesThatAListLacks(t *testing.T) {
	tests := []struct {
		name   string
		script func(w *waveWorld) // ends with a list that has the instance m6
	}{
		{"it joins while the service is down, before the wave", func(w *waveWorld) {
			w.isDown = true
			w.play(1)
			w.join("m6")
			w.announce(2, "m0", "m6")
			w.play(12)
			w.isDown = false
		}},
		{"it joins while the service is down for long", func(w *waveWorld) {
			w.isDown = true
			w.join("m6")
			w.announce(2, "m0", "m6")
			w.play(100)
			w.isDown = false
		}},
		{"it joins between two lists", func(w *waveWorld) {
			w.join("m6")
			w.announce(2, "m0", "m6")
		}},
		{"two lists lack it", func(w *waveWorld) {
			w.join("m6")
			w.missing["m6"] = true
			w.announce(2, "m0", "m6")
			w.play(2)
			delete(w.missing, "m6")
		}},
		{"each second list lacks it", func(w *waveWorld) {
			w.join("m6")
			w.announce(1, "m0", "m6")
			for i := range 20 {
				w.missing["m6"] = i%2 == 0
				w.play(1)
			}
			delete(w.missing, "m6")
		}},
		{"it joins after the wave was announced", func(w *waveWorld) {
			w.announce(2, "m0", "m6")
			w.play(2)
			w.join("m6")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWaveWorld()
			test.script(w)
			for range 60 {
				if w.complete() && !w.maintained["m6"] {
					t.Fatal("the wave is complete, and m6 has had no maintenance")
				}
				w.play(1)
			}
			if !w.complete() || !w.maintained["m6"] || !w.maintained["m0"] {
				t.Errorf("complete: %v, maintained: %v", w.complete(), w.maintained)
			}
		})
	}
}

// TestWaveEndsWithoutInstancesThatHaveLeft checks that an instance that has left holds no wave up for longer than it takes to
// read a few lists, whenever it left.
func TestWaveEndsWithoutInstancesThatHaveLeft(t *testing.T) {
	tests := []struct {
		name   string
		script func(w *waveWorld)
	}{
		{"it was never there", func(w *waveWorld) { w.announce(2, "m0", "m6") }},
		{"it leaves before the wave", func(w *waveWorld) {
			w.join("m6")
			w.play(3)
			w.removeNewest()
			w.announce(2, "m0", "m6")
		}},
		{"it leaves while it drains", func(w *waveWorld) {
			w.join("m6")
			w.announce(2, "m0", "m6")
			w.play(1)
			w.removeNewest()
		}},
		{"it leaves while the service is down", func(w *waveWorld) {
			w.join("m6")
			w.play(1)
			w.isDown = true
			w.announce(2, "m0", "m6")
			w.play(10)
			w.removeNewest()
			w.isDown = false
		}},
		{"it leaves during its maintenance", func(w *waveWorld) {
			w.join("m6")
			w.announce(1, "m6", "m0")
			for !w.maintained["m6"] {
				w.play(1)
			}
			w.removeNewest()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWaveWorld()
			test.script(w)
			w.play(20)
			if !w.complete() || !w.maintained["m0"] {
				t.Errorf("complete: %v, maintained: %v, waiting: %v", w.complete(), w.maintained, w.planner.Waiting(1))
			}
		})
	}
}

// TestWaveGoesOnForAnInstanceThatIsBack guards against MIXED by an instance that joins once its wave was completed without it.
func TestWaveGoesOnForAnInstanceThatIsBack(t *testing.T) {
	w := newWaveWorld()
	w.announce(2, "m0", "m6")
	w.play(20)
	if p := w.planner.Progress(1); !p.Complete || p.Returned {
		t.Fatalf("%+v, want a complete wave", p)
	}
	w.join("m6")
	w.play(1)
	if p := w.planner.Progress(1); p.Complete || !p.Returned {
		t.Errorf("%+v, want a wave that goes on", p)
	}
	w.play(20)
	if !w.complete() || !w.maintained["m6"] {
		t.Errorf("complete: %v, maintained: %v", w.complete(), w.maintained)
	}
}

// TestNoMoreThanTheLimitDownWhileListsLackInstances guards against LIMIT: an instance in maintenance that a list lacked was
// no longer counted, by the holder that had taken it down and by its successor.
func TestNoMoreThanTheLimitDownWhileListsLackInstances(t *testing.T) {
	names := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			w := newWaveWorld()
			w.announce(2, names...)
			for i := range 100 {
				clear(w.missing)
				for name := range w.ends {
					w.missing[name] = i%3 > 0
				}
				if takeover && i == 10 {
					done := w.planner.Progress(1).Done
					w.planner = NewPlanner()
					w.planner.AddWave(w.now, catalog.Wave{Number: 1, Instances: names, Within: time.Minute, AtOnce: 2}, done)
				}
				w.play(1)
			}
			if w.atOnce > 2 {
				t.Errorf("%d instances are in maintenance at once, at most 2 may be", w.atOnce)
			}
			if !w.complete() {
				t.Errorf("the wave is not complete; maintained: %v", w.maintained)
			}
		})
	}
}

// TestOneListDropsNoDrain checks that an instance that one list lacks goes on draining and is not chosen anew.
func TestOneListDropsNoDrain(t *testing.T) {
	w := newWaveWorld()
	w.planner.draining["m0"] = drainGoal{pool: "p", since: w.now}
	w.planner.transit["m1"] = transit{pool: "q", since: w.now}
	w.missing["m0"], w.missing["m1"] = true, true
	w.play(1)
	_, drains := w.planner.draining["m0"]
	_, moves := w.planner.transit["m1"]
	if !drains || !moves {
		t.Errorf("after one list without them: drains %v, moves %v", drains, moves)
	}
	w.play(absentLists)
	if len(w.planner.draining) > 0 || len(w.planner.transit) > 0 {
		t.Errorf("after %d lists without them: %d drains, %d moves", absentLists+1, len(w.planner.draining), len(w.planner.transit))
	}
}
