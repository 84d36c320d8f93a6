package shard

import (
	"context"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// maxClean bounds the jobs that are removed from the intake by one call, and so its bytes.
const maxClean = 400

// clean removes forgotten jobs from the intake. Their progress goes only after that: a successor that found a job in
// the intake without it would start the job anew.
func (s *Shard) clean(ctx context.Context) {
	if s.cleaning || len(s.forgotten) == 0 {
		return
	}
	s.cleaning = true
	first := min(maxClean, len(s.forgotten))
	c := &cleaning{shard: s, names: s.forgotten[:first]}
	s.forgotten = s.forgotten[first:]
	s.sending.Go(func() { c.run(ctx) })
}

// cleaning removes some jobs from the intake.
type cleaning struct {
	shard *Shard
	names []job.ID
}

func (c *cleaning) run(ctx context.Context) {
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
		if claim.Pause(ctx, s.config.Logger, err) != nil {
			return
		}
	}
	s.post(ctx, func(pool.Moment) {
		s.cleaning = false
		for _, name := range c.names {
			s.direct.Delete(name)
			s.handedIn = append(s.handedIn, dropRecords(name)...)
		}
	})
}
