package shard

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// followIntake reads the jobs and cancellations that instances append to the intake.
func (s *Shard) followIntake(ctx context.Context) error {
	r := &intakeReader{shard: s, next: s.intakeOffset}
	for ctx.Err() == nil {
		err := r.read(ctx, intakeWait)
		var trimmed stream.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			err = r.readNewest(ctx)
		case err != nil:
			err = claim.Backoff(ctx, s.config.Logger, err)
		}
		if err != nil {
			return err
		}
	}
	return errors.Trace(ctx.Err())
}

// intakeReader reads the intake from an offset on and posts its records to the control thread, followed by the time as of
// which they are complete.
type intakeReader struct {
	shard *Shard
	next  int64 // offset of the next record
}

// read reads records once, waiting for the first one for at most the given time.
func (r *intakeReader) read(ctx context.Context, wait time.Duration) error {
	s := r.shard
	reading := stream.Reading{From: r.next, Wait: wait, Sent: s.config.Clock.Moment().Steady}
	batch, err := s.config.Log.Read(ctx, s.intake, r.next, wait)
	if err != nil {
		return err
	}
	reading.Answered = s.config.Clock.Moment().Steady
	for _, stored := range batch.Records {
		s.handleIntakeRecord(ctx, stored)
	}
	r.advance(ctx, batch.Next, batch.CompleteAt(reading))
	return nil
}

// minReadGap is the minimum time between two reads of the intake that do not wait.
const minReadGap = 250 * time.Millisecond

// refreshIntake reads the intake without waiting, since the read that waits takes too long.
func (s *Shard) refreshIntake(ctx context.Context, at pool.Moment) {
	if s.intakeReading || at.Steady-s.intakeReadAt < minReadGap {
		return
	}
	s.intakeReading, s.intakeReadAt = true, at.Steady
	f := &intakeRefresh{reader: intakeReader{shard: s, next: s.intakeOffset}}
	s.inFlight.Go(func() { f.run(ctx) })
}

// intakeRefresh is one read of the intake beside that of followIntake.
type intakeRefresh struct{ reader intakeReader }

func (f *intakeRefresh) run(ctx context.Context) {
	s := f.reader.shard
	if err := f.reader.read(ctx, 0); err != nil {
		s.config.Logger.Debug("cannot read the intake", zap.String("pool", s.config.Pool), zap.Error(err))
	}
	s.post(ctx, func(pool.Moment) { s.intakeReading = false })
}

// readNewest reads the newest record of every key, when the store no longer has the records at the next offset.
func (r *intakeReader) readNewest(ctx context.Context) error {
	s := r.shard
	sent := s.config.Clock.Moment().Steady
	next, err := claim.ReadAll(ctx, s.config.Log, s.intake, s.config.Logger, func(record stream.Record) {
		s.handleIntakeRecord(ctx, stream.StoredRecord{Record: record, Offset: noOffset})
	})
	if err != nil {
		return err
	}
	r.advance(ctx, next, sent)
	return nil
}

func (r *intakeReader) advance(ctx context.Context, next int64, seenAt time.Duration) {
	s := r.shard
	r.next = next
	s.post(ctx, func(pool.Moment) {
		s.intakeOffset = max(s.intakeOffset, next)
		s.intakeSeenAt = max(s.intakeSeenAt, seenAt)
	})
}

func (s *Shard) handleIntakeRecord(ctx context.Context, r stream.StoredRecord) {
	if len(r.Value) == 0 {
		return
	}
	if name, ok := strings.CutPrefix(r.Key, cancelPrefix); ok {
		s.intakeJobs.Store(job.ID(name), struct{}{})
		s.post(ctx, func(at pool.Moment) {
			if s.isHandled(r) {
				return
			}
			s.applyCancellation(at, job.ID(name), fromIntake, r.Offset)
			s.placeRequested = true
		})
		return
	}
	if spec, ok := s.decodeSpec(r.Record); ok {
		s.intakeJobs.Store(spec.ID, struct{}{})
		s.post(ctx, func(at pool.Moment) {
			if s.isHandled(r) {
				return
			}
			if s.mustForward(&spec) {
				s.forward(ctx, spec)
				return
			}
			s.pool.SubmitStored(at, spec)
			s.placeRequested = true
		})
	}
}

// isHandled reports whether another read has shown a record before.
func (s *Shard) isHandled(r stream.StoredRecord) bool {
	return r.Offset != noOffset && r.Offset < s.intakeOffset
}

// cancelSource says how an owner has learned of a cancellation.
type cancelSource string

const (
	fromCaller cancelSource = "caller" // a call, its own or another instance's
	fromIntake cancelSource = "intake" // a record of the intake
	fromStored cancelSource = "stored" // the stored state, at a take-over
)

// noOffset stands for the offset of a record that was not read by its offset.
const noOffset = -1

// applyCancellation cancels a job and logs what led to it. offset is that of the record in the intake, or noOffset.
func (s *Shard) applyCancellation(at pool.Moment, name job.ID, from cancelSource, offset int64) {
	_, known := s.pool.State(name)
	s.pool.Cancel(at, name)
	s.config.Logger.Info("cancellation applied", zap.String("pool", s.config.Pool), zap.String("job", string(name)), zap.String("from", string(from)),
		zap.Int64("offset", offset), zap.Bool("known", known), zap.Duration("intake_age", at.Steady-s.intakeSeenAt))
}
