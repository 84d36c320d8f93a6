package shard

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestJobFromAnInstanceWhoseClockIsBehindIsNotLate asks that a job that has just come is not taken for late, which gives it only the
// capacity that other work leaves, since the time of day of the instance that took it is behind the owner's.
func TestJobFromAnInstanceWhoseClockIsBehindIsNotLate(t *testing.T) {
	for _, behind := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		t.Run(behind.String(), func(t *testing.T) {
			log := newFakeLog()
			s := newShard(log, &fakeWorkers{starts: map[worker.Run]int{}, log: log}, "a")
			start(t.Context(), s)
			spec := someJob(1)
			spec.Accepted = time.Now().Add(-behind)
			spec.Steps[0].Label, spec.Steps[0].Estimate = "none", 2*time.Second // no worker has the label, so it waits
			if err := s.Submit(t.Context(), spec); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
			load, err := s.ApplyOrders(t.Context(), machines.Orders{Fence: 1, Round: 1})
			if load.Late > 0 || load.Demand == 0 || err != nil {
				t.Errorf("late work %d, timely work %d, error %v; want only timely work", load.Late, load.Demand, err)
			}
		})
	}
}
