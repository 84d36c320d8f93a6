package shard

import (
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestIntakeAgeIsMeasured checks that each start is measured with the age of its owner's view of the intake.
func TestIntakeAgeIsMeasured(t *testing.T) {
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	s := newShard(log, workers, "a")
	counted := &countingObserver{parts: map[string]int{}}
	s.stats.observer = counted
	o := start(t.Context(), s)
	if err := o.shard.Submit(t.Context(), someJob(1)); err != nil {
		t.Fatal(err)
	}
	awaitCompleted(t, o.shard, someJob(1).ID)
	if got := counted.count(intakePart); got != 2 {
		t.Errorf("the age of the intake was measured for %d starts, want 2", got)
	}
}
