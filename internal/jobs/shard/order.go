package shard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Allowances for the time from deciding on a start until a worker carries it out.
const (
	defaultCancelTimeout     = 3 * time.Second         // where the settings name none
	defaultEvacuationTimeout = 5 * time.Second         // likewise
	startSendLimit           = 500 * time.Millisecond  // longest wait until a start is sent
	startAllowance           = 1500 * time.Millisecond // for that wait and for the call
)

// maxAge returns the largest age, at the decision on a start, of what is known of orders that have to be in force after a
// timeout. The rest of the timeout is left for the start to arrive.
func maxAge(timeout, unknown time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = unknown
	}
	return max(timeout-startAllowance, timeout/2)
}

// maxCancelAge returns the largest age of what is known of cancellations.
func (s *Settings) maxCancelAge() time.Duration {
	return maxAge(s.CancelTimeout, defaultCancelTimeout)
}

// maxEvacuationAge returns the largest age of what is known of evacuations.
func (s *Settings) maxEvacuationAge() time.Duration {
	return maxAge(s.EvacuationTimeout, defaultEvacuationTimeout)
}

// knowledge holds the ages of what an owner decides its starts on.
type knowledge struct {
	intake    time.Duration // of the view of the intake, which may have cancellations
	proof     time.Duration // of the proof of ownership: a successor may have cancellations
	operators time.Duration // of the operators' settings
}

func (s *Shard) knowledge() knowledge {
	now := s.config.Clock.Moment().Steady
	return knowledge{intake: now - s.intakeSeenAt, proof: now - s.provenAt, operators: now - s.config.OperatorsSeen()}
}

// orderStarts orders the starts of stored runs, or holds them back while a cancellation or an evacuation may be in force
// that this owner does not know.
func (s *Shard) orderStarts(ctx context.Context) {
	if !s.pool.HasStored() || !s.termStored {
		return
	}
	at, age := s.config.Clock.Moment(), s.knowledge()
	oldest := s.config.Settings.maxCancelAge()
	if age.intake <= oldest && age.proof <= oldest && age.operators <= s.config.Settings.maxEvacuationAge() {
		s.pool.SendStored(at)
		return
	}
	if age.intake > oldest {
		s.refreshIntake(ctx, at)
	}
	if at.Steady-s.heldLoggedAt >= statusInterval {
		s.heldLoggedAt = at.Steady
		s.config.Logger.Info("starts held back", zap.String("pool", s.config.Pool), zap.Duration("intake_age", age.intake),
			zap.Duration("proof_age", age.proof), zap.Duration("operators_age", age.operators))
	}
}

// sendOrders sends the orders that the pool has decided on, once this owner's term is stored.
func (s *Shard) sendOrders(ctx context.Context) {
	if !s.termStored {
		return
	}
	for _, a := range s.pool.Actions() {
		o := &order{shard: s, action: a, decidedAt: s.config.Clock.Moment().Steady, provenAt: s.provenAt, intakeSeenAt: s.intakeSeenAt}
		if start, ok := a.(pool.StartAction); ok {
			o.decidedAt = start.Decided
		}
		s.inFlight.Go(func() { o.run(ctx) })
	}
}

// order carries out one action and posts its outcome to the control thread. Its times are steady times.
type order struct {
	shard        *Shard
	action       pool.Action
	decidedAt    time.Duration // when it was decided
	provenAt     time.Duration // when the newest answered proof of ownership had been sent by then
	intakeSeenAt time.Duration // as of when all records of the intake were handled by then
}

func (o *order) run(ctx context.Context) {
	s, w := o.shard, o.shard.config.Workers
	sent := s.config.Clock.Moment().Steady
	var outcome func(at pool.Moment)
	switch a := o.action.(type) {
	case pool.StartAction:
		reply, err := o.start(ctx, a, sent)
		outcome = func(at pool.Moment) {
			s.stats.recordIntakeAge(sent - o.intakeSeenAt)
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

// start sends a start, unless its run has been stopped or it comes too late: the sender may have lacked processor time or
// have been frozen, and what the start was decided on is old.
func (o *order) start(ctx context.Context, a pool.StartAction, sent time.Duration) (worker.Reply, error) {
	if waited := sent - o.decidedAt; waited > startSendLimit || a.IsRevoked() {
		o.logStart("start not sent", a, sent)
		return worker.Reply{}, worker.NotSentError{Waited: waited}
	}
	if sent-min(o.intakeSeenAt, o.provenAt) > o.shard.config.Settings.maxCancelAge() {
		o.logStart("start sent late", a, sent)
	}
	return o.shard.config.Workers.Start(ctx, a.To, a.Start)
}

func (o *order) logStart(message string, a pool.StartAction, sent time.Duration) {
	task := a.Start.Task
	o.shard.config.Logger.Info(message, zap.String("pool", o.shard.config.Pool), zap.String("job", string(task.Job)), zap.Int("step", task.Step),
		zap.Int("index", task.Index), zap.Int("run", a.Start.Number), zap.String("worker", a.To.ID), zap.Duration("intake_age", sent-o.intakeSeenAt),
		zap.Duration("proof_age", sent-o.provenAt), zap.Duration("waited", sent-o.decidedAt), zap.Bool("revoked", a.IsRevoked()))
}
