package shard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// sendOrders sends the orders that the pool has decided on, once this owner's term is stored.
func (s *Shard) sendOrders(ctx context.Context) {
	if !s.termStored {
		return
	}
	for _, a := range s.pool.Actions() {
		o := &order{shard: s, action: a, decidedAt: s.config.Clock.Moment().Steady, known: s.known()}
		if start, ok := a.(pool.StartAction); ok {
			o.decidedAt = start.Decided
		}
		s.inFlight.Go(func() { o.run(ctx) })
	}
}

// order carries out one action and posts its outcome to the control thread. Its times are steady times.
type order struct {
	shard     *Shard
	action    pool.Action
	decidedAt time.Duration // when it was decided
	known     knowledge     // what it was decided on
}

func (o *order) run(ctx context.Context) {
	s, w := o.shard, o.shard.config.Workers
	sent := s.config.Clock.Moment().Steady
	var outcome func(at pool.Moment)
	switch a := o.action.(type) {
	case pool.StartAction:
		reply, err := o.start(ctx, a, sent)
		outcome = func(at pool.Moment) {
			s.stats.recordIntakeAge(sent - o.known.intake)
			s.pool.RecordStart(at, a, reply, err)
		}
	case pool.StopAction:
		reply, err := w.Stop(ctx, a.To, a.Run, a.Fence)
		outcome = func(at pool.Moment) { s.pool.RecordStop(at, a, reply, err) }
	case pool.PollAction:
		report, err := w.RenewLease(ctx, a.To, a.Renewal)
		outcome = func(at pool.Moment) { s.pool.RecordPoll(at, a, report, err) }
	case pool.AdviceAction:
		advice, err := s.config.Advisor.Advise(ctx, a.Step, a.Workers)
		outcome = func(at pool.Moment) { s.pool.RecordAdvice(at, a, advice, err) }
	case pool.PaceAction:
		reply, err := w.Pace(ctx, a.To, a.Run, a.Percent, a.Fence)
		outcome = func(at pool.Moment) { s.pool.RecordPace(at, a, reply, err) }
	}
	_, start := o.action.(pool.StartAction)
	s.post(ctx, func(at pool.Moment) {
		s.stats.recordOrder(start, sent-o.decidedAt, at.Steady-sent)
		s.pool.RecordLag(at, sent-o.decidedAt)
		outcome(at)
		s.placeRequested = true
	})
}

// start sends a start, unless its run has been stopped or what it was decided on is too old by now: the sender may have lacked
// processor time or have been frozen.
func (o *order) start(ctx context.Context, a pool.StartAction, sent time.Duration) (worker.Reply, error) {
	set := &o.shard.config.Settings
	if a.IsRevoked() || !o.known.allows(set, sent, sendAllowance) {
		o.logStart("start not sent", a, sent)
		return worker.Reply{}, worker.NotSentError{Waited: sent - o.decidedAt}
	}
	if !o.known.allows(set, sent, decisionAllowance) {
		o.logStart("start sent late", a, sent)
	}
	return o.shard.config.Workers.Start(ctx, a.To, a.Start)
}

func (o *order) logStart(message string, a pool.StartAction, sent time.Duration) {
	task := a.Start.Task
	o.shard.config.Logger.Info(message, append(o.known.fields(sent), zap.String("pool", o.shard.config.Pool), zap.String("job", string(task.Job)),
		zap.Int("step", task.Step), zap.Int("index", task.Index), zap.Int("run", a.Start.Number), zap.String("worker", a.To.ID),
		zap.Duration("waited", sent-o.decidedAt), zap.Bool("revoked", a.IsRevoked()))...)
}
