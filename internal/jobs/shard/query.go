package shard

import (
	"context"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// State returns the stored state of a job and whether the pool holds the job. It reports a job as unknown only after
// reading the newest records of the intake, and once the log has confirmed that no successor owns the pool, which may have
// accepted the job.
func (s *Shard) State(ctx context.Context, name job.ID) (job.State, bool, error) {
	if err := s.awaitStarted(ctx); err != nil {
		return 0, false, err
	}
	var state job.State
	var known bool
	var tail int64
	query := func(pool.Moment) {
		state, known = s.pool.State(name)
		if _, forwarding := s.forwarding[name]; forwarding {
			state, known = job.Queued, true
		}
		tail = s.intakeOffset
	}
	if err := s.do(ctx, query); err != nil {
		return 0, false, err
	}
	if known {
		return state, true, nil
	}
	unread, err := s.readTail(ctx, tail, name)
	if err != nil || unread.submitted {
		return job.Queued, unread.submitted, err
	}
	if err := s.claim.Prove(ctx); err != nil {
		return 0, false, err
	}
	s.config.Logger.Info("job not found", zap.String("pool", s.config.Pool), zap.String("job", string(name)), zap.Int64("fence", s.claim.Epoch()),
		zap.Int64("offset", tail))
	return 0, false, nil
}

// intakeTail is what the records of the intake that are not handled yet say of a job.
type intakeTail struct{ submitted, cancelled bool }

// readTail reads what the intake says of a job from an offset to its end.
func (s *Shard) readTail(ctx context.Context, from int64, name job.ID) (intakeTail, error) {
	var tail intakeTail
	for {
		batch, err := s.config.Log.Read(ctx, s.intake, from, 0)
		if err != nil {
			return intakeTail{}, err
		}
		for _, stored := range batch.Records {
			switch stored.Key {
			case specPrefix + string(name):
				tail.submitted = len(stored.Value) > 0
			case cancelPrefix + string(name):
				tail.cancelled = len(stored.Value) > 0
			}
		}
		if batch.Next == from || batch.Next == batch.End {
			return tail, nil
		}
		from = batch.Next
	}
}

// HasRecentProof reports whether the log has confirmed within claim.MaxProofAge that this instance owns the pool.
func (s *Shard) HasRecentProof(ctx context.Context) (bool, error) {
	if err := s.awaitStarted(ctx); err != nil {
		return false, err
	}
	recent := false
	err := s.do(ctx, func(at pool.Moment) { recent = at.Steady-s.provenAt < claim.MaxProofAge })
	return recent, err
}

// Pending returns the number of jobs of a route, which has the given queue, that have not started, including those that the
// pool forwards.
func (s *Shard) Pending(ctx context.Context, route catalog.Route, queue string) (int, error) {
	if err := s.awaitStarted(ctx); err != nil {
		return 0, err
	}
	var count int
	err := s.do(ctx, func(pool.Moment) { count = s.pool.Pending(route, queue) + s.forwardedPending(route) })
	return count, err
}

// ApplyOrders applies the autoscaler's orders for the pool's workers and returns the pool's load. It rejects orders
// under an older fence, or of an earlier round under the same fence, with a stream.FencedError.
func (s *Shard) ApplyOrders(ctx context.Context, o machines.Orders) (machines.Load, error) {
	if err := s.awaitStarted(ctx); err != nil {
		return machines.Load{}, err
	}
	var load machines.Load
	rejected := false
	err := s.do(ctx, func(at pool.Moment) {
		if rejected = o.Fence < s.autoscalerFence || o.Fence == s.autoscalerFence && o.Round < s.autoscalerRound; rejected {
			return
		}
		s.autoscalerFence, s.autoscalerRound = o.Fence, o.Round
		s.pool.SetCordoned(at, o.Cordoned, o.ScheduledToDrain)
		s.pool.Retire(retirementsOf(o))
		s.pool.EndGone(at, o.Gone)
		s.pool.SetAllocations(at, limit.Grant{Owner: o.Owner, Allocations: o.Allocations, Overdrafts: o.Overdrafts})
		s.pool.SetObtainable(at, o.Obtainable, o.Incoming)
		load = loadOf(s.pool.Load(at))
		load.Owner = s.claim.Epoch()
		for _, silence := range s.pool.Silences() {
			load.Silences = append(load.Silences, machines.Silence(silence))
		}
		s.placeRequested = true
	})
	if rejected {
		return load, stream.FencedError{Epoch: o.Fence}
	}
	return load, err
}

// retirementsOf returns the retirements in the autoscaler's orders, whose numbers another instance may have left out.
func retirementsOf(o machines.Orders) []pool.Retirement {
	list := make([]pool.Retirement, len(o.Retired))
	for i, name := range o.Retired {
		list[i].Worker = name
		if i < len(o.RetiredBy) {
			list[i].Order = o.RetiredBy[i]
		}
	}
	return list
}

func loadOf(l pool.Load) machines.Load {
	load := machines.Load{Demand: l.Demand, Late: l.Late, LongRunning: l.LongRunning, Memory: l.Memory, MinWorkers: l.MinWorkers, Unplaceable: l.Unplaceable, LimitDemands: l.LimitDemands, Labels: l.Labels, Racks: l.Racks}
	for _, h := range l.Hosts {
		load.Hosts = append(load.Hosts, machines.Host{Worker: h.Worker, Used: h.Used, LongRunning: h.LongRunning, Empty: h.Empty, Usable: h.Usable})
	}
	return load
}

func (s *Shard) awaitStarted(ctx context.Context) error {
	select {
	case <-s.started:
		return nil
	case <-s.ended:
		return NotOwnerError{Pool: s.config.Pool}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NotOwnerError reports that this instance no longer owns a pool.
type NotOwnerError struct{ Pool string }

// Error returns a message with the pool.
func (e NotOwnerError) Error() string { return "shard: pool " + e.Pool + " is owned here no longer" }
