package shard

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// The cancellation of a job that has not come is kept for the retention time. The job, or another cancellation, may come while
// the record of the expired one is being removed. So the job's other records stay, and the record in the intake, to which every
// instance writes, is removed only if nobody has written there since this owner has read it.

// cancellationRetry is the wait before expired cancellations are removed from the intake once more.
const cancellationRetry = time.Second

// cancellationCleanup removes expired cancellations from the intake.
type cancellationCleanup struct {
	names   []job.ID // still to be removed
	running bool
	next    time.Duration // steady time of the next try
}

// dropCancellations returns the records that remove expired cancellations from the output table, and has those of the intake
// removed. It leaves out those that have come anew.
func (s *Shard) dropCancellations(names []job.ID) []stream.Record {
	var records []stream.Record
	for _, name := range names {
		if s.pool.IsCancelled(name) {
			continue
		}
		records = append(records, stream.Record{Key: cancelPrefix + string(name)})
		if _, inIntake := s.intakeJobs.Load(name); inIntake {
			s.cancellations.names = append(s.cancellations.names, name)
		}
	}
	return records
}

// cleanCancellations removes expired cancellations from the intake if that is due.
func (s *Shard) cleanCancellations(ctx context.Context, at pool.Moment) {
	c := &s.cancellations
	if c.running || at.Steady < c.next {
		return
	}
	c.names = slices.DeleteFunc(c.names, s.pool.IsCancelled)
	if len(c.names) == 0 {
		return
	}
	c.running = true
	r := &cancellationRemoval{shard: s, names: c.names[:min(maxCleanupJobs, len(c.names))], end: s.intakeOffset}
	s.inFlight.Go(func() { r.run(ctx) })
}

// cancellationRemoval removes cancellations from the intake if it still ends at an offset.
type cancellationRemoval struct {
	shard *Shard
	names []job.ID
	end   int64
}

func (r *cancellationRemoval) run(ctx context.Context) {
	s := r.shard
	var records []stream.Record
	for _, name := range r.names {
		records = append(records, stream.Record{Key: cancelPrefix + string(name)})
	}
	err := s.config.ConditionalLog.AppendAt(ctx, s.intake, records, r.end)
	if err != nil {
		s.config.Logger.Debug("cannot remove expired cancellations", zap.String("pool", s.config.Pool), zap.Error(err))
	}
	s.post(ctx, func(at pool.Moment) {
		c := &s.cancellations
		c.running = false
		if err != nil {
			c.next = at.Steady + cancellationRetry
			return
		}
		c.names = c.names[len(r.names):]
	})
}
