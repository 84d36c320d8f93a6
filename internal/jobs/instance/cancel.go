package instance

import (
	"context"
	"slices"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/peer"
)

// A cancellation has to reach the job wherever it is or comes later. So each holder of its route keeps it, whether or not it
// has the job. A holder that is recorded later asks the earlier ones before it accepts the job.

// Cancel cancels a job. After a NoJobError no pool has it, and it is cancelled if it comes later; after any other error some
// pools may keep the cancellation.
func (n *Instance) Cancel(ctx context.Context, q catalog.Queue, name job.ID) error {
	if !name.IsValid() {
		return NoJobError{Job: name}
	}
	c := &cancellation{instance: n, queue: q, job: name}
	err := c.run(ctx)
	c.report(err)
	return err
}

// cancellation is a caller's request to cancel a job.
type cancellation struct {
	instance *Instance
	queue    catalog.Queue
	job      job.ID
	answers  []*poolCancellation
}

func (c *cancellation) run(ctx context.Context) error {
	pools := append([]string{c.queue.Pool}, c.unaskedHolders(c.queue.Pool)...)
	for len(pools) > 0 {
		present, err := c.ask(ctx, pools)
		if present || err != nil {
			return err
		}
		if pools, err = c.newHolders(ctx); err != nil {
			return UnknownError{Reason: err.Error()}
		}
	}
	if slices.ContainsFunc(c.answers, (*poolCancellation).mayHaveJob) {
		return nil
	}
	return NoJobError{Job: c.job}
}

// ask has pools store the cancellation, all at the same time, and reports whether one of them has the job. Otherwise all have
// stored it if there is no error.
func (c *cancellation) ask(ctx context.Context, pools []string) (present bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan *poolCancellation, len(pools))
	for _, name := range pools {
		p := &poolCancellation{instance: c.instance, pool: name, job: c.job}
		go p.run(ctx, answered)
	}
	for range pools {
		p := <-answered
		c.answers = append(c.answers, p)
		if p.silence == nil && p.presence == job.Present {
			return true, nil
		}
		if p.err != nil {
			err = p.err
		}
	}
	return false, err
}

// newHolders returns the holders of the route that are recorded by now and were not asked. The queue's pool is among the
// recorded ones, so that a later holder will ask it.
func (c *cancellation) newHolders(ctx context.Context) ([]string, error) {
	n := c.instance
	var moved movedError
	if _, err := n.holderOf(ctx, c.queue); err != nil && !errors.As(err, &moved) {
		return nil, err
	}
	if err := n.readHolders(ctx); err != nil {
		return nil, err
	}
	var asked []string
	for _, p := range c.answers {
		asked = append(asked, p.pool)
	}
	return c.unaskedHolders(asked...), nil
}

// unaskedHolders returns the known holders of the route besides those that were asked, whether or not they serve.
func (c *cancellation) unaskedHolders(asked ...string) []string {
	n := c.instance
	n.mu.RLock()
	defer n.mu.RUnlock()
	var pools []string
	for _, h := range n.holders[c.queue.Route()] {
		if !slices.Contains(asked, h.pool) {
			pools = append(pools, h.pool)
		}
	}
	return pools
}

// report logs and counts what came of the cancellation.
func (c *cancellation) report(err error) {
	n := c.instance
	for _, p := range c.answers {
		n.config.Metrics.recordCancellation(p.answer())
	}
	n.config.Logger.Info("cancellation stored", zap.String("job", string(c.job)), zap.String("queue", c.queue.Name),
		zap.Objects("pools", c.answers), zap.Error(err))
}

// poolCancellation is the cancellation of a job at one pool.
type poolCancellation struct {
	instance *Instance
	pool     string
	job      job.ID
	presence job.Presence // answer of the owner
	silence  error        // why the owner gave no answer
	table    stream.Table // intake that has the cancellation then
	offset   int64
	err      error // why neither has it
}

// run asks the owner of the pool, and stores the cancellation in the pool's intake if the owner gives no answer.
func (p *poolCancellation) run(ctx context.Context, answered chan<- *poolCancellation) {
	p.presence, p.silence = p.instance.cancelAtOwner(ctx, p.pool, p.job)
	if p.silence != nil {
		p.table = shard.IntakeTable(p.pool)
		p.offset, p.err = p.store(ctx)
	}
	answered <- p
}

// store stores the cancellation in the pool's intake, unless the owner has rejected it.
func (p *poolCancellation) store(ctx context.Context) (int64, error) {
	var overloaded OverloadedError
	if errors.As(p.silence, &overloaded) {
		return 0, overloaded
	}
	if !p.instance.mayStore(pool.CancellationBytes) {
		return 0, storeBudgetError(true)
	}
	return p.instance.store(ctx, p.table, shard.CancelRecord(p.job), true)
}

func (p *poolCancellation) mayHaveJob() bool { return p.silence != nil || p.presence.Known() }

// silentAnswer stands for a pool whose owner gave no answer.
const silentAnswer = "silent"

func (p *poolCancellation) answer() string {
	if p.silence != nil {
		return silentAnswer
	}
	return p.presence.String()
}

// MarshalLogObject adds the answer of the pool to a log line.
func (p *poolCancellation) MarshalLogObject(line zapcore.ObjectEncoder) error {
	line.AddString("pool", p.pool)
	line.AddString("answer", p.answer())
	if p.silence == nil {
		return nil
	}
	line.AddString("error", p.silence.Error())
	if p.err == nil {
		line.AddString("table", p.table.String())
		line.AddInt64("offset", p.offset)
	}
	return nil
}

// cancelAtOwner asks the owner of a pool to cancel a job and tells whether the pool has it. After an OverloadedError the owner has rejected
// the cancellation of a job that it does not have.
func (n *Instance) cancelAtOwner(ctx context.Context, shardName string, name job.ID) (job.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owner, here, err := n.owner(shardName)
	if err != nil {
		return job.Absent, err
	}
	var full pool.OverloadedError
	var peerFull peer.OverloadedError
	if here != nil {
		presence, err := here.Cancel(ctx, name)
		if errors.As(err, &full) {
			err = OverloadedError{Retry: full.Wait, Reason: full.Reason}
		}
		return presence, err
	}
	answer, err := n.config.Peers.Cancel(ctx, owner, relay.JobRequest{Pool: shardName, Job: name})
	if errors.As(err, &peerFull) {
		err = OverloadedError{Retry: retryAfter, Reason: admission.MemoryFull}
	}
	return answer.Answer(), err
}
