package machines

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

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

// order carries out one action and brings back its outcome.
type order struct {
	keeper *Keeper
	action Action
	until  time.Duration // steady time at which it is given up
}

func (o *order) run(ctx context.Context) {
	k := o.keeper
	var outcome Outcome
	var take func(now time.Duration)
	call, cancel := context.WithTimeout(ctx, o.until-k.config.Clock.Moment().Steady)
	defer cancel()
	switch a := o.action.(type) {
	case MoveAction:
		outcome = o.outcome(k.config.Machines.Move(call, a.Instance, a.Pool, k.config.Holder, k.claim.Epoch()))
		k.config.Logger.Info("instance moved", zap.String("machine", a.Instance), zap.String("pool", a.Pool), zap.Int("outcome", int(outcome)))
		take = func(now time.Duration) { k.planner.Moved(now, a, outcome) }
	case MaintainAction:
		outcome = o.outcome(k.config.Machines.Maintain(call, a.Instance, a.Wave, k.config.Holder, k.claim.Epoch()))
		k.config.Logger.Info("instance maintained", zap.String("machine", a.Instance), zap.Int("wave", a.Wave), zap.Int("outcome", int(outcome)))
		take = func(now time.Duration) { k.planner.Maintained(now, a, outcome) }
	}
	taken := func(now time.Duration) {
		take(now)
		if outcome != Unanswered {
			k.answered(now, instanceOf(o.action))
		}
	}
	select {
	case k.outcomes <- taken:
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
