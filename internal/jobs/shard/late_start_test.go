package shard

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestLateStartIsNotSent guards against starts that were decided in time and sent much later, or after their job was
// cancelled, and checks that a task whose start was not sent starts again unless its job has ended.
func TestLateStartIsNotSent(t *testing.T) {
	tests := []struct {
		name    string
		between func(s *Shard, at pool.Moment, frozen *atomic.Int64) // between the decision and the sending
		runs    []int                                                // numbers of the runs that start
	}{
		{"sent at once", func(*Shard, pool.Moment, *atomic.Int64) {}, []int{1}},
		{"the process is frozen", func(_ *Shard, _ pool.Moment, frozen *atomic.Int64) { frozen.Add(int64(2 * time.Second)) }, []int{2}},
		{"the job is cancelled", func(s *Shard, at pool.Moment, _ *atomic.Int64) { s.pool.Cancel(at, longJob().ID) }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			playBubble(t, func(ctx context.Context, t *testing.T) {
				log, frozen := newFakeLog(), &atomic.Int64{}
				network := newOwnerNetwork(log, newFakeCluster("w"), "w")
				s := network.shard("a")
				s.config.Clock = jumpingClock{frozen}
				start(ctx, s)
				time.Sleep(1300 * time.Millisecond) // until the worker has answered, the term is stored and the intake is read
				if err := s.do(ctx, func(at pool.Moment) {
					s.pool.Submit(at, longJob())
					s.pool.Place(at)
					s.pool.RecordStored(at, s.pool.Flush())
					s.orderStarts(ctx)
					test.between(s, at, frozen)
					s.sendOrders(ctx)
				}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				network.cluster.mu.Lock()
				defer network.cluster.mu.Unlock()
				if len(network.cluster.starts) != len(test.runs) {
					t.Errorf("the starts are %v, want runs %v", network.cluster.starts, test.runs)
				}
				for _, number := range test.runs {
					if _, ok := network.cluster.starts[worker.Run{Task: job.Name{Job: longJob().ID}, Number: number}]; !ok {
						t.Errorf("the starts are %v, want run %d", network.cluster.starts, number)
					}
				}
			})
		})
	}
}

// slowPool is an observer that makes each placement take longer than a start may wait.
type slowPool struct{ pool.Observer }

func (slowPool) Placed(*job.Spec, job.Name, int, string, time.Duration) {
	time.Sleep(1200 * time.Millisecond)
}
func (slowPool) RunBegun(*job.Spec, pool.Waits) {}
func (slowPool) WorkerChanged(string, string)   {}
func (slowPool) Ended(*job.Spec, pool.RunEnd)   {}

// TestSlowOwnerStartsTasks guards against an owner that lacks processor time and starts nothing at all: the starts of one
// iteration waited for the placements of the same one, and came too late to be sent.
func TestSlowOwnerStartsTasks(t *testing.T) {
	for _, jobs := range []int{1, 2, 4} {
		playBubble(t, func(ctx context.Context, t *testing.T) {
			network := newOwnerNetwork(newFakeLog(), newFakeCluster("w"), "w")
			s := network.shard("a")
			s.config.Observer = slowPool{}
			start(ctx, s)
			time.Sleep(1300 * time.Millisecond) // until the worker has answered and the term is stored
			for i := range jobs {
				spec := longJob()
				spec.ID = someJob(i + 1).ID
				s.post(ctx, func(at pool.Moment) { s.pool.Submit(at, spec) })
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(time.Minute)
			network.cluster.mu.Lock()
			defer network.cluster.mu.Unlock()
			if n := len(network.cluster.starts); n != jobs {
				t.Errorf("%d of %d tasks have started", n, jobs)
			}
		})
	}
}
