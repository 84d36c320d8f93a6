package shard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// repeatLog is a log that answers a repeat of the newest append it has stored for this owner without checking the epoch.
type repeatLog struct {
	*ownerNetwork
	mu         sync.Mutex
	newest     stream.Writer
	offset     int64
	loseAnswer bool // lose the next answer and make the log unreachable from then on
	repeated   bool // whether a repeat was answered
	failFence  bool // make every call of Fence fail, and so every proof
}

func (r *repeatLog) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	r.mu.Lock()
	mute := r.failFence
	r.mu.Unlock()
	if mute {
		return errNoAnswer
	}
	return r.ownerNetwork.Fence(ctx, t, epoch)
}

func (r *repeatLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if r.logUnreachable() {
		return 0, errNoAnswer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w == nil {
		return r.fakeLog.Append(ctx, t, records, w)
	}
	if *w == r.newest {
		r.repeated = true
		return r.offset, nil
	}
	offset, err := r.fakeLog.Append(ctx, t, records, w)
	if err != nil {
		return offset, err
	}
	r.newest, r.offset = *w, offset
	if r.loseAnswer {
		r.disconnectLog()
		return 0, errNoAnswer
	}
	return offset, nil
}

// TestRepeatedAppendDoesNotProveOwnership loses the answer to an owner's batch and disconnects the owner from the log
// until a successor that cannot reach its worker has started the task again. Then the log answers the repeated batch as
// it did the first time, while proofs still fail. The former owner must not take that answer for a proof of ownership:
// no task may run twice at one time.
func TestRepeatedAppendDoesNotProveOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, p := newFakeLog(), newFakeCluster("near", "far")
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // until all goroutines have ended
		defer cancel()
		first := &repeatLog{ownerNetwork: newOwnerNetwork(log, p, "far")}
		former := first.shard("a")
		former.config.Log = first
		o := start(ctx, former)
		time.Sleep(time.Second)
		first.mu.Lock()
		first.loseAnswer, first.failFence = true, true
		first.mu.Unlock()
		go func() { _ = o.shard.Submit(ctx, longJob()) }()
		time.Sleep(300 * time.Millisecond)
		start(ctx, newOwnerNetwork(log, p, "near").shard("b"))
		time.Sleep(12 * time.Second)
		first.ownerNetwork.mu.Lock()
		first.logDown = false
		first.ownerNetwork.mu.Unlock()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, what := range p.duplicates {
			t.Error(what)
		}
		if !first.repeated || !p.workers["near"].runs.Has(worker.Run{Task: job.Name{Job: longJob().ID}, Number: 2}) {
			t.Errorf("repeat answered: %v, want true, and the second run on worker near; starts: %v", first.repeated, p.starts)
		}
	})
}

// TestOwnerProvesItsClaimWhileABatchWaits makes appends fail while the log answers proofs, and checks that a running
// task continues.
func TestOwnerProvesItsClaimWhileABatchWaits(t *testing.T) {
	playBubble(t, func(ctx context.Context, t *testing.T) {
		p := newFakeCluster("w")
		s := newOwnerNetwork(newFakeLog(), p, "w")
		o := start(ctx, s.shard("a"))
		if err := o.shard.Submit(ctx, longJob()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.dropNextAppends(200)
		go func() { _ = o.shard.Submit(ctx, someJob(2)) }()
		time.Sleep(15 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireLeases()
		if !p.workers["w"].runs.Has(worker.Run{Task: job.Name{Job: longJob().ID}, Number: 1}) {
			t.Errorf("the first run has ended: %v", p.starts)
		}
	})
}
