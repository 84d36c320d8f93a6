package instance

import (
	"context"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// silentAnswer stands for a pool whose owner gave no answer to a cancellation.
const silentAnswer = "silent"

// cancellation is a caller's request to cancel a job.
type cancellation struct {
	instance *Instance
	queue    catalog.Queue
	job      job.ID
	answers  []*poolAnswer
}

// poolAnswer is what a pool answered to a cancellation, and where the cancellation is stored if its owner gave no answer.
type poolAnswer struct {
	pool   string
	answer string
	known  bool // the pool has the job, or forwards it
	err    error
	stored bool // in the intake
	table  stream.Table
	offset int64
}

// MarshalLogObject adds the answer to a log line.
func (a *poolAnswer) MarshalLogObject(line zapcore.ObjectEncoder) error {
	line.AddString("pool", a.pool)
	line.AddString("answer", a.answer)
	if a.err != nil {
		line.AddString("error", a.err.Error())
	}
	if a.stored {
		line.AddString("table", a.table.String())
		line.AddInt64("offset", a.offset)
	}
	return nil
}

// Cancel cancels a job.
func (n *Instance) Cancel(ctx context.Context, q catalog.Queue, name job.ID) error {
	c := &cancellation{instance: n, queue: q, job: name}
	err := c.run(ctx)
	c.report(err)
	return err
}

func (c *cancellation) run(ctx context.Context) error {
	n := c.instance
	var silent []*poolAnswer
	for _, shardName := range n.poolsFrom(c.queue.Pool) {
		a := c.ask(ctx, shardName)
		if a.known {
			return nil
		}
		if a.err != nil {
			silent = append(silent, a)
		}
	}
	if len(silent) == 0 {
		return NoJobError{Job: c.job}
	}
	// The job may be in any of these pools. A cancel record for a job that does not exist has no effect.
	for _, a := range silent {
		if err := c.storeInIntake(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// ask asks the owner of a pool to cancel the job.
func (c *cancellation) ask(ctx context.Context, shardName string) *poolAnswer {
	a := &poolAnswer{pool: shardName}
	c.answers = append(c.answers, a)
	presence, err := c.instance.cancelAtOwner(ctx, shardName, c.job)
	if a.answer = presence.String(); err != nil {
		a.answer, a.err = silentAnswer, err
	}
	a.known = err == nil && presence.Known()
	return a
}

// storeInIntake stores the cancellation in the intake of a pool whose owner gave no answer.
func (c *cancellation) storeInIntake(ctx context.Context, a *poolAnswer) error {
	a.table = shard.IntakeTable(a.pool)
	var err error
	a.offset, err = c.instance.store(ctx, a.table, shard.CancelRecord(c.job), true)
	a.stored = err == nil
	return err
}

// report logs and counts what came of the cancellation.
func (c *cancellation) report(err error) {
	n := c.instance
	for _, a := range c.answers {
		n.config.Metrics.recordCancellation(a.answer)
	}
	n.config.Logger.Info("cancellation stored", zap.String("job", string(c.job)), zap.String("queue", c.queue.Name),
		zap.Objects("pools", c.answers), zap.Error(err))
}

// cancelAtOwner asks the owner of a pool to cancel a job and tells whether the pool has it.
func (n *Instance) cancelAtOwner(ctx context.Context, shardName string, name job.ID) (job.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owner, here, err := n.owner(shardName)
	if err != nil {
		return job.Absent, err
	}
	if here != nil {
		return here.Cancel(ctx, name)
	}
	answer, err := n.config.Peers.Cancel(ctx, owner, relay.JobRequest{Pool: shardName, Job: name})
	return answer.Presence, err
}
