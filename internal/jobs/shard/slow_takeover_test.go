package shard

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// slowTakeOver is the network of an owner that lacks processor time: it takes over a pool slowly and reads slowly after that.
type slowTakeOver struct{ *ownerNetwork }

const (
	slowLoad = 5 * time.Second
	slowRead = 1200 * time.Millisecond
)

func (n slowTakeOver) Newest(ctx context.Context, t stream.Table, after string) (stream.Page, error) {
	if t == machines.Table() {
		time.Sleep(slowLoad) // the intake is read before
	}
	return n.ownerNetwork.Newest(ctx, t, after)
}

func (n slowTakeOver) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	batch, err := n.ownerNetwork.Read(ctx, t, from, wait)
	time.Sleep(slowRead)
	return batch, err
}

// TestSlowTakeOverStartsNoCancelledJob guards against the start of a job whose cancellation was acknowledged while a new owner
// was taking the pool over: the owner had read the intake before, and started tasks before it read on.
func TestSlowTakeOverStartsNoCancelledJob(t *testing.T) {
	playBubble(t, func(ctx context.Context, t *testing.T) {
		former := startDeafOwner(ctx)
		former.showWorker(false)
		former.submit(t, longJob())
		cluster := former.network.cluster
		network := newOwnerNetwork(former.log, cluster, "w")
		s := network.shard("b")
		s.config.Log = slowTakeOver{network}
		start(ctx, s)
		time.Sleep(time.Second)
		former.append(t, CancelRecord(longJob().ID))
		time.Sleep(20 * time.Second)
		if starts := former.starts(); len(starts) != 0 {
			t.Errorf("a job that was cancelled %v before the pool was taken over has started: %v", slowLoad-time.Second, starts)
		}
		if state, known, err := s.State(ctx, longJob().ID); state != job.Cancelled || !known || err != nil {
			t.Errorf("the job is %v (known: %v, %v), want cancelled", state, known, err)
		}
	})
}
