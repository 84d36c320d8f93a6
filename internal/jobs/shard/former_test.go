package shard

import (
	"context"
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestFormerOwnerDoesNotCallJobUnknown guards against review/2 (issue 21): an owner that had been frozen answered from its
// memory that there is no such job, after its successor had accepted the job, and so its cancellation was lost.
func TestFormerOwnerDoesNotCallJobUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	former := start(ctx, newShard(log, workers, "a")).shard
	if _, known, err := former.State(ctx, someJob(1).ID); err != nil || known {
		t.Fatalf("known %v, error %v before any job", known, err)
	}
	successor := start(ctx, newShard(log, workers, "b")).shard
	if err := successor.Submit(ctx, someJob(1)); err != nil {
		t.Fatal(err)
	}
	if state, known, err := former.State(ctx, someJob(1).ID); err == nil && !known {
		t.Errorf("the former owner calls the job unknown (state %v)", state)
	}
	if presence, err := former.Cancel(ctx, someJob(1).ID); err == nil && !presence.Known() {
		t.Error("the former owner calls the job to be cancelled unknown")
	}
}
