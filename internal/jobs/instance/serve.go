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

// own returns a pool that runs here.
func (n *Instance) own(unit string) (*shard.Shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	o, ok := n.shards[unit]
	if !ok || o.shard == nil {
		return nil, shard.EndedError{Pool: unit}
	}
	return o.shard, nil
}

// TakeQuestion answers another instance for a pool that runs here.
func (n *Instance) TakeQuestion(ctx context.Context, q relay.Question) (relay.State, error) {
	s, err := n.own(q.Pool)
	if err != nil {
		return relay.State{}, err
	}
	state, known, err := s.State(ctx, q.Job)
	return relay.State{State: state, Known: known}, err
}

// TakeSubmit stores a job of a pool that runs here.
func (n *Instance) TakeSubmit(ctx context.Context, spec job.Spec) (relay.Taken, error) {
	s, err := n.own(spec.Pool)
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

// TakeCancel ends a job of a pool that runs here.
func (n *Instance) TakeCancel(ctx context.Context, q relay.Question) (relay.State, error) {
	s, err := n.own(q.Pool)
	if err != nil {
		return relay.State{}, err
	}
	known, err := s.Cancel(ctx, q.Job)
	return relay.State{Known: known, State: job.Cancelled}, err
}

// TakeOwns tells another instance whether a unit runs here with a fresh proof.
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

// TakePending tells another instance what waits in a pool that runs here.
func (n *Instance) TakePending(ctx context.Context, p relay.Pool) (relay.Pending, error) {
	s, err := n.own(p.Pool)
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

// TakeAppend appends the numbered records of an owner that cannot reach the store, or proves its epoch.
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

// TakeCordon takes the orders for the workers of a pool that runs here.
func (n *Instance) TakeCordon(ctx context.Context, c relay.Cordon) (machines.Load, error) {
	s, err := n.own(c.Pool)
	if err != nil {
		return machines.Load{}, err
	}
	return s.Orders(ctx, c.Orders)
}

// giveOrders gives the owner of a pool its orders.
func (n *Instance) giveOrders(ctx context.Context, pool string, o machines.Orders) (machines.Load, error) {
	owner, here, err := n.owner(pool)
	if err != nil {
		return machines.Load{}, err
	}
	if here != nil {
		return here.Orders(ctx, o)
	}
	return n.config.Peers.Cordon(ctx, owner, relay.Cordon{Pool: pool, Orders: o})
}

// published returns what operators have published about instances.
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
