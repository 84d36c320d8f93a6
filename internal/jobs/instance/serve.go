package instance

import (
	"context"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// localShard returns the shard of a pool that this instance owns.
func (n *Instance) localShard(shardName string) (*shard.Shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	o, ok := n.shards[shardName]
	if !ok || o.shard == nil {
		return nil, shard.EndedError{Pool: shardName}
	}
	return o.shard, nil
}

// TakeQuestion returns the state of a job of a pool that this instance owns.
func (n *Instance) TakeQuestion(ctx context.Context, q relay.Question) (relay.State, error) {
	s, err := n.localShard(q.Pool)
	if err != nil {
		return relay.State{}, err
	}
	state, known, err := s.State(ctx, q.Job)
	return relay.State{State: state, Known: known}, err
}

// TakeSubmit stores a job of a pool that this instance owns.
func (n *Instance) TakeSubmit(ctx context.Context, spec job.Spec) (relay.Taken, error) {
	s, err := n.localShard(spec.Pool)
	if err == nil {
		err = s.Submit(ctx, spec)
	} else {
		err = shard.NotTakenError{Reason: err.Error()}
	}
	var full pool.FullError
	var none shard.NotTakenError
	switch {
	case errors.As(err, &full):
		return relay.Taken{Full: true, Wait: full.Wait}, nil
	case errors.As(err, &none):
		return relay.Taken{None: true}, nil
	}
	return relay.Taken{}, err
}

// TakeCancel cancels a job of a pool that this instance owns.
func (n *Instance) TakeCancel(ctx context.Context, q relay.Question) (relay.State, error) {
	s, err := n.localShard(q.Pool)
	if err != nil {
		return relay.State{}, err
	}
	known, err := s.Cancel(ctx, q.Job)
	return relay.State{Known: known, State: job.Cancelled}, err
}

// TakeOwns reports whether this instance owns a shard and has a fresh proof of that.
func (n *Instance) TakeOwns(ctx context.Context, p relay.Pool) (relay.Owns, error) {
	n.mu.RLock()
	o, ok := n.shards[p.Pool]
	n.mu.RUnlock()
	if !ok {
		return relay.Owns{}, shard.EndedError{Pool: p.Pool}
	}
	fresh, err := o.runner.Fresh(ctx)
	return relay.Owns{Fresh: fresh}, err
}

// TakePending returns how many jobs of each queue wait in a pool that this instance owns.
func (n *Instance) TakePending(ctx context.Context, p relay.Pool) (relay.Pending, error) {
	s, err := n.localShard(p.Pool)
	if err != nil {
		return relay.Pending{}, err
	}
	counts, err := s.Pending(ctx)
	return relay.Pending{Queues: counts}, err
}

// TakeStore appends records for an instance that cannot reach the store.
func (n *Instance) TakeStore(ctx context.Context, s relay.Store) (relay.Stored, error) {
	_, err := n.config.Log.Append(ctx, s.Table, s.Records, nil)
	if err == nil {
		return relay.Stored{Done: true}, nil
	}
	var none stream.NotDoneError
	return relay.Stored{Unsure: !errors.As(err, &none)}, nil
}

// TakeAppend appends the numbered records of an owner that cannot reach the store, or, without records, fences the table
// with its epoch.
func (n *Instance) TakeAppend(ctx context.Context, a relay.Append) (relay.Appended, error) {
	if len(a.Records) == 0 {
		return relay.AppendedOf(0, n.config.Log.Fence(ctx, a.Table, a.Writer.Epoch))
	}
	return relay.AppendedOf(n.config.Log.Append(ctx, a.Table, a.Records, &a.Writer))
}

// TakeRead reads a table for an instance that cannot reach the store.
func (n *Instance) TakeRead(ctx context.Context, r relay.Read) (relay.Batch, error) {
	return relay.BatchOf(n.config.Log.Read(ctx, r.Table, r.From, r.Wait))
}

// TakeCordon applies orders for the workers of a pool that this instance owns.
func (n *Instance) TakeCordon(ctx context.Context, c relay.Cordon) (machines.Load, error) {
	s, err := n.localShard(c.Pool)
	if err != nil {
		return machines.Load{}, err
	}
	return s.Orders(ctx, c.Orders)
}

// sendOrders sends orders for the workers of a pool to its owner.
func (n *Instance) sendOrders(ctx context.Context, pool string, o machines.Orders) (machines.Load, error) {
	owner, here, err := n.owner(pool)
	if err != nil {
		return machines.Load{}, err
	}
	if here != nil {
		return here.Orders(ctx, o)
	}
	return n.config.Peers.Cordon(ctx, owner, relay.Cordon{Pool: pool, Orders: o})
}

// published returns the operators' settings that concern instances.
func (n *Instance) published() machines.Published {
	n.mu.RLock()
	defer n.mu.RUnlock()
	v := machines.Published{Evacuated: id.Set[id.DataCentre]{}}
	for dc := range n.evacuated {
		v.Evacuated.Add(dc)
	}
	if n.catalog != nil {
		v.Pools = n.catalog.Serving()
		for _, p := range n.catalog.Pools {
			if p.Spare {
				v.Spare = p.Name
			}
		}
	}
	now := n.config.Clock.Moment().Steady
	for _, w := range n.waves {
		left := w.wave
		left.Within -= now - w.at
		v.Waves = append(v.Waves, left)
	}
	return v
}
