package shard

import (
	"context"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// State returns the stored state of a job and whether the pool holds it; that it does not is said only
// after a look at the newest intake.
func (s *Shard) State(ctx context.Context, name job.ID) (job.State, bool, error) {
	if err := s.ready(ctx); err != nil {
		return 0, false, err
	}
	var state job.State
	var known bool
	var tail int64
	look := func(pool.Moment) {
		state, known = s.pool.Known(name)
		tail = s.tail
	}
	if err := s.do(ctx, look); err != nil || known {
		return state, known, err
	}
	batch, err := s.config.Log.Read(ctx, s.intake, tail, 0)
	if err != nil {
		return 0, false, err
	}
	for _, kept := range batch.Records {
		if kept.Key == specPrefix+string(name) && len(kept.Value) > 0 {
			return job.Queued, true, nil
		}
	}
	return 0, false, nil
}

// Fresh reports whether the log has lately confirmed that this instance owns the pool.
func (s *Shard) Fresh(ctx context.Context) (bool, error) {
	if err := s.ready(ctx); err != nil {
		return false, err
	}
	fresh := false
	err := s.do(ctx, func(at pool.Moment) { fresh = at.Steady-s.proven < claim.FreshProof })
	return fresh, err
}

// Pending returns for each queue how many jobs have not begun.
func (s *Shard) Pending(ctx context.Context) (map[string]int, error) {
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	var counts map[string]int
	err := s.do(ctx, func(pool.Moment) { counts = s.pool.Pending() })
	return counts, err
}

// Orders takes the orders for the pool's workers and returns how its work stands.
func (s *Shard) Orders(ctx context.Context, o machines.Orders) (machines.Load, error) {
	if err := s.ready(ctx); err != nil {
		return machines.Load{}, err
	}
	var load machines.Load
	refused := false
	err := s.do(ctx, func(at pool.Moment) {
		if refused = o.Fence < s.keeper || o.Fence == s.keeper && o.Turn < s.keeperTurn; refused {
			return
		}
		s.keeper, s.keeperTurn = o.Fence, o.Turn
		s.pool.SetCordoned(at, o.Leave, o.Later)
		s.pool.Retire(o.Gone)
		s.pool.SetParts(at, o.Parts)
		s.pool.SetReach(at, o.Reach, o.Soon)
		load = loadOf(s.pool.Load(at))
		s.wantPlace = true
	})
	if refused {
		return load, stream.FencedError{Epoch: o.Fence}
	}
	return load, err
}

func loadOf(l pool.Load) machines.Load {
	load := machines.Load{Demand: l.Demand, Late: l.Late, Lasting: l.Lasting, Memory: l.Memory, Spread: l.Spread, Stuck: l.Stuck, Claims: l.Claims, Labels: l.Labels, Racks: l.Racks}
	for _, h := range l.Hosts {
		load.Hosts = append(load.Hosts, machines.Host{Worker: h.Worker, Used: h.Used, Lasting: h.Lasting, Empty: h.Empty, Usable: h.Usable})
	}
	return load
}

func (s *Shard) ready(ctx context.Context) error {
	select {
	case <-s.started:
		return nil
	case <-s.ended:
		return EndedError{Pool: s.config.Pool}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// EndedError reports that this instance no longer owns a pool.
type EndedError struct{ Pool string }

// Error returns the pool.
func (e EndedError) Error() string { return "shard: pool " + e.Pool + " is owned here no longer" }
