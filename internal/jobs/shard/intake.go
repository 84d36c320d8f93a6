package shard

import (
	"context"
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Submit takes a job and returns once it is stored; a pool.FullError or a NotTakenError says that it was not
// taken, and after any other error it may be stored yet.
func (s *Shard) Submit(ctx context.Context, spec job.Spec) error {
	record, err := SpecRecord(&spec)
	if err != nil {
		return err
	}
	return s.handIn(ctx, record, func(at pool.Moment) error {
		if err := s.pool.Admit(at, &spec); err != nil {
			return err
		}
		s.pool.Submit(at, spec)
		return nil
	})
}

// Cancel ends a job and returns once that is stored; it reports whether the pool holds the job.
func (s *Shard) Cancel(ctx context.Context, name job.ID) (bool, error) {
	_, known, err := s.State(ctx, name)
	if err != nil || !known {
		return known, err
	}
	return true, s.handIn(ctx, CancelRecord(name), func(at pool.Moment) error {
		s.pool.Cancel(at, name)
		return nil
	})
}

// handIn lets the control thread take something in, unless that refuses, and waits until its record is stored.
func (s *Shard) handIn(ctx context.Context, r stream.Record, take func(at pool.Moment) error) error {
	if err := s.ready(ctx); err != nil {
		return NotTakenError{Reason: err.Error()}
	}
	stored := make(chan struct{})
	var refused error
	err := s.do(ctx, func(at pool.Moment) {
		if refused = s.silent(at); refused != nil {
			return
		}
		if refused = take(at); refused != nil {
			return
		}
		s.handedIn = append(s.handedIn, r)
		s.callers = append(s.callers, stored)
		s.wantPlace = true
	})
	if err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	select {
	case <-stored:
		return nil
	case <-s.ended:
		return EndedError{Pool: s.config.Pool}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// logPatience is how long a batch may wait for the log before new jobs are turned away.
const logPatience = time.Second

// silent returns a NotTakenError while the log does not answer, so that callers are told at once.
func (s *Shard) silent(at pool.Moment) error {
	if waited := at.Steady - s.wrote; s.writing && waited > logPatience {
		return NotTakenError{Reason: fmt.Sprintf("the log has not answered for %v", waited.Round(time.Millisecond))}
	}
	return nil
}

// NotTakenError reports a job or a cancellation that this owner has not taken in and will not store.
type NotTakenError struct{ Reason string }

// Error returns the reason.
func (e NotTakenError) Error() string { return "shard: not taken: " + e.Reason }
