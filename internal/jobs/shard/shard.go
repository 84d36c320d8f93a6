package shard

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Times of an owner.
const (
	tickInterval     = 25 * time.Millisecond
	turnGap          = 4 * time.Millisecond // between two turns of the control thread
	placeInterval    = 8 * time.Millisecond // between two rounds of placing, so that ends come together
	renewInterval    = time.Second          // between two proofs to the log that no successor has claimed
	ownerTimeout     = 4 * time.Second      // without a proof, after which nothing is ordered any more
	intakeWait       = time.Second          // longest wait for new jobs in one read
	paceInterval     = 200 * time.Millisecond
	standingInterval = time.Second // between two lines on how the work stands
	eventQueue       = 256
	inheritedSlack   = 500 * time.Millisecond // for orders on their way
)

// Settings are the bounds that the platform states.
type Settings struct {
	Lease     time.Duration // how long a worker runs on without a renewal
	MaxLease  time.Duration // longest lease that a worker grants, 0 when not known
	Retention time.Duration
	Far       float64 // how many times as long a task takes away from its data
}

// Config holds what a Shard needs.
type Config struct {
	Pool     string
	Holder   string // name of this instance
	Settings Settings
	Log      stream.Log
	Workers  worker.Client
	Advisor  worker.Advisor
	Clock    claim.Clock
	Logger   *zap.Logger
	Observer pool.Observer
	Watch    Watch // nil watches nothing
	View     func() View
}

// View is what operators and workers have published, as far as it concerns one pool.
type View struct {
	Workers   []catalog.Worker
	Evacuated id.Set[id.DataCentre]
	Limits    map[string]catalog.Amount // each team's upper limit, over all pools
	Pools     int                       // that share these limits
	Weights   map[string]int            // the teams' shares when the pool is full
}

// Shard is one pool under this instance.
type Shard struct {
	config  Config
	intake  stream.Table // jobs and cancellations, written by every instance
	output  stream.Table // claims and progress, written by the owner
	claim   *claim.Claim
	pool    *pool.Pool
	events  chan event // run on the control thread
	refresh chan struct{}
	started chan struct{} // closed once the pool answers questions
	ended   chan struct{} // closed once nothing answers any more

	earlier    *term          // of the owner before this one, nil for none
	settled    time.Duration  // steady time at which no run of an earlier owner goes on unseen; 0 once it is past
	opened     bool           // this owner's term is stored
	sending    sync.WaitGroup // orders and batches that are on their way
	writer     stream.Writer
	writing    bool
	wrote      time.Duration // steady time at which the newest batch was first sent
	proven     time.Duration // steady time at which the newest answered proof was sent
	proving    bool
	turned     time.Duration // when the newest turn ended
	placed     time.Duration
	paced      time.Duration
	told       time.Duration // when it was last said how the work stands
	pulse      *pulse
	wantPlace  bool
	keeper     int64           // highest fence of a keeper that has given orders for workers
	keeperTurn int64           // its newest round
	tail       int64           // next offset of the intake
	handedIn   []stream.Record // jobs and cancellations that go into the next batch
	callers    []chan struct{} // closed once that batch is stored
	direct     sync.Map        // ids of jobs that stand in the intake
	forgotten  []job.ID        // those of them that are to be removed
	cleaning   bool
}

// New returns a shard that is to be run.
func New(c Config) *Shard {
	return &Shard{
		config: c, pulse: newPulse(c.Watch), intake: IntakeTable(c.Pool), output: OutputTable(c.Pool), refresh: make(chan struct{}, 1),
		events: make(chan event, eventQueue), started: make(chan struct{}), ended: make(chan struct{}),
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
	claimed, proven, err := claim.Take(ctx, claim.Config{
		Log: s.config.Log, Table: s.output, Holder: s.config.Holder, Clock: s.config.Clock, Logger: s.config.Logger,
	})
	if err != nil {
		return errors.Annotatef(err, "claiming pool %s", s.config.Pool)
	}
	s.claim, s.proven = claimed, proven
	s.writer = stream.Writer{Epoch: claimed.Epoch()}
	if err := s.load(ctx); err != nil {
		return errors.Annotatef(err, "taking over pool %s", s.config.Pool)
	}
	close(s.started)
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return s.run(running) })
	group.Go(func() error { return s.loopIntake(running) })
	err = group.Wait()
	if ctx.Err() != nil {
		s.close(ctx)
	}
	return errors.Trace(err)
}

// load reads everything that the log holds of the pool.
func (s *Shard) load(ctx context.Context) error {
	jobs := map[job.ID]*pool.Stored{}
	var cancelled []job.ID
	if _, err := claim.ReadAll(ctx, s.config.Log, s.output, s.config.Logger, func(r stream.Record) {
		s.loadTerm(r)
		s.loadProgress(jobs, r)
		s.loadIntake(jobs, &cancelled, r)
	}); err != nil {
		return err
	}
	next, err := claim.ReadAll(ctx, s.config.Log, s.intake, s.config.Logger, func(r stream.Record) {
		s.loadIntake(jobs, &cancelled, r)
		if _, id, ok := strings.Cut(r.Key, "/"); ok {
			s.direct.Store(job.ID(id), struct{}{})
		}
	})
	if err != nil {
		return err
	}
	s.tail = next
	var ordered []string
	if _, err := claim.ReadAll(ctx, s.config.Log, machines.Table(), s.config.Logger, func(r stream.Record) { ordered = s.loadRecent(ordered, r) }); err != nil {
		return err
	}
	at := s.config.Clock.Moment()
	s.pool = pool.New(pool.Config{
		Name: s.config.Pool, Fence: s.claim.Epoch(), Lease: s.config.Settings.Lease, MaxLease: s.config.Settings.MaxLease,
		Inherited: s.inherited(),
		Retention: s.config.Settings.Retention,
		Far:       s.config.Settings.Far,
		Observer:  s.config.Observer,
	})
	s.applyView(at)
	s.pool.KeepFree(at, ordered)
	stored := make([]pool.Stored, 0, len(jobs))
	for name, j := range jobs {
		if j.Spec.ID == "" {
			s.handedIn = append(s.handedIn, dropRecords(name)...) // an earlier owner has forgotten it
			continue
		}
		stored = append(stored, *j)
	}
	s.pool.Restore(at, stored)
	for _, name := range cancelled {
		s.pool.Cancel(at, name)
	}
	s.config.Logger.Info("took over a pool", zap.String("pool", s.config.Pool), zap.Int("jobs", len(stored)), zap.Int64("offset", next),
		zap.Duration("unseen_runs_wait", s.inherited()))
	return s.open(at)
}

// event is something for the control thread, with the steady time since which it waits for that.
type event struct {
	since time.Duration
	do    func(at pool.Moment)
}

func (s *Shard) event(f func(at pool.Moment)) event {
	return event{since: s.config.Clock.Moment().Steady, do: f}
}

// do runs a function on the control thread and waits for it.
func (s *Shard) do(ctx context.Context, f func(at pool.Moment)) error {
	done := make(chan struct{})
	select {
	case s.events <- s.event(func(at pool.Moment) { f(at); close(done) }):
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
	case s.events <- s.event(f):
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
	s.pool.SetLimits(v.Limits, limit.Floor(v.Pools))
	s.pool.SetWeights(v.Weights)
	s.wantPlace = true
}
