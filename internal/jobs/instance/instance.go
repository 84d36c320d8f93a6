package instance

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Tables names the tables that the platform keeps.
type Tables struct{ Operators, Workers, Status stream.Table }

// Config holds what an Instance needs.
type Config struct {
	Settings Settings
	Tables   Tables
	Codec    catalog.Codec
	Log      stream.Log
	Groups   stream.Groups
	// Conditional is the same store as Log.
	Conditional stream.Conditional
	Workers     worker.Client
	Machines    worker.Machines
	Advisor     worker.Advisor
	Peers       *relay.Client
	Clock       claim.Clock
	Logger      *zap.Logger
	Metrics     *Metrics
}

// Instance is one process of the program.
type Instance struct {
	config Config
	detour *detour

	mu          sync.RWMutex // guards everything below
	catalog     *snapshot
	evacuated   id.Set[id.DataCentre]
	waves       map[int]announced
	workers     map[string]catalog.Worker
	former      map[string][]string // pools that a queue had before, newest last
	untold      []string            // queues whose former pools are to be stored
	owners      owners.Table
	ownersEnd   int64 // offset up to which the table of owners is known
	alive       []owners.Member
	aliveAt     time.Duration // steady time at which the list of the live was asked for
	shards      map[string]*owned
	heard       time.Duration // steady time of the newest answer of the store
	stopping    bool
	ownersKnown bool
	ownedSince  map[string]time.Duration // when a unit changed hands, as heard here

	ownersChanged chan struct{}
	leave         chan struct{} // closed when the instance is to stop
	left          chan struct{} // closed once it has given up its pools
}

// announced is a wave and when it was first seen.
type announced struct {
	wave catalog.Wave
	at   time.Duration
}

// owned is a unit that this instance runs.
type owned struct {
	runner runner
	shard  *shard.Shard // nil for the keeper of the instances
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns an instance.
func New(c Config) *Instance {
	n := &Instance{
		config: c, evacuated: id.Set[id.DataCentre]{}, waves: map[int]announced{}, workers: map[string]catalog.Worker{},
		former: map[string][]string{}, shards: map[string]*owned{}, owners: owners.Table{}, ownedSince: map[string]time.Duration{}, ownersChanged: make(chan struct{}, 1), leave: make(chan struct{}), left: make(chan struct{}),
	}
	n.detour = &detour{Log: c.Log, instance: n}
	return n
}

// Run follows the platform until the context ends.
func (n *Instance) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	operators := &feed{instance: n, table: n.config.Tables.Operators, wait: operatorWait, replace: n.replaceOperators, take: n.takeOperator}
	workers := &feed{instance: n, table: n.config.Tables.Workers, gap: workerGap, replace: n.replaceWorkers, take: n.takeWorker, needed: n.ownsPools}
	table := n.ownerFeed()
	members := &membership{instance: n}
	group.Go(func() error { return operators.loop(ctx) })
	group.Go(func() error { return workers.loop(ctx) })
	group.Go(func() error { return table.loop(ctx) })
	group.Go(func() error { return members.loop(ctx) })
	return errors.Trace(group.Wait())
}

// Stop hands the pools over and waits until that is done or the context ends.
func (n *Instance) Stop(ctx context.Context) {
	n.mu.Lock()
	first := !n.stopping
	n.stopping = true
	n.mu.Unlock()
	if first {
		close(n.leave)
	}
	select {
	case <-n.left:
	case <-ctx.Done():
	}
}

// storeSilence is how long the store may be silent before callers are better off elsewhere.
const storeSilence = 2500 * time.Millisecond

// Ready reports whether callers should be sent here.
func (n *Instance) Ready() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.catalog != nil && n.ownersKnown && !n.stopping && n.config.Clock.Moment().Steady-n.heard < storeSilence
}

// ownsPools reports whether any pool runs here, so that its workers must be known.
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

// hear notes that the store has answered.
func (n *Instance) hear() {
	n.mu.Lock()
	n.heard = n.config.Clock.Moment().Steady
	n.mu.Unlock()
}

// view returns what is published as far as it concerns a pool.
func (n *Instance) view(pool string) shard.View {
	n.mu.RLock()
	defer n.mu.RUnlock()
	v := shard.View{Evacuated: id.Set[id.DataCentre]{}, Limits: map[string]catalog.Amount{}, Weights: map[string]int{}}
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
	v.Pools = len(n.catalog.Serving())
	for _, t := range n.catalog.Teams {
		v.Weights[t.Name] = t.Weight
		v.Limits[t.Name] = t.Cap
	}
	return v
}

// refreshShards has the pools that run here look at what is published.
func (n *Instance) refreshShards() {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, o := range n.shards {
		if o.shard != nil {
			o.shard.Refresh()
		}
	}
}

// snapshot is the configuration in force.
type snapshot struct{ *catalog.Config }

// units returns the names of what instances own.
func (c snapshot) units() []string {
	return append(c.Serving(), fleetUnit)
}

// fleetUnit is the unit whose owner moves and maintains instances.
const fleetUnit = "fleet"
