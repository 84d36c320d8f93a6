package shard

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestIntakeIsSeenAsOf checks as of when a read shows all records of the intake.
func TestIntakeIsSeenAsOf(t *testing.T) {
	const sent = 7 * time.Second
	tests := []struct {
		name  string
		batch stream.Batch
		took  time.Duration
		empty bool
		want  time.Duration
	}{
		{"all records", stream.Batch{Next: 4, End: 4}, 2 * time.Second, false, sent},
		{"a part of the records", stream.Batch{Next: 4, End: 5}, 2 * time.Second, false, 0},
		{"from an instance that reports no end", stream.Batch{Next: 4}, 2 * time.Second, true, 0},
		{"no records for the whole wait", stream.Batch{Next: 4, End: 4}, 1100 * time.Millisecond, true, sent + time.Second},
		{"no records, answered early", stream.Batch{Next: 4, End: 4}, 900 * time.Millisecond, true, sent},
		{"no records, the owner was frozen", stream.Batch{Next: 4, End: 4}, 20 * time.Second, true, sent + time.Second},
	}
	for _, test := range tests {
		if got := completeAt(test.batch, sent, sent+test.took, time.Second, test.empty); got != test.want {
			t.Errorf("%s: complete as of %v, want %v", test.name, got, test.want)
		}
	}
}

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
