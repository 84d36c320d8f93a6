package machines

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// refuseActions marks actions as refused in the planner when they could not be recorded and so were not sent.
func (a *Autoscaler) refuseActions(now time.Duration, actions []Action, err error) error {
	var postponed postponedError
	if !errors.As(err, &postponed) {
		return err
	}
	a.config.Logger.Warn("could not record orders for instances; postponing them", zap.Int("orders", len(actions)), zap.Error(err))
	for _, action := range actions {
		switch action := action.(type) {
		case MoveAction:
			a.planner.RecordMove(now, action, Refused)
		case MaintainAction:
			a.planner.RecordMaintenance(now, action, Refused)
		}
	}
	return nil
}

// order carries out one action and reports its outcome to the control loop.
type order struct {
	autoscaler *Autoscaler
	action     Action
	deadline   time.Duration // steady time at which the order is abandoned
}

func (o *order) run(ctx context.Context) {
	a := o.autoscaler
	var outcome Outcome
	var apply func(now time.Duration)
	call, cancel := context.WithTimeout(ctx, o.deadline-a.config.Clock.Moment().Steady)
	defer cancel()
	switch action := o.action.(type) {
	case MoveAction:
		outcome = o.outcomeOf(a.config.Machines.Move(call, action.Instance, action.Pool, a.config.Holder, a.claim.Epoch()))
		a.config.Logger.Info("move order finished", zap.String("machine", action.Instance), zap.String("pool", action.Pool), zap.String("worker", action.Worker), zap.Stringer("outcome", outcome))
		apply = func(now time.Duration) { a.planner.RecordMove(now, action, outcome) }
	case MaintainAction:
		outcome = o.outcomeOf(a.config.Machines.Maintain(call, action.Instance, action.Wave, a.config.Holder, a.claim.Epoch()))
		a.config.Logger.Info("maintenance order finished", zap.String("machine", action.Instance), zap.Int("wave", action.Wave), zap.Stringer("outcome", outcome))
		apply = func(now time.Duration) { a.planner.RecordMaintenance(now, action, outcome) }
	}
	report := func(now time.Duration) {
		apply(now)
		if outcome != Unanswered {
			a.recordAnswer(now, instanceOf(o.action))
		}
	}
	select {
	case a.outcomes <- report:
	case <-ctx.Done():
	}
}

func (o *order) outcomeOf(err error) Outcome {
	var refused worker.RefusedError
	switch {
	case err == nil:
		return Completed
	case !errors.As(err, &refused):
		o.autoscaler.config.Logger.Warn("order for an instance got no answer", zap.Error(err))
		return Unanswered
	case refused.Reason == worker.NotInWave:
		return Forbidden
	case refused.Reason == worker.Invalid:
		return o.invalid()
	}
	return Refused
}

// invalid returns the outcome of an order that names no instance that it can be for.
func (o *order) invalid() Outcome {
	if _, maintains := o.action.(MaintainAction); maintains {
		return NoInstance
	}
	return Forbidden
}
