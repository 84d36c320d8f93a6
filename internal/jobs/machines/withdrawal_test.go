package machines

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// withdrawnWave is a wave of instance a0 that is withdrawn while the instance drains or while the order for it is on its way.
func withdrawnWave(t *testing.T, ordered bool) (*fleet, MaintainAction) {
	t.Helper()
	f := newFleet(map[string]int{"a": 3, "spare": 1})
	f.busy["w-a0"] = 1000
	f.planner.AddWave(f.now, catalog.Wave{Number: 1, Instances: []string{"a0"}, Within: 30 * time.Second, AtOnce: 1}, nil)
	f.play(3)
	if _, drains := f.planner.draining["a0"]; !drains {
		t.Fatal("the instance does not drain for the wave")
	}
	var order MaintainAction
	if ordered {
		f.busy["w-a0"] = 0
		for _, a := range f.tick().Actions {
			if m, ok := a.(MaintainAction); ok {
				order = m
			}
		}
		if order.Instance != "a0" {
			t.Fatalf("ordered %v, want the maintenance of a0", order)
		}
	}
	f.planner.WithdrawWave(1)
	return f, order
}

// checkServes checks that an instance serves as if there had been no wave, and that nothing is maintained.
func checkServes(t *testing.T, f *fleet) {
	t.Helper()
	for range 50 {
		for _, a := range f.tick().Actions {
			if m, ok := a.(MaintainAction); ok {
				t.Fatalf("%s is maintained for a wave that was withdrawn", m.Instance)
			}
		}
	}
	if _, drains := f.planner.draining["a0"]; drains {
		t.Error("the instance still drains")
	}
	if _, ordered := f.planner.transit["a0"]; ordered {
		t.Error("the instance still counts as ordered")
	}
	if len(f.planner.waves) > 0 {
		t.Error("the wave is still there")
	}
}

// TestWithdrawnWaveLetsItsInstancesServe checks what becomes of an instance of a wave that the operators withdraw: one that drains
// serves again, and an order that is on its way counts until it has ended.
func TestWithdrawnWaveLetsItsInstancesServe(t *testing.T) {
	t.Run("while it drains", func(t *testing.T) {
		f, _ := withdrawnWave(t, false)
		checkServes(t, f)
	})
	for _, outcome := range []Outcome{Completed, Unanswered, Refused, Forbidden, NoInstance} {
		t.Run(outcome.String(), func(t *testing.T) {
			f, order := withdrawnWave(t, true)
			f.play(20)
			if !f.planner.isOrdered("a0") || len(f.planner.waves) == 0 {
				t.Fatal("an order on its way is forgotten")
			}
			f.planner.RecordMaintenance(f.now, order, outcome)
			checkServes(t, f)
		})
	}
}

// TestWithdrawnWaveGoesOnWhenItIsBack checks that a wave that the operators put back goes on, with the instances that it has then.
func TestWithdrawnWaveGoesOnWhenItIsBack(t *testing.T) {
	for _, rounds := range []int{0, 20} {
		f, _ := withdrawnWave(t, false)
		f.play(rounds)
		f.busy["w-a0"] = 0
		f.planner.AddWave(f.now, catalog.Wave{Number: 1, Instances: []string{"a0", "a1"}, Within: 30 * time.Second, AtOnce: 2}, nil)
		maintained := map[string]bool{}
		for range 60 {
			for _, a := range f.tick().Actions {
				if m, ok := a.(MaintainAction); ok {
					maintained[m.Instance] = true
					f.planner.RecordMaintenance(f.now, m, Completed)
				}
			}
		}
		if !maintained["a0"] || !maintained["a1"] {
			t.Errorf("put back after %d rounds, with another instance: maintained %v, want both", rounds, maintained)
		}
	}
}
