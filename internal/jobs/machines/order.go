package machines

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// refuseActions marks actions as refused in the planner when they could not be recorded and so were not sent.
func (k *Keeper) refuseActions(now time.Duration, actions []Action, err error) error {
	var postponed postponedError
	if !errors.As(err, &postponed) {
		return err
	}
	k.config.Logger.Warn("could not record orders for instances; postponing them", zap.Int("orders", len(actions)), zap.Error(err))
	for _, a := range actions {
		switch a := a.(type) {
		case MoveAction:
			k.planner.RecordMove(now, a, Refused)
		case MaintainAction:
			k.planner.RecordMaintenance(now, a, Refused)
		}
	}
	return nil
}

// order carries out one action and reports its outcome to the control loop.
type order struct {
	keeper   *Keeper
	action   Action
	deadline time.Duration // steady time at which the order is abandoned
}

func (o *order) run(ctx context.Context) {
	k := o.keeper
	var outcome Outcome
	var apply func(now time.Duration)
	call, cancel := context.WithTimeout(ctx, o.deadline-k.config.Clock.Moment().Steady)
	defer cancel()
	switch a := o.action.(type) {
	case MoveAction:
		outcome = o.outcomeOf(k.config.Machines.Move(call, a.Instance, a.Pool, k.config.Holder, k.claim.Epoch()))
		k.config.Logger.Info("move order finished", zap.String("machine", a.Instance), zap.String("pool", a.Pool), zap.Int("outcome", int(outcome)))
		apply = func(now time.Duration) { k.planner.RecordMove(now, a, outcome) }
	case MaintainAction:
		outcome = o.outcomeOf(k.config.Machines.Maintain(call, a.Instance, a.Wave, k.config.Holder, k.claim.Epoch()))
		k.config.Logger.Info("maintenance order finished", zap.String("machine", a.Instance), zap.Int("wave", a.Wave), zap.Int("outcome", int(outcome)))
		apply = func(now time.Duration) { k.planner.RecordMaintenance(now, a, outcome) }
	}
	report := func(now time.Duration) {
		apply(now)
		if outcome != Unanswered {
			k.recordAnswer(now, instanceOf(o.action))
		}
	}
	select {
	case k.outcomes <- report:
	case <-ctx.Done():
	}
}

func (o *order) outcomeOf(err error) Outcome {
	var refused worker.RefusedError
	switch {
	case err == nil:
		return Completed
	case !errors.As(err, &refused):
		o.keeper.config.Logger.Warn("order for an instance got no answer", zap.Error(err))
		return Unanswered
	case refused.Reason == worker.Invalid || refused.Reason == worker.NotInWave:
		return Forbidden
	}
	return Refused
}
