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

// repeating is a log that answers the repeat of the newest append it has taken from here before it looks at the epoch.
type repeating struct {
	*stand
	mu      sync.Mutex
	newest  stream.Writer
	offset  int64
	lost    bool // the next answer gets lost, and the log is out of reach from then on
	reached bool // by a repeat
	mute    bool // proofs get lost
}

func (r *repeating) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	r.mu.Lock()
	mute := r.mute
	r.mu.Unlock()
	if mute {
		return errNoAnswer
	}
	return r.stand.Fence(ctx, t, epoch)
}

func (r *repeating) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if r.isCut() {
		return 0, errNoAnswer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w == nil {
		return r.fakeLog.Append(ctx, t, records, w)
	}
	if *w == r.newest {
		r.reached = true
		return r.offset, nil
	}
	offset, err := r.fakeLog.Append(ctx, t, records, w)
	if err != nil {
		return offset, err
	}
	r.newest, r.offset = *w, offset
	if r.lost {
		r.cutOff()
		return 0, errNoAnswer
	}
	return offset, nil
}

// TestRepeatIsNoProof loses the answer to an owner's batch and cuts the owner and its worker off until a successor has
// started the task again; then the log answers the batch's repeat as it did the first time, and proofs get lost yet.
func TestRepeatIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, p := newFakeLog(), newPlaces("near", "far")
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // until all goroutines have ended
		defer cancel()
		first := &repeating{stand: newStand(log, p, "far")}
		former := first.shard("a")
		former.config.Log = first
		o := start(ctx, former)
		time.Sleep(time.Second)
		first.mu.Lock()
		first.lost, first.mute = true, true
		first.mu.Unlock()
		go func() { _ = o.shard.Submit(ctx, longJob()) }()
		time.Sleep(300 * time.Millisecond)
		start(ctx, newStand(log, p, "near").shard("b"))
		time.Sleep(12 * time.Second)
		first.stand.mu.Lock()
		first.cut = false
		first.stand.mu.Unlock()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, what := range p.twice {
			t.Error(what)
		}
		if !first.reached || !p.workers["near"].runs.Has(worker.Run{Task: job.Name{Job: longJob().ID}, Number: 2}) {
			t.Errorf("no repeat was answered (%v), or the task does not run again: %v", first.reached, p.starts)
		}
	})
}

// TestOwnerProvesItsClaimWhileABatchWaits has appends get lost while the log answers proofs: what runs goes on.
func TestOwnerProvesItsClaimWhileABatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // until all goroutines have ended
		defer cancel()
		p := newPlaces("w")
		s := newStand(newFakeLog(), p, "w")
		o := start(ctx, s.shard("a"))
		if err := o.shard.Submit(ctx, longJob()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.refuseNext(200)
		go func() { _ = o.shard.Submit(ctx, someJob(2)) }()
		time.Sleep(15 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lapse()
		if !p.workers["w"].runs.Has(worker.Run{Task: job.Name{Job: longJob().ID}, Number: 1}) {
			t.Errorf("the first run has ended: %v", p.starts)
		}
	})
}
