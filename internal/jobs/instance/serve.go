package instance

import (
	"context"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// own returns a pool that runs here.
func (n *Instance) own(pool string) (*shard.Shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	o, ok := n.shards[pool]
	if !ok {
		return nil, shard.EndedError{Pool: pool}
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

// TakeCordon empties workers of a pool that runs here.
func (n *Instance) TakeCordon(ctx context.Context, c relay.Cordon) (relay.Load, error) {
	s, err := n.own(c.Pool)
	if err != nil {
		return relay.Load{}, err
	}
	empty, err := s.SetCordoned(ctx, c.Workers)
	return relay.Load{Empty: empty}, err
}
