package instance

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/peer"
)

// localShard returns the shard of a pool that this instance owns.
func (n *Instance) localShard(shardName string) (*shard.Shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	o, ok := n.shards[shardName]
	if !ok || o.shard == nil {
		return nil, shard.NotOwnerError{Pool: shardName}
	}
	return o.shard, nil
}

// HandleState returns the state of a job of a pool that this instance owns.
func (n *Instance) HandleState(ctx context.Context, q relay.JobRequest) (relay.JobReply, error) {
	s, err := n.localShard(q.Pool)
	if err != nil {
		return relay.JobReply{}, err
	}
	state, known, err := s.State(ctx, q.Job)
	return relay.JobReply{State: state, Known: known}, err
}

// HandleSubmit stores a job of a pool that this instance owns.
func (n *Instance) HandleSubmit(ctx context.Context, spec job.Spec) (relay.SubmitReply, error) {
	if err := spec.Check(); err != nil {
		return relay.SubmitReply{}, err
	}
	s, err := n.localShard(spec.Pool)
	if err == nil {
		err = s.Submit(ctx, spec)
	} else {
		err = shard.RejectedError{Reason: err.Error()}
	}
	var overloaded pool.OverloadedError
	var rejected shard.RejectedError
	var sealed shard.SealedError
	switch {
	case errors.As(err, &sealed):
		return relay.SubmitReply{Sealed: true}, nil
	case errors.As(err, &overloaded):
		return relay.SubmitReply{Rejected: true, RetryAfter: overloaded.Wait, Reason: overloaded.Reason}, nil
	case errors.As(err, &rejected):
		return relay.SubmitReply{NotStored: true}, nil
	}
	return relay.SubmitReply{}, err
}

// HandleSeal tells whether a pool that this instance owns has a job, and seals the job's route there.
func (n *Instance) HandleSeal(ctx context.Context, r relay.SealRequest) (relay.PresenceReply, error) {
	s, err := n.localShard(r.Pool)
	if err != nil {
		return relay.PresenceReply{}, err
	}
	presence, err := s.Seal(ctx, r.Route, r.Version, r.Job)
	return relay.NewPresenceReply(presence), err
}

// HandleCancel cancels a job of a pool that this instance owns.
func (n *Instance) HandleCancel(ctx context.Context, q relay.JobRequest) (relay.PresenceReply, error) {
	s, err := n.localShard(q.Pool)
	if err != nil {
		return relay.PresenceReply{}, err
	}
	presence, err := s.Cancel(ctx, q.Job)
	var overloaded pool.OverloadedError
	if errors.As(err, &overloaded) {
		return relay.PresenceReply{}, peer.OverloadedError{Reason: overloaded.Error()}
	}
	return relay.NewPresenceReply(presence), err
}

// HandleOwns reports whether this instance owns a shard and has a recent proof of that.
func (n *Instance) HandleOwns(ctx context.Context, p relay.PoolRequest) (relay.OwnsReply, error) {
	n.mu.RLock()
	o, ok := n.shards[p.Pool]
	n.mu.RUnlock()
	if !ok {
		return relay.OwnsReply{}, shard.NotOwnerError{Pool: p.Pool}
	}
	recent, err := o.runner.HasRecentProof(ctx)
	return relay.OwnsReply{HasRecentProof: recent}, err
}

// HandleAccepts reports whether this instance can take over a shard: it is in touch with the store, is not stopping, knows
// the shard, and has run for long enough that it does not seem to come and go.
func (n *Instance) HandleAccepts(_ context.Context, p relay.PoolRequest) (relay.AcceptsReply, error) {
	if !n.Ready() {
		return relay.AcceptsReply{}, nil
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	settled := n.config.Clock.Moment().Steady >= n.startedAt+owners.SettleTime
	return relay.AcceptsReply{Accepts: settled && !n.observer && slices.Contains(n.shardNamesLocked(), p.Pool)}, nil
}

// HandlePending returns how many jobs of a route wait in a pool that this instance owns.
func (n *Instance) HandlePending(ctx context.Context, p relay.PendingRequest) (relay.PendingReply, error) {
	s, err := n.localShard(p.Pool)
	if err != nil {
		return relay.PendingReply{}, err
	}
	count, err := s.Pending(ctx, p.Route, p.Queue)
	return relay.PendingReply{Count: count}, err
}

// HandleStore appends records for an instance that cannot reach the store.
func (n *Instance) HandleStore(ctx context.Context, s relay.StoreRequest) (relay.StoreReply, error) {
	offset, err := n.config.Log.Append(ctx, s.Table, s.Records, nil)
	if err == nil {
		return relay.StoreReply{Stored: true, Offset: offset}, nil
	}
	var notDone stream.NotDoneError
	return relay.StoreReply{Indeterminate: !errors.As(err, &notDone)}, nil
}

// HandleAppend appends the numbered records of an owner that cannot reach the store, or, without records, fences the
// table with its epoch.
func (n *Instance) HandleAppend(ctx context.Context, a relay.AppendRequest) (relay.AppendReply, error) {
	if len(a.Records) == 0 {
		return relay.NewAppendReply(0, n.config.Log.Fence(ctx, a.Table, a.Writer.Epoch))
	}
	return relay.NewAppendReply(n.config.Log.Append(ctx, a.Table, a.Records, &a.Writer))
}

// HandleRead reads a table for an instance that cannot reach the store.
func (n *Instance) HandleRead(ctx context.Context, r relay.ReadRequest) (relay.ReadReply, error) {
	return relay.NewReadReply(n.config.Log.Read(ctx, r.Table, r.From, r.Wait))
}

// HandleCordon applies orders for the workers of a pool that this instance owns.
func (n *Instance) HandleCordon(ctx context.Context, c relay.CordonRequest) (machines.Load, error) {
	s, err := n.localShard(c.Pool)
	if err != nil {
		return machines.Load{}, err
	}
	return s.ApplyOrders(ctx, c.Orders)
}

// sendOrders sends orders for the workers of a pool to its owner.
func (n *Instance) sendOrders(ctx context.Context, pool string, o machines.Orders) (machines.Load, error) {
	owner, here, err := n.owner(pool)
	if err != nil {
		return machines.Load{}, err
	}
	if here != nil {
		return here.ApplyOrders(ctx, o)
	}
	return n.config.Peers.Cordon(ctx, owner, relay.CordonRequest{Pool: pool, Orders: o})
}

// operatorSettings returns the operators' settings that concern instances.
func (n *Instance) operatorSettings() machines.OperatorSettings {
	n.mu.RLock()
	defer n.mu.RUnlock()
	v := machines.OperatorSettings{Evacuated: id.Set[id.DataCentre]{}}
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
