package shard

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Times of an owner.
const (
	tickInterval  = 25 * time.Millisecond
	placeInterval = 8 * time.Millisecond  // between two rounds of placing, so that ends come together
	renewInterval = time.Second           // between two proofs to the log that no successor has claimed
	ownerTimeout  = 4 * time.Second       // without a proof, after which nothing is ordered any more
	intakeWait    = time.Second           // longest wait for new jobs in one read
	retryPause    = 50 * time.Millisecond // after a call that the store refused
	paceInterval  = 200 * time.Millisecond
	eventQueue    = 256
)

// clockDrift is the most by which a worker's clock is slow, as a part of the time.
const clockDrift = 0.02

// Settings are the bounds that the platform states.
type Settings struct {
	Lease     time.Duration // how long a worker runs on without a renewal
	Retention time.Duration
	StopTime  time.Duration
	Harm      time.Duration
}

// Config holds what a Shard needs.
type Config struct {
	Pool     string
	Holder   string // name of this instance
	Settings Settings
	Log      stream.Log
	Workers  worker.Client
	Advisor  worker.Advisor
	Clock    Clock
	Logger   *zap.Logger
	Observer pool.Observer
	View     func() View
}

// Clock reads both clocks.
type Clock interface{ Moment() pool.Moment }

// View is what operators and workers have published, as far as it concerns one pool.
type View struct {
	Workers   []catalog.Worker
	Evacuated id.Set[id.DataCentre]
	Limits    map[string]catalog.Amount // this pool's part of each team's upper limit
}

// Shard is one pool under this instance.
type Shard struct {
	config  Config
	intake  stream.Table // jobs and cancellations, written by every instance
	output  stream.Table // claims and progress, written by the owner
	epoch   int64
	pool    *pool.Pool
	events  chan func(at pool.Moment) // run on the control thread
	refresh chan struct{}
	started chan struct{} // closed once the pool answers questions
	ended   chan struct{} // closed once nothing answers any more

	writer    stream.Writer
	writing   bool
	proven    time.Duration // steady time at which the newest answered proof was sent
	proving   bool
	placed    time.Duration
	paced     time.Duration
	wantPlace bool
	tail      int64 // next offset of the intake
}

// New returns a shard that is to be run.
func New(c Config) *Shard {
	return &Shard{
		config: c, intake: IntakeTable(c.Pool), output: OutputTable(c.Pool), refresh: make(chan struct{}, 1),
		events: make(chan func(pool.Moment), eventQueue), started: make(chan struct{}), ended: make(chan struct{}),
	}
}

// IntakeTable returns the table that holds the jobs of a pool as they were handed in.
func IntakeTable(name string) stream.Table { return stream.Table{Name: "jobs." + name, Part: 0} }

// OutputTable returns the table that holds the claims on a pool and the progress of its jobs.
func OutputTable(name string) stream.Table { return stream.Table{Name: "jobs." + name, Part: 1} }

// Run claims the pool and owns it until the context ends or a successor claims it, which is reported
// by a stream.FencedError.
func (s *Shard) Run(ctx context.Context) error {
	defer close(s.ended)
	if err := s.claim(ctx); err != nil {
		return errors.Annotatef(err, "claiming pool %s", s.config.Pool)
	}
	if err := s.load(ctx); err != nil {
		return errors.Annotatef(err, "taking over pool %s", s.config.Pool)
	}
	close(s.started)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.run(ctx) })
	group.Go(func() error { return s.loopIntake(ctx) })
	return errors.Trace(group.Wait())
}

// claim draws a number from the log that no other owner has and fences off all lower ones.
func (s *Shard) claim(ctx context.Context) error {
	record := stream.Record{Key: ownerKey, Value: []byte(s.config.Holder)}
	for {
		offset, err := s.config.Log.Append(ctx, s.output, []stream.Record{record}, nil)
		if err == nil {
			s.epoch = offset + 1
			break
		}
		if err := s.pause(ctx, err); err != nil {
			return err
		}
	}
	for {
		sent := s.config.Clock.Moment().Steady
		err := s.config.Log.Fence(ctx, s.output, s.epoch)
		if err == nil {
			s.proven = sent
			s.writer = stream.Writer{Epoch: s.epoch}
			s.config.Logger.Info("claimed a pool", zap.String("pool", s.config.Pool), zap.Int64("fence", s.epoch))
			return nil
		}
		var fenced stream.FencedError
		if errors.As(err, &fenced) {
			return err
		}
		if err := s.pause(ctx, err); err != nil {
			return err
		}
	}
}

// pause waits a moment after a failed call; it fails when the context has ended.
func (s *Shard) pause(ctx context.Context, cause error) error {
	s.config.Logger.Debug("the store did not take a call", zap.String("pool", s.config.Pool), zap.Error(cause))
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(retryPause):
		return nil
	}
}

// load reads everything that the log holds of the pool.
func (s *Shard) load(ctx context.Context) error {
	jobs := map[job.ID]*pool.Stored{}
	if _, err := s.readAll(ctx, s.output, func(r stream.Record) { s.loadProgress(jobs, r) }); err != nil {
		return err
	}
	var cancelled []job.ID
	next, err := s.readAll(ctx, s.intake, func(r stream.Record) { s.loadIntake(jobs, &cancelled, r) })
	if err != nil {
		return err
	}
	s.tail = next
	at := s.config.Clock.Moment()
	s.pool = pool.New(pool.Config{
		Name: s.config.Pool, Fence: s.epoch, Lease: s.config.Settings.Lease,
		Inherited: ownerTimeout + time.Duration(float64(s.config.Settings.Lease)*(1+2*clockDrift)) + time.Second,
		Retention: s.config.Settings.Retention, StopTime: s.config.Settings.StopTime, Harm: s.config.Settings.Harm,
		Observer: s.config.Observer,
	})
	s.applyView(at)
	stored := make([]pool.Stored, 0, len(jobs))
	for _, j := range jobs {
		if j.Spec.ID != "" {
			stored = append(stored, *j)
		}
	}
	s.pool.Restore(at, stored)
	for _, name := range cancelled {
		s.pool.Cancel(at, name)
	}
	s.config.Logger.Info("took over a pool", zap.String("pool", s.config.Pool), zap.Int("jobs", len(stored)), zap.Int64("offset", next))
	return nil
}

// readAll reads the newest record of every key and returns the offset from which to read on.
func (s *Shard) readAll(ctx context.Context, t stream.Table, take func(stream.Record)) (int64, error) {
	after, next, first := "", int64(0), true
	for {
		page, err := s.config.Log.Newest(ctx, t, after)
		if err != nil {
			if err := s.pause(ctx, err); err != nil {
				return 0, err
			}
			continue
		}
		if first {
			next, first = page.End, false
		}
		for _, item := range page.Items {
			take(item.Record)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return next, nil
		}
	}
}

// do runs a function on the control thread and waits for it.
func (s *Shard) do(ctx context.Context, f func(at pool.Moment)) error {
	done := make(chan struct{})
	select {
	case s.events <- func(at pool.Moment) { f(at); close(done) }:
	case <-s.ended:
		return EndedError{Pool: s.config.Pool}
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-s.ended:
		return EndedError{Pool: s.config.Pool}
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// post hands a function to the control thread.
func (s *Shard) post(ctx context.Context, f func(at pool.Moment)) {
	select {
	case s.events <- f:
	case <-s.ended:
	case <-ctx.Done():
	}
}

// Refresh has the shard look at what operators and workers have published.
func (s *Shard) Refresh() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

func (s *Shard) applyView(at pool.Moment) {
	v := s.config.View()
	s.pool.SetWorkers(at, v.Workers)
	s.pool.SetEvacuated(v.Evacuated)
	s.pool.SetLimits(v.Limits)
	s.wantPlace = true
}
