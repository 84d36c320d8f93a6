package shard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// What a start depends on has to be known as of a time that leaves it an allowance: of the time after which a cancellation or an
// evacuation must be in force.
const (
	defaultCancelTimeout     = 3 * time.Second         // where the settings name none
	defaultEvacuationTimeout = 5 * time.Second         // likewise
	decisionAllowance        = 1500 * time.Millisecond // from deciding on a start until a worker carries it out
	sendAllowance            = time.Second             // from sending it
)

// maxAge returns the largest age of what is known of orders that have to be in force after a timeout.
func maxAge(timeout, unknown, allowance time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = unknown
	}
	return max(timeout-allowance, timeout/2)
}

// knowledge holds the steady times as of which an owner knows what its starts depend on.
type knowledge struct {
	intake    time.Duration // the intake, which may have cancellations
	proof     time.Duration // that it owns the pool: a successor may have cancellations
	operators time.Duration // the operators' settings, which may have evacuations
}

func (s *Shard) knowledge() knowledge {
	return knowledge{intake: s.intakeSeenAt, proof: s.provenAt, operators: s.config.OperatorsSeen()}
}

// allows reports whether a start may be decided on, or sent, at a time that leaves it an allowance.
func (k knowledge) allows(set *Settings, at, allowance time.Duration) bool {
	cancellations := at - min(k.intake, k.proof)
	return cancellations <= maxAge(set.CancelTimeout, defaultCancelTimeout, allowance) &&
		at-k.operators <= maxAge(set.EvacuationTimeout, defaultEvacuationTimeout, allowance)
}

// fields returns the ages of what is known at a time, for log lines.
func (k knowledge) fields(at time.Duration) []zap.Field {
	return []zap.Field{
		zap.Duration("intake_age", at-k.intake), zap.Duration("proof_age", at-k.proof), zap.Duration("operators_age", at-k.operators),
	}
}

// orderStarts orders the starts of stored runs, or holds them back while a cancellation or an evacuation may be in force
// that this owner does not know.
func (s *Shard) orderStarts(ctx context.Context) {
	if !s.pool.HasStored() || !s.termStored {
		return
	}
	at, known := s.config.Clock.Moment(), s.knowledge()
	if known.allows(&s.config.Settings, at.Steady, decisionAllowance) {
		s.pool.SendStored(at)
		return
	}
	if at.Steady-known.intake > maxAge(s.config.Settings.CancelTimeout, defaultCancelTimeout, decisionAllowance) {
		s.refreshIntake(ctx, at)
	}
	if at.Steady-s.heldLoggedAt >= statusInterval {
		s.heldLoggedAt = at.Steady
		s.config.Logger.Info("starts held back", append(known.fields(at.Steady), zap.String("pool", s.config.Pool))...)
	}
}

// sendOrders sends the orders that the pool has decided on, once this owner's term is stored.
func (s *Shard) sendOrders(ctx context.Context) {
	if !s.termStored {
		return
	}
	for _, a := range s.pool.Actions() {
		o := &order{shard: s, action: a, decidedAt: s.config.Clock.Moment().Steady, known: s.knowledge()}
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
