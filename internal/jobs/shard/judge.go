package shard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
)

// judgeInterval is the time between two looks at the list of instances for workers that are silent.
const judgeInterval = time.Second

// judge asks which instances are up when workers with runs do not answer.
func (s *Shard) judge(ctx context.Context, at pool.Moment) {
	if s.judging || at.Steady-s.judged < judgeInterval || !s.pool.Doubtful() {
		return
	}
	s.judging, s.judged = true, at.Steady
	c := &census{shard: s, asked: at.Steady}
	go c.run(ctx)
}

// census is one reading of the list of instances.
type census struct {
	shard *Shard
	asked time.Duration
}

func (c *census) run(ctx context.Context) {
	s := c.shard
	list, err := s.config.Machines.List(ctx)
	if err != nil {
		s.config.Logger.Warn("could not list the instances", zap.Error(err))
	}
	s.post(ctx, func(at pool.Moment) {
		s.judging = false
		if err == nil && len(list) > 0 {
			s.pool.Judge(at, c.asked, upWorkers(list))
			s.wantPlace = true
		}
	})
}

// upWorkers returns the workers whose instances are up.
func upWorkers(list []catalog.Instance) map[string]bool {
	up := map[string]bool{}
	for _, m := range list {
		if m.State == catalog.Up && m.Worker != "" {
			up[m.Worker] = true
		}
	}
	return up
}
