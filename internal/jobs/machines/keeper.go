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

// Times of a keeper.
const (
	planInterval  = 200 * time.Millisecond
	listInterval  = 400 * time.Millisecond
	proveInterval = 600 * time.Millisecond // between two proofs that no successor has claimed the instances
	proofLife     = 2200 * time.Millisecond
	askTimeout    = 600 * time.Millisecond
	orderLife     = 2 * time.Second // from the recording of an order, after which it is given up
)

// Published is what operators have published, as far as it concerns instances.
type Published struct {
	Pools     []string // that run work
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
	Turn     time.Duration // quiet time after another holder's orders
	View     func() Published
	// Ask gives a pool its orders and returns how its work stands.
	Ask func(ctx context.Context, pool string, o Orders) (Load, error)
}

// Table holds the claims on the instances and how far the waves are.
func Table() stream.Table { return stream.Table{Name: "fleet"} }

// Keeper moves and maintains all instances.
type Keeper struct {
	config  KeeperConfig
	planner *Planner
	claim   *claim.Claim
	writer  stream.Writer
	unsure  *stream.Record // whose append was not answered, nil for none

	dealer    *limit.Dealer
	round     int64
	outcomes  chan func(now time.Duration) // run by loop
	proven    atomic.Int64                 // steady time at which the newest answered proof was sent, in nanoseconds; 0 for none
	recent    map[string]time.Duration     // instances that were ordered about lately, until when others leave them alone
	inherited map[string]time.Duration     // the same of earlier holders, for how long from the claim
	listed    time.Duration
	instances []catalog.Instance
	loads     map[string]Load
	orders    map[string]Orders
	sizes     map[string]Size
	told      time.Duration // when it was last said what waves wait for
	done      map[int]int   // maintained instances by wave, as stored
	finished  map[int]bool  // waves whose end is published
	stored    map[int][]string
}

// NewKeeper returns a keeper that is to be run.
func NewKeeper(c KeeperConfig) *Keeper {
	return &Keeper{
		config: c, planner: NewPlanner(), dealer: limit.NewDealer(), outcomes: make(chan func(time.Duration), 256), loads: map[string]Load{},
		orders: map[string]Orders{}, done: map[int]int{}, finished: map[int]bool{}, stored: map[int][]string{}, recent: map[string]time.Duration{}, inherited: map[string]time.Duration{},
	}
}

// Run claims the instances and keeps them until the context ends or a successor claims them.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.takeOver(ctx); err != nil {
		return err
	}
	return errors.Trace(k.loop(ctx))
}

// takeOver claims the instances and reads what earlier holders have stored.
func (k *Keeper) takeOver(ctx context.Context) error {
	claimed, proven, err := claim.Take(ctx, claim.Config{
		Log: k.config.Log, Table: Table(), Holder: k.config.Holder, Clock: k.config.Clock, Logger: k.config.Logger,
	})
	if err != nil {
		return errors.Annotate(err, "claiming the instances")
	}
	k.claim, k.writer = claimed, stream.Writer{Epoch: claimed.Epoch()}
	k.proved(proven)
	if _, err := claim.ReadAll(ctx, k.config.Log, Table(), k.config.Logger, k.load); err != nil {
		return errors.Annotate(err, "taking over the instances")
	}
	// What earlier holders recorded before they lost their claims may be carried out until their orders are given up.
	for name, rest := range k.inherited {
		k.planner.Rest(name, proven+rest)
		k.recent[name] = proven + rest
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
		case take := <-k.outcomes:
			take(k.config.Clock.Moment().Steady)
			continue
		case <-ticker.C:
		}
		if err := k.turn(ctx); err != nil {
			return err
		}
	}
}

// turn gathers what is known, decides and carries out one round.
func (k *Keeper) turn(ctx context.Context) error {
	if err := k.prove(ctx); err != nil {
		return err
	}
	if k.config.Clock.Moment().Steady-k.provenAt() > proofLife {
		return nil
	}
	view := k.config.View()
	k.list(ctx)
	k.ask(ctx, view.Pools)
	now := k.config.Clock.Moment().Steady
	for _, w := range view.Waves {
		k.announce(ctx, now, w)
	}
	if now-k.provenAt() > proofLife || len(k.instances) == 0 {
		return nil
	}
	plan := k.planner.Tick(Input{
		Now: now, Listed: k.listed, Instances: k.instances, Loads: k.loads, Spare: view.Spare, Evacuated: view.Evacuated,
	})
	k.orders = plan.Orders
	k.logSizes(plan.Sizes)
	k.logWaiting(now)
	if err := k.record(ctx, now, plan.Actions); err != nil {
		return k.giveBack(now, plan.Actions, err)
	}
	for _, a := range plan.Actions {
		o := &order{keeper: k, action: a, until: now + orderLife}
		go o.run(ctx)
	}
	return k.report(ctx)
}

func (k *Keeper) prove(ctx context.Context) error {
	now := k.config.Clock.Moment().Steady
	if now-k.provenAt() < proveInterval {
		return nil
	}
	err := k.claim.Prove(ctx)
	var fenced stream.FencedError
	if errors.As(err, &fenced) {
		return errors.Annotate(err, "proving the claim on the instances")
	}
	if err == nil {
		k.proved(now)
	}
	return nil
}

// proved notes when a proof was sent that the log has answered.
func (k *Keeper) proved(sent time.Duration) {
	k.proven.Store(max(k.proven.Load(), int64(sent)))
}

func (k *Keeper) provenAt() time.Duration { return time.Duration(k.proven.Load()) }

// Fresh reports whether the log has lately confirmed that this keeper owns the instances.
func (k *Keeper) Fresh(context.Context) (bool, error) {
	proven := k.provenAt()
	return proven > 0 && k.config.Clock.Moment().Steady-proven < claim.FreshProof, nil
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

// ask gives every pool its orders and learns how its work stands.
func (k *Keeper) ask(ctx context.Context, pools []string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	k.round++
	parts := k.dealer.Deal(pools)
	var wait sync.WaitGroup
	var mu sync.Mutex
	loads := map[string]Load{}
	for _, pool := range pools {
		wait.Go(func() {
			orders := k.orders[pool]
			orders.Fence, orders.Turn, orders.Parts = k.claim.Epoch(), k.round, parts[pool]
			load, err := k.config.Ask(ctx, pool, orders)
			if err != nil {
				k.config.Logger.Debug("a pool does not answer", zap.String("pool", pool), zap.Error(err))
				return
			}
			mu.Lock()
			k.dealer.Hear(pool, load.Claims)
			loads[pool] = load
			mu.Unlock()
		})
	}
	wait.Wait()
	k.loads = loads
}
