package machines

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
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

	outcomes  chan func(now time.Duration) // run by loop
	proven    time.Duration
	recent    map[string]time.Duration // instances that were ordered about lately
	inherited []string                 // the same, of the earlier holder
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
		config: c, planner: NewPlanner(), outcomes: make(chan func(time.Duration), 256), loads: map[string]Load{},
		orders: map[string]Orders{}, done: map[int]int{}, finished: map[int]bool{}, stored: map[int][]string{}, recent: map[string]time.Duration{},
	}
}

// Run claims the instances and keeps them until the context ends or a successor claims them.
func (k *Keeper) Run(ctx context.Context) error {
	claimed, proven, err := claim.Take(ctx, claim.Config{
		Log: k.config.Log, Table: Table(), Holder: k.config.Holder, Clock: k.config.Clock, Logger: k.config.Logger,
	})
	if err != nil {
		return errors.Annotate(err, "claiming the instances")
	}
	k.claim, k.proven, k.writer = claimed, proven, stream.Writer{Epoch: claimed.Epoch()}
	if _, err := claim.ReadAll(ctx, k.config.Log, Table(), k.config.Logger, k.load); err != nil {
		return errors.Annotate(err, "taking over the instances")
	}
	// The earlier holder may have ordered these about until it lost its claim.
	for _, name := range k.inherited {
		k.planner.Rest(name, proven+k.config.Turn)
	}
	return errors.Trace(k.loop(ctx))
}

const wavePrefix = "wave/"

// waveRecord is how far a wave is, as stored.
type waveRecord struct {
	Number   int      `cbor:"1,keyasint"`
	Done     []string `cbor:"2,keyasint,omitempty"`
	Finished bool     `cbor:"3,keyasint,omitempty"`
}

// recentKey is the key of the instances that were ordered about lately.
const recentKey = "recent"

// recentRecord names the instances that the holder of the claim has ordered about lately.
type recentRecord struct {
	Names []string `cbor:"1,keyasint,omitempty"`
}

// record stores which instances are about to be ordered about, so that a successor leaves them alone for
// a while; orders that are not recorded are not given.
func (k *Keeper) record(ctx context.Context, now time.Duration, actions []Action) error {
	if len(actions) == 0 {
		return nil
	}
	for _, a := range actions {
		k.recent[instanceOf(a)] = now
	}
	var r recentRecord
	for name, since := range k.recent {
		if now-since > k.config.Turn {
			delete(k.recent, name)
			continue
		}
		r.Names = append(r.Names, name)
	}
	return k.append(ctx, recentKey, r)
}

func instanceOf(a Action) string {
	switch a := a.(type) {
	case MoveAction:
		return a.Instance
	case MaintainAction:
		return a.Instance
	}
	return ""
}

// Recent returns the instances that a record of the keeper's table names as ordered about lately.
func Recent(r stream.Record) ([]string, error) {
	var recent recentRecord
	if r.Key != recentKey || len(r.Value) == 0 {
		return nil, nil
	}
	err := cbor.Unmarshal(r.Value, &recent)
	return recent.Names, errors.Annotate(err, "decoding the recent orders for instances")
}

func (k *Keeper) load(r stream.Record) {
	names, err := Recent(r)
	if err != nil {
		k.config.Logger.Error("a stored record cannot be read", zap.Error(err))
	}
	k.inherited = append(k.inherited, names...)
	if !strings.HasPrefix(r.Key, wavePrefix) || len(r.Value) == 0 {
		return
	}
	var w waveRecord
	if err := cbor.Unmarshal(r.Value, &w); err != nil {
		k.config.Logger.Error("a stored wave cannot be read", zap.String("key", r.Key), zap.Error(err))
		return
	}
	k.stored[w.Number] = w.Done
	k.done[w.Number] = len(w.Done)
	k.finished[w.Number] = w.Finished
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
	if k.config.Clock.Moment().Steady-k.proven > proofLife {
		return nil
	}
	view := k.config.View()
	k.list(ctx)
	k.ask(ctx, view.Pools)
	now := k.config.Clock.Moment().Steady
	for _, w := range view.Waves {
		k.announce(ctx, now, w)
	}
	if now-k.proven > proofLife || len(k.instances) == 0 {
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
		o := &order{keeper: k, action: a}
		go o.run(ctx)
	}
	return k.report(ctx)
}

// waitLog is the time between two lines on what a wave waits for.
const waitLog = 2 * time.Second

// logWaiting tells what the instances of a wave wait for.
func (k *Keeper) logWaiting(now time.Duration) {
	if now-k.told < waitLog {
		return
	}
	k.told = now
	for _, number := range k.planner.Waves() {
		if waiting := k.planner.Waiting(number); len(waiting) > 0 {
			k.config.Logger.Info("wave goes on", zap.Int("wave", number), zap.Int("left", len(waiting)), zap.Any("waiting", waiting))
		}
	}
}

// logSizes leaves a line for each pool whose wanted size has changed.
func (k *Keeper) logSizes(sizes map[string]Size) {
	for pool, size := range sizes {
		if k.sizes[pool].Wanted != size.Wanted {
			load := k.loads[pool]
			k.config.Logger.Info("pool size decided", zap.String("pool", pool), zap.Int("wanted", size.Wanted),
				zap.Int("present", size.Present), zap.Int("demand", load.Demand), zap.Int("lasting", load.Lasting))
		}
	}
	k.sizes = sizes
}

// giveBack tells the planner that orders were not given because they could not be recorded.
func (k *Keeper) giveBack(now time.Duration, actions []Action, err error) error {
	var later laterError
	if !errors.As(err, &later) {
		return err
	}
	k.config.Logger.Warn("orders for instances were put off", zap.Int("orders", len(actions)), zap.Error(err))
	for _, a := range actions {
		switch a := a.(type) {
		case MoveAction:
			k.planner.Moved(now, a, Refused)
		case MaintainAction:
			k.planner.Maintained(now, a, Refused)
		}
	}
	return nil
}

func (k *Keeper) prove(ctx context.Context) error {
	now := k.config.Clock.Moment().Steady
	if now-k.proven < proveInterval {
		return nil
	}
	err := k.claim.Prove(ctx)
	var fenced stream.FencedError
	if errors.As(err, &fenced) {
		return errors.Annotate(err, "proving the claim on the instances")
	}
	if err == nil {
		k.proven = now
	}
	return nil
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
	var wait sync.WaitGroup
	var mu sync.Mutex
	loads := map[string]Load{}
	for _, pool := range pools {
		wait.Go(func() {
			orders := k.orders[pool]
			orders.Fence = k.claim.Epoch()
			load, err := k.config.Ask(ctx, pool, orders)
			if err != nil {
				k.config.Logger.Debug("a pool does not answer", zap.String("pool", pool), zap.Error(err))
				return
			}
			mu.Lock()
			loads[pool] = load
			mu.Unlock()
		})
	}
	wait.Wait()
	k.loads = loads
}

// announce takes a wave in and publishes that it runs.
func (k *Keeper) announce(ctx context.Context, now time.Duration, w catalog.Wave) {
	if _, known := k.planner.waves[w.Number]; known || k.finished[w.Number] {
		return
	}
	k.planner.AddWave(now, w, k.stored[w.Number])
	k.publish(ctx, w.Number, false)
}

func (k *Keeper) publish(ctx context.Context, number int, done bool) bool {
	r, err := k.config.Codec.WaveStatus(number, done)
	if err == nil {
		_, err = k.config.Log.Append(ctx, k.config.Status, []stream.Record{r}, nil)
	}
	if err != nil {
		k.config.Logger.Warn("could not publish the status of a wave", zap.Int("wave", number), zap.Error(err))
		return false
	}
	k.config.Logger.Info("wave status published", zap.Int("wave", number), zap.Bool("done", done))
	return true
}

// report stores how far the waves are and publishes those that have ended.
func (k *Keeper) report(ctx context.Context) error {
	for _, number := range k.planner.Waves() {
		done, all := k.planner.Done(number)
		if len(done) > k.done[number] {
			if err := k.store(ctx, waveRecord{Number: number, Done: done}); err != nil {
				return err
			}
			k.done[number] = len(done)
		}
		if all && !k.finished[number] && k.publish(ctx, number, true) {
			if err := k.store(ctx, waveRecord{Number: number, Done: done, Finished: true}); err != nil {
				return err
			}
			k.finished[number] = true
		}
	}
	return nil
}

// store writes how far a wave is; that the log did not take it is no fault, as the same is written again.
func (k *Keeper) store(ctx context.Context, w waveRecord) error {
	err := k.append(ctx, fmt.Sprintf("%s%d", wavePrefix, w.Number), w)
	var later laterError
	if errors.As(err, &later) {
		k.config.Logger.Warn("could not store how far a wave is", zap.Int("wave", w.Number), zap.Error(err))
		return nil
	}
	return err
}

// laterError reports a record that the log did not take now.
type laterError struct{ cause error }

func (e laterError) Error() string { return "not stored yet: " + e.cause.Error() }

// append stores a record under the claim; it fails with a laterError when the log did not take it now.
func (k *Keeper) append(ctx context.Context, key string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errors.Annotatef(err, "encoding %s", key)
	}
	asked := k.config.Clock.Moment().Steady
	_, err = k.config.Log.Append(ctx, Table(), []stream.Record{{Key: key, Value: data}}, &k.writer)
	var fenced stream.FencedError
	var sequence stream.SequenceError
	switch {
	case err == nil:
		k.writer.Sequence++
		k.proven = max(k.proven, asked)
		return nil
	case errors.As(err, &fenced):
		return errors.Annotatef(err, "storing %s", key)
	case errors.As(err, &sequence):
		k.writer.Sequence = sequence.Expected
	}
	return laterError{cause: err}
}

// order carries out one action and brings back its outcome.
type order struct {
	keeper *Keeper
	action Action
}

func (o *order) run(ctx context.Context) {
	k := o.keeper
	var take func(now time.Duration)
	switch a := o.action.(type) {
	case MoveAction:
		outcome := o.outcome(k.config.Machines.Move(ctx, a.Instance, a.Pool, k.config.Holder, k.claim.Epoch()))
		k.config.Logger.Info("instance moved", zap.String("machine", a.Instance), zap.String("pool", a.Pool), zap.Int("outcome", int(outcome)))
		take = func(now time.Duration) { k.planner.Moved(now, a, outcome) }
	case MaintainAction:
		outcome := o.outcome(k.config.Machines.Maintain(ctx, a.Instance, a.Wave, k.config.Holder, k.claim.Epoch()))
		k.config.Logger.Info("instance maintained", zap.String("machine", a.Instance), zap.Int("wave", a.Wave), zap.Int("outcome", int(outcome)))
		take = func(now time.Duration) { k.planner.Maintained(now, a, outcome) }
	}
	select {
	case k.outcomes <- take:
	case <-ctx.Done():
	}
}

func (o *order) outcome(err error) Outcome {
	var refused worker.RefusedError
	switch {
	case err == nil:
		return Carried
	case !errors.As(err, &refused):
		o.keeper.config.Logger.Warn("an order for an instance was not answered", zap.Error(err))
		return Unanswered
	case refused.Reason == worker.Invalid || refused.Reason == worker.NotInWave:
		return Barred
	}
	return Refused
}
