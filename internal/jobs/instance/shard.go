package instance

import (
	"context"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
)

// start runs a shard. The caller holds the lock.
func (n *Instance) start(ctx context.Context, shardName string) {
	ctx, cancel := context.WithCancel(ctx)
	o := &owned{cancel: cancel, done: make(chan struct{})}
	n.shards[shardName] = o
	if shardName == fleetShard {
		o.runner = n.autoscaler()
	} else {
		o.shard = n.shard(shardName)
		o.runner = o.shard
	}
	go o.run(ctx, shardName, n.config.Logger)
}

func (n *Instance) shard(shardName string) *shard.Shard {
	set := n.config.Settings
	return shard.New(shard.Config{
		Pool: shardName, Holder: set.Name, Log: n.proxiedLog, ConditionalLog: n.config.ConditionalLog, Workers: n.config.Workers, Advisor: n.config.Advisor,
		Clock: n.config.Clock, Logger: n.config.Logger, Observer: n.config.Metrics.Observer(shardName, n.config.Logger), TimingObserver: n.config.Metrics.TimingObserver(shardName),
		RunTimeObserver: n.config.Metrics.RunTimeObserver(shardName, n.config.Logger),
		Settings: shard.Settings{
			Lease: set.Lease(), MaxLease: set.MaxLease, Retention: set.Retention,
			CancelTimeout: set.CancelTimeout, EvacuationTimeout: set.EvacuationTimeout, RemoteSlowdown: set.RemoteSlowdown,
			RecordBytes: set.RecordBytes, CallBytes: set.CallBytes, Admission: set.Admission, Memory: set.Memory, JobMemory: set.JobMemory,
		},
		View:          func() shard.View { return n.view(shardName) },
		OperatorsSeen: n.operatorsSeen,
		Forward:       n.forward,

		OtherJobMemory: func() int64 { return n.otherJobMemory(shardName) },
	})
}

// otherJobMemory returns the memory of the jobs of the pools that this instance owns beside one, in bytes.
func (n *Instance) otherJobMemory(shardName string) int64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var sum int64
	for name, o := range n.shards {
		if name != shardName && o.shard != nil {
			sum += o.shard.JobMemory()
		}
	}
	return sum
}

func (n *Instance) autoscaler() *machines.Autoscaler {
	return machines.NewAutoscaler(machines.AutoscalerConfig{
		Holder: n.config.Settings.Name, Log: n.proxiedLog, Status: n.config.Tables.Status, Codec: n.config.Codec,
		Machines: n.config.Machines, Clock: n.config.Clock, Logger: n.config.Logger, HolderCooldown: n.config.Settings.HolderCooldown,
		View: n.operatorSettings, Exchange: n.sendOrders,
	})
}

// runner runs a shard: a pool or the autoscaler.
type runner interface {
	Run(ctx context.Context) error
	HasRecentProof(ctx context.Context) (bool, error) // whether the log has recently confirmed the claim
}

func (o *owned) run(ctx context.Context, shardName string, logger *zap.Logger) {
	defer close(o.done)
	defer o.cancel()
	err := o.runner.Run(ctx)
	logger.Info("stopped owning shard", zap.String("unit", shardName), zap.Error(err))
}
