package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Submit accepts a job and returns once the job is stored. A pool.OverloadedError, a SealedError or a RejectedError says
// that the job was rejected; after any other error the job may still be stored.
func (s *Shard) Submit(ctx context.Context, spec job.Spec) error {
	record, err := SpecRecord(&spec)
	if err != nil {
		return err
	}
	err = s.storeRecord(ctx, record, func(at pool.Moment) error {
		if err := s.checkSeal(&spec); err != nil {
			return err
		}
		if err := s.pool.Admit(at, &spec); err != nil {
			return err
		}
		s.pool.Submit(at, spec)
		return nil
	})
	var forwarded forwardedError
	if errors.As(err, &forwarded) {
		return nil
	}
	return err
}

// Cancel stores the cancellation of a job, applies it, and tells whether the pool has the job. After a pool.OverloadedError it is not
// stored. An Absent job is cancelled if it comes within the retention time; the pools to which a Forwarded one may go have to know of the
// cancellation, too.
func (s *Shard) Cancel(ctx context.Context, name job.ID) (job.Presence, error) {
	var presence job.Presence
	var known bool
	var tail int64
	err := s.storeRecord(ctx, CancelRecord(name), func(at pool.Moment) error {
		if err := s.pool.AdmitCancellation(name); err != nil && !s.has(name) {
			return err
		}
		presence, known, tail = s.presence(name), s.has(name), s.intakeOffset
		s.applyCancellation(at, name, fromCaller, noOffset)
		return nil
	})
	switch {
	case err != nil:
		return job.Absent, err
	case presence == job.Present:
		return job.Present, nil
	case known:
		return job.Forwarded, nil
	}
	// The stored cancellation proves that this instance owned the pool, so only the intake may have the job.
	unread, err := s.readTail(ctx, tail, name)
	if unread.submitted {
		return job.Forwarded, err // if its route has moved, else it stays
	}
	return job.Absent, err
}

// storeRecord runs handle on the control thread and waits until the record is stored. The record is not stored when handle
// returns an error, and handle does not run while the log has not answered for logTimeout.
func (s *Shard) storeRecord(ctx context.Context, r stream.Record, handle func(at pool.Moment) error) error {
	if err := r.Check(s.recordLimit()); err != nil {
		return RejectedError{Reason: err.Error()}
	}
	if err := s.awaitStarted(ctx); err != nil {
		return RejectedError{Reason: err.Error()}
	}
	stored := make(chan struct{})
	var rejected error
	err := s.do(ctx, func(at pool.Moment) {
		if rejected = s.checkLog(at); rejected != nil {
			return
		}
		if rejected = handle(at); rejected != nil {
			return
		}
		s.pendingRecords = append(s.pendingRecords, r)
		s.callers = append(s.callers, stored)
		s.placeRequested = true
	})
	if err != nil {
		return err
	}
	if rejected != nil {
		return rejected
	}
	return s.awaitStored(ctx, stored)
}

// awaitStored waits until the channel of a record that goes into the next batch is closed.
func (s *Shard) awaitStored(ctx context.Context, stored <-chan struct{}) error {
	select {
	case <-stored:
		return nil
	case <-s.ended:
		return NotOwnerError{Pool: s.config.Pool}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// logTimeout is how long a batch may wait for the log before new jobs are rejected.
const logTimeout = time.Second

// checkLog returns a RejectedError while the log does not answer, so that callers get an error at once.
func (s *Shard) checkLog(at pool.Moment) error {
	if waited := at.Steady - s.writeStarted; s.writing && waited > logTimeout {
		return RejectedError{Reason: fmt.Sprintf("the log has not answered for %v", waited.Round(time.Millisecond))}
	}
	return nil
}

// RejectedError reports a job or a cancellation that this owner has rejected and will not store.
type RejectedError struct{ Reason string }

// Error returns a message with the reason.
func (e RejectedError) Error() string { return "shard: not taken: " + e.Reason }
