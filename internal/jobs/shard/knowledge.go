package shard

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// What a start depends on has to be known as of a time that leaves it an allowance: of the time after which a cancellation or an
// evacuation must be in force.
const (
	defaultCancelTimeout     = 3 * time.Second         // where the settings name none
	defaultEvacuationTimeout = 5 * time.Second         // likewise
	decisionAllowance        = 1500 * time.Millisecond // from deciding on a start until a worker carries it out
	sendAllowance            = time.Second             // from sending it
)

// maxAge returns the largest age of what is known of orders that have to be in force after a timeout. A shorter timeout than
// the usual one leaves a shorter allowance.
func maxAge(timeout, usual, allowance time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = usual
	}
	share := float64(allowance) / float64(defaultCancelTimeout)
	return timeout - min(allowance, time.Duration(share*float64(timeout)))
}

// knowledge holds the steady times as of which an owner knows what its starts depend on.
type knowledge struct {
	intake    time.Duration // the intake, which may have cancellations
	proof     time.Duration // that it owns the pool: a successor may have cancellations
	operators time.Duration // the operators' settings, which may have evacuations
}

func (s *Shard) known() knowledge {
	return knowledge{intake: s.intakeSeenAt, proof: s.provenAt, operators: s.config.OperatorsSeen()}
}

// allows reports whether a start may be decided on, or sent, at a time that leaves it an allowance.
func (k knowledge) allows(set *Settings, at, allowance time.Duration) bool {
	cancelAge := at - min(k.intake, k.proof)
	return cancelAge <= maxAge(set.CancelTimeout, defaultCancelTimeout, allowance) &&
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
	if !s.pool.HasUnsent() || !s.termStored {
		return
	}
	at, known := s.config.Clock.Moment(), s.known()
	s.applyPendingView(at) // what is known was published before it was called known
	if known.allows(&s.config.Settings, at.Steady, decisionAllowance) {
		s.pool.SendStarts(at)
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
