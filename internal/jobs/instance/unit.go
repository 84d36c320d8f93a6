package instance

import (
	"context"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
)

// start runs a unit; the caller holds the lock.
func (n *Instance) start(ctx context.Context, unit string) {
	ctx, cancel := context.WithCancel(ctx)
	o := &owned{cancel: cancel, done: make(chan struct{})}
	n.shards[unit] = o
	if unit == fleetUnit {
		o.runner = n.keeper()
	} else {
		o.shard = n.shard(unit)
		o.runner = o.shard
	}
	go o.run(ctx, unit, n.config.Logger)
}

func (n *Instance) shard(unit string) *shard.Shard {
	set := n.config.Settings
	return shard.New(shard.Config{
		Pool: unit, Holder: set.Name, Log: n.detour, Workers: n.config.Workers, Advisor: n.config.Advisor,
		Clock: n.config.Clock, Logger: n.config.Logger, Observer: n.config.Metrics.Observer(unit, n.config.Logger), Watch: n.config.Metrics.Watch(unit),
		Settings: shard.Settings{Lease: set.Lease(), MaxLease: set.MaxLease, Retention: set.Retention, Far: set.Far},
		View:     func() shard.View { return n.view(unit) },
	})
}

func (n *Instance) keeper() *machines.Keeper {
	return machines.NewKeeper(machines.KeeperConfig{
		Holder: n.config.Settings.Name, Log: n.detour, Status: n.config.Tables.Status, Codec: n.config.Codec,
		Machines: n.config.Machines, Clock: n.config.Clock, Logger: n.config.Logger, Turn: n.config.Settings.Turn,
		View: n.published, Ask: n.giveOrders,
	})
}

// runner is a pool or the keeper of the instances.
type runner interface {
	Run(ctx context.Context) error
	Fresh(ctx context.Context) (bool, error) // whether the log has lately confirmed the claim
}

func (o *owned) run(ctx context.Context, unit string, logger *zap.Logger) {
	defer close(o.done)
	defer o.cancel()
	err := o.runner.Run(ctx)
	logger.Info("unit is owned here no longer", zap.String("unit", unit), zap.Error(err))
}
