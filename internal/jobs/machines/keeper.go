package machines

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Intervals and timeouts of the autoscaler.
const (
	planInterval  = 200 * time.Millisecond
	listInterval  = 400 * time.Millisecond
	proveInterval = 600 * time.Millisecond // between two checks with the log that no successor has claimed the instances
	proofTTL      = 2200 * time.Millisecond
	askTimeout    = 600 * time.Millisecond
	orderTimeout  = 2 * time.Second // from the recording of an order until it is abandoned
)

// Published holds the settings of operators that concern instances.
type Published struct {
	Pools     []string // pools that run work
	Spare     string
	Evacuated id.Set[id.DataCentre]
	Waves     []catalog.Wave
}

// KeeperConfig holds what a Keeper needs.
type KeeperConfig struct {
	Holder   string
	Log      stream.Log
	Status   stream.Table
	Codec    catalog.Codec
	Machines worker.Machines
	Clock    claim.Clock
	Logger   *zap.Logger
	Turn     time.Duration // cooldown of an instance after another holder's order
	View     func() Published
	// Ask sends a pool its orders and returns the pool's load.
	Ask func(ctx context.Context, pool string, o Orders) (Load, error)
}

// Table returns the table of the autoscaler's claims, its recent orders and the progress of waves.
func Table() stream.Table { return stream.Table{Name: "fleet"} }

// Keeper is the autoscaler; it moves and maintains all instances.
type Keeper struct {
	config      KeeperConfig
	planner     *Planner
	claim       *claim.Claim
	writer      stream.Writer
	unconfirmed *stream.Record // record whose append got no answer, nil for none

	allocator          *limit.Allocator
	round              int64
	outcomes           chan func(now time.Duration) // called by loop
	lastProof          atomic.Int64                 // steady time at which the latest confirmed proof was sent, in nanoseconds; 0 for none
	recentOrders       map[string]time.Duration     // recently ordered instances, with the end of their cooldown for other holders
	inheritedCooldowns map[string]time.Duration     // instances ordered by earlier holders, with their cooldown from the claim on
	listed             time.Duration
	instances          []catalog.Instance
	loads              map[string]Load
	orders             map[string]Orders
	sizes              map[string]Size
	waitLogged         time.Duration // when the waits of waves were last logged
	done               map[int]int   // number of maintained instances by wave, as stored
	finished           map[int]bool  // waves whose end is published
	stored             map[int][]string
}

// NewKeeper returns an autoscaler; Run starts it.
func NewKeeper(c KeeperConfig) *Keeper {
	return &Keeper{
		config: c, planner: NewPlanner(), allocator: limit.NewAllocator(), outcomes: make(chan func(time.Duration), 256), loads: map[string]Load{},
		orders: map[string]Orders{}, done: map[int]int{}, finished: map[int]bool{}, stored: map[int][]string{}, recentOrders: map[string]time.Duration{}, inheritedCooldowns: map[string]time.Duration{},
	}
}

// Run claims the instances and manages them until the context ends or a successor claims them.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.takeOver(ctx); err != nil {
		return err
	}
	return errors.Trace(k.loop(ctx))
}

// takeOver claims the instances and reads what earlier holders have stored.
func (k *Keeper) takeOver(ctx context.Context) error {
	claimed, proven, err := claim.Acquire(ctx, claim.Config{
		Log: k.config.Log, Table: Table(), Holder: k.config.Holder, Clock: k.config.Clock, Logger: k.config.Logger,
	})
	if err != nil {
		return errors.Annotate(err, "claiming the instances")
	}
	k.claim, k.writer = claimed, stream.Writer{Epoch: claimed.Epoch()}
	k.recordProof(proven)
	if _, err := claim.ReadAll(ctx, k.config.Log, Table(), k.config.Logger, k.load); err != nil {
		return errors.Annotate(err, "taking over the instances")
	}
	// Orders that earlier holders recorded before they lost their claims may still be carried out until they expire.
	for name, cooldown := range k.inheritedCooldowns {
		k.planner.SetCooldown(name, proven+cooldown)
		k.recentOrders[name] = proven + cooldown
	}
	return nil
}

func (k *Keeper) loop(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case apply := <-k.outcomes:
			apply(k.config.Clock.Moment().Steady)
			continue
		case <-ticker.C:
		}
		if err := k.iterate(ctx); err != nil {
			return err
		}
	}
}

// iterate runs one iteration of the control loop: it refreshes its inputs, decides and starts the actions.
func (k *Keeper) iterate(ctx context.Context) error {
	if err := k.prove(ctx); err != nil {
		return err
	}
	if k.config.Clock.Moment().Steady-k.lastProofAt() > proofTTL {
		return nil
	}
	view := k.config.View()
	k.list(ctx)
	k.exchange(ctx, view.Pools)
	now := k.config.Clock.Moment().Steady
	for _, w := range view.Waves {
		k.addWave(ctx, now, w)
	}
	if now-k.lastProofAt() > proofTTL || len(k.instances) == 0 {
		return nil
	}
	plan := k.planner.Tick(Input{
		Now: now, Listed: k.listed, Instances: k.instances, Loads: k.loads, Spare: view.Spare, Evacuated: view.Evacuated,
	})
	k.orders = plan.Orders
	k.logSizes(plan.Sizes)
	k.logWaiting(now)
	if err := k.record(ctx, now, plan.Actions); err != nil {
		return k.refuseActions(now, plan.Actions, err)
	}
	for _, a := range plan.Actions {
		o := &order{keeper: k, action: a, deadline: now + orderTimeout}
		go o.run(ctx)
	}
	return k.report(ctx)
}

func (k *Keeper) prove(ctx context.Context) error {
	now := k.config.Clock.Moment().Steady
	if now-k.lastProofAt() < proveInterval {
		return nil
	}
	err := k.claim.Prove(ctx)
	var fenced stream.FencedError
	if errors.As(err, &fenced) {
		return errors.Annotate(err, "proving the claim on the instances")
	}
	if err == nil {
		k.recordProof(now)
	}
	return nil
}

// recordProof records the send time of a proof of ownership that the log has confirmed.
func (k *Keeper) recordProof(sent time.Duration) {
	k.lastProof.Store(max(k.lastProof.Load(), int64(sent)))
}

func (k *Keeper) lastProofAt() time.Duration { return time.Duration(k.lastProof.Load()) }

// HasRecentProof reports whether the log has recently confirmed that this autoscaler owns the instances.
func (k *Keeper) HasRecentProof(context.Context) (bool, error) {
	proven := k.lastProofAt()
	return proven > 0 && k.config.Clock.Moment().Steady-proven < claim.MaxProofAge, nil
}

func (k *Keeper) list(ctx context.Context) {
	asked := k.config.Clock.Moment().Steady
	if asked-k.listed < listInterval && k.listed > 0 {
		return
	}
	instances, err := k.config.Machines.List(ctx)
	if err != nil {
		k.config.Logger.Warn("could not list the instances", zap.Error(err))
		return
	}
	k.instances, k.listed = instances, asked
}

// exchange sends every pool its orders and collects the loads of the pools.
func (k *Keeper) exchange(ctx context.Context, pools []string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	k.round++
	allocations := k.allocator.Allocate(pools)
	var wait sync.WaitGroup
	var mu sync.Mutex
	loads := map[string]Load{}
	for _, pool := range pools {
		wait.Go(func() {
			orders := k.orders[pool]
			orders.Fence, orders.Turn, orders.Parts = k.claim.Epoch(), k.round, allocations[pool]
			load, err := k.config.Ask(ctx, pool, orders)
			if err != nil {
				k.config.Logger.Debug("pool did not answer the autoscaler", zap.String("pool", pool), zap.Error(err))
				return
			}
			mu.Lock()
			k.allocator.RecordDemand(pool, load.Claims)
			loads[pool] = load
			mu.Unlock()
		})
	}
	wait.Wait()
	k.loads = loads
}
