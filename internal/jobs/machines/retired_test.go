package machines

import (
	"slices"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// retiredIn returns the workers that a pool's orders name as retired after a round, and the numbers of the orders.
func retiredIn(p *Planner, now time.Duration, list ...catalog.Instance) ([]string, []int64) {
	plan := p.Tick(Input{Now: now, Listed: now, Instances: list, Loads: map[string]Load{"p": {}, "q": {}}})
	o := plan.Orders["p"]
	return o.Retired, o.RetiredBy
}

// TestUnansweredOrderRetiresWorker guards against issue 31, "failed, and no task has failed": after a move whose answer was
// lost, the pool went on to place tasks on the worker that the move had ended.
func TestUnansweredOrderRetiresWorker(t *testing.T) {
	on := catalog.Instance{Name: "m", Pool: "p", State: catalog.Up, Worker: "w", Capacity: catalog.Resources{CPU: 1000}}
	for _, outcome := range []Outcome{Unanswered, Completed, Refused, Forbidden} {
		t.Run("move "+outcome.String(), func(t *testing.T) {
			p := NewPlanner()
			p.RecordMove(time.Second, MoveAction{Instance: "m", Pool: "q", Worker: "w"}, outcome)
			retired, _ := retiredIn(p, 2*time.Second, on)
			if want := outcome == Unanswered || outcome == Completed; slices.Contains(retired, "w") != want {
				t.Errorf("retired: %v", retired)
			}
		})
		t.Run("maintenance "+outcome.String(), func(t *testing.T) {
			p := NewPlanner()
			p.AddWave(0, catalog.Wave{Number: 1, Instances: []string{"m"}, AtOnce: 1, Within: time.Minute}, nil)
			p.waves[1].firstWorkers["m"] = "w"
			p.RecordMaintenance(time.Second, MaintainAction{Instance: "m", Wave: 1}, outcome)
			retired, _ := retiredIn(p, 2*time.Second, on)
			if want := outcome == Unanswered || outcome == Completed; slices.Contains(retired, "w") != want {
				t.Errorf("retired: %v", retired)
			}
		})
	}
}

// TestListShowsWorkersThatOrdersEnded checks that a worker is retired when the list of instances shows that an order has
// ended it, and not when it has crashed.
func TestListShowsWorkersThatOrdersEnded(t *testing.T) {
	at := func(pool string, state catalog.InstanceState, worker string) catalog.Instance {
		return catalog.Instance{Name: "m", Pool: pool, State: state, Worker: worker, Capacity: catalog.Resources{CPU: 1000}}
	}
	tests := []struct {
		name  string
		after []catalog.Instance
		want  bool
	}{
		{"moving", []catalog.Instance{at("q", catalog.Moving, "")}, true},
		{"moved between two lists", []catalog.Instance{at("q", catalog.Up, "later")}, true},
		{"in maintenance", []catalog.Instance{at("p", catalog.InMaintenance, "")}, true},
		{"crashed", []catalog.Instance{at("p", catalog.Down, ""), at("p", catalog.Up, "later")}, false},
		{"unchanged", []catalog.Instance{at("p", catalog.Up, "w")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPlanner()
			p.NumberOrders(3)
			now := time.Second
			retiredIn(p, now, at("p", catalog.Up, "w"))
			var retired []string
			var numbers []int64
			for _, m := range test.after {
				now += 400 * time.Millisecond
				retired, numbers = retiredIn(p, now, m)
			}
			if slices.Contains(retired, "w") != test.want || slices.Contains(retired, "later") {
				t.Errorf("retired: %v", retired)
			}
			for _, n := range numbers {
				if n <= 3*ordersPerHolder || n >= 4*ordersPerHolder {
					t.Errorf("an order of the holder with fence 3 has the number %d", n)
				}
			}
		})
	}
}
