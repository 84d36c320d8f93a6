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
	planInterval    = 200 * time.Millisecond
	listInterval    = 400 * time.Millisecond
	proveInterval   = 600 * time.Millisecond // between two checks with the log that no successor has claimed the instances
	proofTTL        = 2200 * time.Millisecond
	exchangeTimeout = 600 * time.Millisecond
	orderTimeout    = 2 * time.Second // from the recording of an order until it is abandoned
)

// OperatorSettings holds the settings of operators that concern instances.
type OperatorSettings struct {
	Pools     []string // pools that run work
	Spare     string
	Evacuated id.Set[id.DataCentre]
	Waves     []catalog.Wave
}

// AutoscalerConfig holds what an Autoscaler needs.
type AutoscalerConfig struct {
	Holder         string
	Log            stream.Log
	Status         stream.Table
	Codec          catalog.Codec
	Machines       worker.Machines
	Clock          claim.Clock
	Logger         *zap.Logger
	HolderCooldown time.Duration // cooldown of an instance after another holder's order
	View           func() OperatorSettings
	// Exchange sends a pool its orders and returns the pool's load.
	Exchange func(ctx context.Context, pool string, o Orders) (Load, error)
}

// Table returns the table of the autoscaler's claims, its recent orders and the progress of waves.
func Table() stream.Table { return stream.Table{Name: "fleet"} }

// Autoscaler is the autoscaler; it moves and maintains all instances.
type Autoscaler struct {
	config      AutoscalerConfig
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
	exchanged          time.Duration // steady time at which these loads had arrived
	orders             map[string]Orders
	sizes              map[string]Size
	waitLogged         time.Duration // when the waits of waves were last logged
	done               map[int]int   // number of maintained instances by wave, as stored
	finished           map[int]bool  // waves whose end is published
	stored             map[int][]string
}

// NewAutoscaler returns an autoscaler; Run starts it.
func NewAutoscaler(c AutoscalerConfig) *Autoscaler {
	return &Autoscaler{
		config: c, planner: NewPlanner(), allocator: limit.NewAllocator(), outcomes: make(chan func(time.Duration), 256), loads: map[string]Load{},
		orders: map[string]Orders{}, done: map[int]int{}, finished: map[int]bool{}, stored: map[int][]string{}, recentOrders: map[string]time.Duration{}, inheritedCooldowns: map[string]time.Duration{},
	}
}

// Run claims the instances and manages them until the context ends or a successor claims them.
func (a *Autoscaler) Run(ctx context.Context) error {
	if err := a.takeOver(ctx); err != nil {
		return err
	}
	return errors.Trace(a.loop(ctx))
}

// takeOver claims the instances and reads what earlier holders have stored.
func (a *Autoscaler) takeOver(ctx context.Context) error {
	claimed, proven, err := claim.Acquire(ctx, claim.Config{
		Log: a.config.Log, Table: Table(), Holder: a.config.Holder, Clock: a.config.Clock, Logger: a.config.Logger,
	})
	if err != nil {
		return errors.Annotate(err, "claiming the instances")
	}
	a.claim, a.writer = claimed, stream.Writer{Epoch: claimed.Epoch()}
	a.planner.NumberOrders(claimed.Epoch())
	a.recordProof(proven)
	if _, err := claim.ReadAll(ctx, a.config.Log, Table(), a.config.Logger, a.load); err != nil {
		return errors.Annotate(err, "taking over the instances")
	}
	// Orders that earlier holders recorded before they lost their claims may still be carried out until they expire.
	for name, cooldown := range a.inheritedCooldowns {
		a.planner.SetCooldown(name, proven+cooldown)
		a.recentOrders[name] = proven + cooldown
	}
	return nil
}

func (a *Autoscaler) loop(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case apply := <-a.outcomes:
			apply(a.config.Clock.Moment().Steady)
			continue
		case <-ticker.C:
		}
		if err := a.iterate(ctx); err != nil {
			return err
		}
	}
}

// iterate runs one iteration of the control loop: it refreshes its inputs, decides and starts the actions.
func (a *Autoscaler) iterate(ctx context.Context) error {
	if err := a.prove(ctx); err != nil {
		return err
	}
	if a.config.Clock.Moment().Steady-a.lastProofAt() > proofTTL {
		return nil
	}
	view := a.config.View()
	a.list(ctx)
	a.exchange(ctx, view.Pools)
	now := a.config.Clock.Moment().Steady
	for _, w := range view.Waves {
		a.addWave(ctx, now, w)
	}
	a.withdrawWaves(view.Waves)
	if now-a.lastProofAt() > proofTTL || len(a.instances) == 0 {
		return nil
	}
	plan := a.planner.Tick(Input{
		Now: now, Listed: a.listed, Instances: a.instances, Loads: a.loads, Spare: view.Spare, Evacuated: view.Evacuated,
	})
	a.orders = plan.Orders
	a.logSizes(plan.Sizes)
	a.logWaiting(now)
	if err := a.record(ctx, now, plan.Actions); err != nil {
		return a.refuseActions(now, plan.Actions, err)
	}
	for _, action := range plan.Actions {
		o := &order{autoscaler: a, action: action, deadline: now + orderTimeout}
		go o.run(ctx)
	}
	return a.report(ctx)
}

func (a *Autoscaler) prove(ctx context.Context) error {
	now := a.config.Clock.Moment().Steady
	if now-a.lastProofAt() < proveInterval {
		return nil
	}
	err := a.claim.Prove(ctx)
	var fenced stream.FencedError
	if errors.As(err, &fenced) {
		return errors.Annotate(err, "proving the claim on the instances")
	}
	if err == nil {
		a.recordProof(now)
	}
	return nil
}

// recordProof records the send time of a proof of ownership that the log has confirmed.
func (a *Autoscaler) recordProof(sent time.Duration) {
	a.lastProof.Store(max(a.lastProof.Load(), int64(sent)))
}

func (a *Autoscaler) lastProofAt() time.Duration { return time.Duration(a.lastProof.Load()) }

// HasRecentProof reports whether the log has recently confirmed that this autoscaler owns the instances.
func (a *Autoscaler) HasRecentProof(context.Context) (bool, error) {
	proven := a.lastProofAt()
	return proven > 0 && a.config.Clock.Moment().Steady-proven < claim.MaxProofAge, nil
}

func (a *Autoscaler) list(ctx context.Context) {
	asked := a.config.Clock.Moment().Steady
	if asked-a.listed < listInterval && a.listed > 0 {
		return
	}
	instances, err := a.config.Machines.List(ctx)
	if err != nil {
		a.config.Logger.Warn("could not list the instances", zap.Error(err))
		return
	}
	a.instances, a.listed = instances, asked
}

// exchange sends every pool its orders and collects the loads of the pools.
func (a *Autoscaler) exchange(ctx context.Context, pools []string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	a.round++
	grants := a.allocator.Allocate(pools)
	var wait sync.WaitGroup
	var mu sync.Mutex
	loads := map[string]Load{}
	for _, pool := range pools {
		wait.Go(func() {
			orders := a.orders[pool]
			grant := grants[pool]
			orders.Fence, orders.Round = a.claim.Epoch(), a.round
			orders.Owner, orders.Allocations, orders.Overdrafts = grant.Owner, grant.Allocations, grant.Overdrafts
			orders.Gone = goneSince(a.loads[pool].Silences, a.exchanged, a.listed, a.instances)
			load, err := a.config.Exchange(ctx, pool, orders)
			if err != nil {
				a.config.Logger.Debug("pool did not answer the autoscaler", zap.String("pool", pool), zap.Error(err))
				return
			}
			mu.Lock()
			a.allocator.RecordDemand(pool, load.Owner, load.LimitDemands)
			loads[pool] = load
			mu.Unlock()
		})
	}
	wait.Wait()
	a.loads, a.exchanged = loads, a.config.Clock.Moment().Steady
}
