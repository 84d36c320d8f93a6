package shard

import (
	"context"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Submit takes a job and returns once it is stored; after an error it may be stored yet.
func (s *Shard) Submit(ctx context.Context, spec job.Spec) error {
	record, err := SpecRecord(&spec)
	if err != nil {
		return err
	}
	return s.handIn(ctx, record, func(at pool.Moment) { s.pool.Submit(at, spec) })
}

// Cancel ends a job and returns once that is stored; it reports whether the pool holds the job.
func (s *Shard) Cancel(ctx context.Context, name job.ID) (bool, error) {
	_, known, err := s.State(ctx, name)
	if err != nil || !known {
		return known, err
	}
	return true, s.handIn(ctx, CancelRecord(name), func(at pool.Moment) { s.pool.Cancel(at, name) })
}

// handIn lets the control thread take something in and waits until its record is stored.
func (s *Shard) handIn(ctx context.Context, r stream.Record, take func(at pool.Moment)) error {
	if err := s.ready(ctx); err != nil {
		return err
	}
	stored := make(chan struct{})
	err := s.do(ctx, func(at pool.Moment) {
		take(at)
		s.handedIn = append(s.handedIn, r)
		s.callers = append(s.callers, stored)
		s.wantPlace = true
	})
	if err != nil {
		return err
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
