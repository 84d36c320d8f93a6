package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Tables names the tables of the platform.
type Tables struct{ Operators, Workers, Status stream.Table }

// Config holds what an Instance needs.
type Config struct {
	Settings Settings
	Tables   Tables
	Codec    catalog.Codec
	Log      stream.Log
	Groups   stream.Groups
	// ConditionalLog is the same store as Log.
	ConditionalLog stream.ConditionalLog
	Workers        worker.Client
	Machines       worker.Machines
	Advisor        worker.Advisor
	Peers          *relay.Client
	Clock          claim.Clock
	Logger         *zap.Logger
	Metrics        *Metrics
}

// Instance is one process of the program.
type Instance struct {
	config     Config
	proxiedLog *proxiedLog

	holderWrites singleflight.Group // records of holders that are being written
	storeBudget  *rate.Limiter      // of the bytes that this instance stores in intakes

	mu              sync.RWMutex // guards everything below
	catalog         *snapshot
	evacuated       id.Set[id.DataCentre]
	waves           map[int]announcedWave
	workers         map[string]catalog.Worker
	holders         map[catalog.Route][]holder
	owners          owners.Table
	ownersEnd       int64 // offset up to which the table of owners is read
	alive           []owners.Member
	partitions      int           // partitions of the group, as of alive
	observer        bool          // stays out of the group, since enough heavier instances are in it
	aliveAsOf       time.Duration // steady time of the request that returned alive
	operatorsSeenAt time.Duration // steady time as of which all that the operators have written is applied
	shards          map[string]*owned
	startedAt       time.Duration // steady time at which Run was called
	lastReply       time.Duration // steady time of the newest reply of the store
	stopping        bool
	ownersKnown     bool
	ownedSince      map[string]time.Duration // steady time at which this instance saw the owner of a shard change

	ownersChanged chan struct{}
	stop          chan struct{} // closed when the instance is to stop
	stopped       chan struct{} // closed once it has handed over its shards
}

// announcedWave is a maintenance wave and the steady time at which it was first seen.
type announcedWave struct {
	wave catalog.Wave
	at   time.Duration
}

// owned is a shard that this instance owns.
type owned struct {
	runner runner
	shard  *shard.Shard // nil for the autoscaler
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns an instance.
func New(c Config) *Instance {
	n := &Instance{
		config: c, evacuated: id.Set[id.DataCentre]{}, waves: map[int]announcedWave{}, workers: map[string]catalog.Worker{},
		holders: map[catalog.Route][]holder{}, shards: map[string]*owned{}, owners: owners.Table{}, ownedSince: map[string]time.Duration{}, ownersChanged: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	n.proxiedLog = &proxiedLog{Log: c.Log, instance: n}
	n.storeBudget = newStoreBudget(c.Settings)
	return n
}

// Run follows the platform until the context ends.
func (n *Instance) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	operators := &feed{
		instance: n, table: n.config.Tables.Operators, wait: operatorWait, replace: n.replaceOperators, apply: n.applyOperator, onSeen: n.recordOperatorsSeen,
	}
	workers := &feed{instance: n, table: n.config.Tables.Workers, gap: workerGap, replace: n.replaceWorkers, apply: n.applyWorker, needed: n.ownsPools}
	table := n.ownerFeed()
	members := newMembership(n)
	n.mu.Lock()
	n.startedAt = n.config.Clock.Moment().Steady
	n.mu.Unlock()
	group.Go(func() error { return operators.loop(ctx) })
	group.Go(func() error { return workers.loop(ctx) })
	group.Go(func() error { return table.loop(ctx) })
	group.Go(func() error { return members.loop(ctx) })
	return errors.Trace(group.Wait())
}

// Stop hands the shards over and waits until that is done or the context ends.
func (n *Instance) Stop(ctx context.Context) {
	n.mu.Lock()
	first := !n.stopping
	n.stopping = true
	n.mu.Unlock()
	if first {
		close(n.stop)
	}
	select {
	case <-n.stopped:
	case <-ctx.Done():
	}
}

// readySilenceLimit is the time without a reply of the store after which this instance reports that it is not ready.
const readySilenceLimit = 2500 * time.Millisecond

// Ready reports whether the load balancer should send callers to this instance.
func (n *Instance) Ready() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.catalog != nil && n.ownersKnown && !n.stopping && n.config.Clock.Moment().Steady-n.lastReply < readySilenceLimit
}

// ownsPools reports whether this instance owns a pool and therefore has to follow the workers' table.
func (n *Instance) ownsPools() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, o := range n.shards {
		if o.shard != nil {
			return true
		}
	}
	return false
}

// recordReply records the time of a reply of the store.
func (n *Instance) recordReply() {
	n.mu.Lock()
	n.lastReply = n.config.Clock.Moment().Steady
	n.mu.Unlock()
}

// view returns the published data that concerns a pool.
func (n *Instance) view(pool string) shard.View {
	n.mu.RLock()
	defer n.mu.RUnlock()
	v := shard.View{Evacuated: id.Set[id.DataCentre]{}, Limits: map[string]catalog.Resources{}, Weights: map[string]int{}}
	for dc := range n.evacuated {
		v.Evacuated.Add(dc)
	}
	for _, w := range n.workers {
		if w.Pool == pool {
			v.Workers = append(v.Workers, w)
		}
	}
	if n.catalog == nil {
		return v
	}
	v.PoolCount = len(n.catalog.Serving())
	for _, t := range n.catalog.Teams {
		v.Weights[t.Name] = t.Weight
		v.Limits[t.Name] = t.Limit
	}
	return v
}

// refreshShards makes the pools that this instance owns read the published data again.
func (n *Instance) refreshShards() {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, o := range n.shards {
		if o.shard != nil {
			o.shard.Refresh()
		}
	}
}

// snapshot is the current configuration.
type snapshot struct{ *catalog.Config }

// poolsLocked returns the sorted names of the pools that have owners: those that run tasks, and those that an earlier
// configuration sent jobs to, which may have jobs and cancellations. Capacity goes to the former alone. The caller holds the lock.
func (n *Instance) poolsLocked() []string {
	pools := n.catalog.Serving()
	for _, holders := range n.holders {
		for _, h := range holders {
			if i, found := slices.BinarySearch(pools, h.pool); !found {
				pools = slices.Insert(pools, i, h.pool)
			}
		}
	}
	return pools
}

// shardNamesLocked returns the names of all shards: the pools and the fleet. The caller holds the lock.
func (n *Instance) shardNamesLocked() []string { return append(n.poolsLocked(), fleetShard) }

// fleetShard is the shard whose owner moves and maintains instances.
const fleetShard = "fleet"
