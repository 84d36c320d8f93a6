package shard

import (
	"context"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// maxCleanupJobs is the maximum number of jobs that one call removes from the intake; it bounds the size of the call.
const maxCleanupJobs = 400

// cleanIntake removes expired jobs from the intake. Their progress is removed only afterwards: a successor that found a
// job in the intake without its progress would start the job again.
func (s *Shard) cleanIntake(ctx context.Context) {
	if s.cleaning || len(s.expiredJobs) == 0 {
		return
	}
	s.cleaning = true
	first := min(maxCleanupJobs, len(s.expiredJobs))
	c := &intakeCleanup{shard: s, names: s.expiredJobs[:first]}
	s.expiredJobs = s.expiredJobs[first:]
	s.inFlight.Go(func() { c.run(ctx) })
}

// intakeCleanup removes a group of jobs from the intake.
type intakeCleanup struct {
	shard *Shard
	names []job.ID
}

func (c *intakeCleanup) run(ctx context.Context) {
	s := c.shard
	var records []stream.Record
	for _, name := range c.names {
		records = append(records, stream.Record{Key: specPrefix + string(name)}, stream.Record{Key: cancelPrefix + string(name)})
	}
	for {
		_, err := s.config.Log.Append(ctx, s.intake, records, nil)
		if err == nil {
			break
		}
		if claim.Backoff(ctx, s.config.Logger, err) != nil {
			return
		}
	}
	s.post(ctx, func(pool.Moment) {
		s.cleaning = false
		for _, name := range c.names {
			s.intakeJobs.Delete(name)
			s.pendingRecords = append(s.pendingRecords, s.dropRecords(name)...)
		}
	})
}
