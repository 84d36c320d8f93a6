package shard

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/runtimes"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Intervals, timeouts and sizes of an owner.
const (
	tickInterval   = 25 * time.Millisecond
	iterationGap   = 4 * time.Millisecond // minimum time between two iterations of the control thread
	placeInterval  = 8 * time.Millisecond // minimum time between two placement rounds, so that one round covers several task ends
	proofInterval  = time.Second          // between two proofs that no successor has claimed the pool
	ownerTimeout   = 4 * time.Second      // time without a proof after which no orders are sent
	intakeWait     = time.Second          // longest wait for new jobs in one read
	paceInterval   = 200 * time.Millisecond
	statusInterval = time.Second // minimum time between two status lines in the log
	eventQueueSize = 256
	inheritedSlack = 500 * time.Millisecond // allowance for orders in flight
)

// Settings holds the limits that the platform sets.
type Settings struct {
	Lease             time.Duration // how long a worker keeps running tasks without a renewal
	MaxLease          time.Duration // longest lease that a worker grants, 0 if unknown
	Retention         time.Duration
	CancelTimeout     time.Duration // time after the acknowledgement of a cancellation after which no task of the job starts, 0 if unknown
	EvacuationTimeout time.Duration // time after an evacuation after which no task starts in the data centre, 0 if unknown
	RemoteSlowdown    float64       // factor by which a task takes longer away from its data
	RecordBytes       int           // longest record that the store takes, 0 if unknown
	CallBytes         int           // bytes of records that the store takes in one call, 0 if unknown
	Admission         pool.AdmissionPolicy
	Memory            int64 // bytes that the instance may use, 0 if unknown
	JobMemory         int64 // bytes that the jobs of the pool may take, 0 for the default by Memory
}

// jobMemory returns the memory that the jobs of one pool may take beside those of the instance's other pools, 0 for no limit.
func (s *Settings) jobMemory(others int64) int64 {
	if s.JobMemory > 0 {
		return s.JobMemory
	}
	return pool.MemoryLimitBeside(s.Memory, others)
}

// Config holds what a Shard needs.
type Config struct {
	Pool            string
	Holder          string // name of this instance
	Settings        Settings
	Log             stream.Log
	ConditionalLog  stream.ConditionalLog // the same store
	Workers         worker.Client
	Advisor         worker.Advisor
	Clock           claim.Clock
	Logger          *zap.Logger
	Observer        pool.Observer
	TimingObserver  TimingObserver  // may be nil
	RunTimeObserver RunTimeObserver // may be nil
	View            func() View
	// OperatorsSeen returns the steady time as of which View has all that the operators have written.
	OperatorsSeen func() time.Duration
	// OtherJobMemory returns the memory of the jobs of the instance's other pools, in bytes; may be nil.
	OtherJobMemory func() int64
	// Forward submits a job to the pool that its route belongs to now, and returns once that pool has it.
	Forward func(ctx context.Context, spec job.Spec) error
}

// View is the part of the data published by operators and workers that concerns one pool.
type View struct {
	Workers   []catalog.Worker
	Evacuated id.Set[id.DataCentre]
	Limits    map[string]catalog.Resources // each team's upper limit, over all pools
	PoolCount int                          // number of pools that share these limits
	Weights   map[string]int               // the teams' shares when the pool is full
}

// Shard is one pool owned by this instance.
type Shard struct {
	config  Config
	intake  stream.Table // jobs and cancellations, written by every instance
	output  stream.Table // claims and progress, written by the owner
	claim   *claim.Claim
	pool    *pool.Pool
	memory  atomic.Int64 // of the jobs, for other threads
	events  chan event   // executed on the control thread
	refresh chan struct{}
	started chan struct{} // closed once the pool answers questions
	ended   chan struct{} // closed once nothing answers any more

	previousTerm       *term           // term of the previous owner, nil if there was none
	inheritedUntil     time.Duration   // steady time until which unreported runs of earlier owners may still run; 0 once it has passed
	unseenUntil        atomic.Int64    // inheritedUntil while a successor would wait anew for some of these runs, else 0
	termStored         bool            // whether this owner's term is stored
	runTimes           runtimes.Stored // run times that earlier owners have stored
	runTimesStoredAt   time.Duration   // steady time at which run times were last given to a batch
	runTimesReportedAt time.Duration   // steady time at which run times were last reported
	uptimeStored       time.Duration   // newest uptime of the pool that was loaded, or given to a batch
	inFlight           sync.WaitGroup  // orders and batches in flight
	writer             stream.Writer
	writing            bool
	writeStarted       time.Duration // steady time at which the newest batch was first sent
	provenAt           time.Duration // steady time at which the newest answered proof was sent
	proving            bool
	iterationEnded     time.Duration // steady time at which the last iteration ended
	placedAt           time.Duration
	pacedAt            time.Duration
	statusLoggedAt     time.Duration // steady time of the last status line
	heldLoggedAt       time.Duration // steady time of the last line on starts that are held back
	stats              *loopStats
	placeRequested     bool
	autoscalerFence    int64           // highest fence of an autoscaler that has sent orders
	autoscalerRound    int64           // newest round under that fence
	intakeOffset       int64           // next offset of the intake
	intakeSeenAt       time.Duration   // steady time as of which all records of the intake are handled
	intakeReadAt       time.Duration   // steady time of the newest read of the intake that did not wait
	intakeReading      bool            // whether that read is outstanding
	pendingRecords     []stream.Record // records that go into the next batch
	callers            []chan struct{} // channels to close once that batch is stored
	intakeJobs         sync.Map        // IDs of the jobs in the intake
	expiredJobs        []job.ID        // expired jobs to be removed from the intake
	cleaning           bool
	cancellations      cancellationCleanup // the same for expired cancellations
	seals              map[catalog.Route]seal
	partCounts         map[job.ID]int           // parts of stored progress, of jobs that have had any
	forwarding         map[job.ID]catalog.Route // jobs of the intake that are on their way to another pool
}

// New returns a shard; Run starts it.
func New(c Config) *Shard {
	return &Shard{
		config: c, stats: newLoopStats(c.TimingObserver), intake: IntakeTable(c.Pool), output: OutputTable(c.Pool), refresh: make(chan struct{}, 1),
		events: make(chan event, eventQueueSize), seals: map[catalog.Route]seal{}, partCounts: map[job.ID]int{}, forwarding: map[job.ID]catalog.Route{}, started: make(chan struct{}), ended: make(chan struct{}),
	}
}

// IntakeTable returns the table to which every instance appends jobs and cancellations for a pool.
func IntakeTable(name string) stream.Table { return stream.Table{Name: "jobs." + name, Part: 0} }

// OutputTable returns the table that holds the claims on a pool, its owner's term, and jobs with their progress.
func OutputTable(name string) stream.Table { return stream.Table{Name: "jobs." + name, Part: 1} }

// Run claims the pool and owns it until the context ends or a successor claims it. The latter is reported by a
// stream.FencedError.
func (s *Shard) Run(ctx context.Context) error {
	defer close(s.ended)
	claimed, proven, err := claim.Acquire(ctx, claim.Config{
		Log: s.config.Log, Table: s.output, Holder: s.config.Holder, Clock: s.config.Clock, Logger: s.config.Logger,
	})
	if err != nil {
		return errors.Annotatef(err, "claiming pool %s", s.config.Pool)
	}
	s.claim, s.provenAt = claimed, proven
	s.writer = stream.Writer{Epoch: claimed.Epoch()}
	if err := s.load(ctx); err != nil {
		return errors.Annotatef(err, "taking over pool %s", s.config.Pool)
	}
	close(s.started)
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return s.run(running) })
	group.Go(func() error { return s.followIntake(running) })
	err = group.Wait()
	s.withdrawRunTimes()
	if ctx.Err() != nil {
		s.close(ctx)
	}
	return errors.Trace(err)
}

// outputKeys are the ranges of keys in which the output table is read. The progress of jobs comes before the jobs, so that of those
// that have ended only a part is kept.
var outputKeys = []claim.KeyRange{{After: partPrefix}, {Last: partPrefix}}

// load reads the pool's stored state from the log.
func (s *Shard) load(ctx context.Context) error {
	jobs, parts := map[job.ID]*pool.StoredState{}, map[string][]byte{}
	var cancelled []job.ID
	for _, keys := range outputKeys {
		if _, err := claim.ReadKeys(ctx, s.config.Log, s.output, keys, s.config.Logger, func(r stream.Record) {
			s.loadTerm(r)
			s.loadUptime(r)
			s.loadRunTimes(r)
			s.loadSeal(r)
			s.loadPart(parts, r)
			s.loadProgress(jobs, parts, r)
			s.loadIntake(jobs, &cancelled, r)
		}); err != nil {
			return err
		}
	}
	s.intakeSeenAt = s.config.Clock.Moment().Steady
	next, err := claim.ReadAll(ctx, s.config.Log, s.intake, s.config.Logger, func(r stream.Record) {
		s.loadIntake(jobs, &cancelled, r)
		if _, id, ok := strings.Cut(r.Key, "/"); ok {
			s.intakeJobs.Store(job.ID(id), struct{}{})
		}
	})
	if err != nil {
		return err
	}
	s.intakeOffset = next
	sealed := s.takeSealed(jobs, cancelled)
	var ordered []string
	if _, err := claim.ReadAll(ctx, s.config.Log, machines.Table(), s.config.Logger, func(r stream.Record) { ordered = s.loadRecent(ordered, r) }); err != nil {
		return err
	}
	at := s.config.Clock.Moment()
	s.pool = pool.New(pool.Config{
		Name: s.config.Pool, Fence: s.claim.Epoch(), FirstOwner: s.previousTerm == nil, Lease: s.config.Settings.Lease, MaxLease: s.config.Settings.MaxLease,
		InheritedWait:  s.inheritedWait(),
		Unleased:       s.previousTerm.unleased(),
		UnleasedWait:   s.previousTerm.unleasedWait(),
		Retention:      s.config.Settings.Retention,
		Uptime:         s.uptimeStored,
		RunTimes:       s.runTimes,
		RemoteSlowdown: s.config.Settings.RemoteSlowdown,
		Admission:      s.config.Settings.Admission,
		Observer:       s.config.Observer,
	})
	s.runTimesStoredAt, s.runTimesReportedAt = at.Steady, at.Steady
	s.applyView(at)
	s.pool.CordonInstances(at, ordered)
	stored := make([]pool.StoredState, 0, len(jobs))
	for name, j := range jobs {
		if j.Spec.ID == "" {
			s.pendingRecords = append(s.pendingRecords, s.dropRecords(name)...) // the job has expired, and only its progress is left
			continue
		}
		stored = append(stored, *j)
	}
	s.pool.Restore(at, stored)
	s.updateMemory()
	for _, name := range cancelled {
		s.applyCancellation(at, name, fromStored, noOffset)
	}
	for _, spec := range sealed {
		s.forward(ctx, spec)
	}
	s.config.Logger.Info("took over a pool", zap.String("pool", s.config.Pool), zap.Int("jobs", len(stored)), zap.Int("ended", countEnded(stored)),
		zap.Duration("uptime", s.pool.Uptime()), zap.Int64("offset", next), zap.Duration("unseen_runs_wait", s.inheritedWait()))
	return s.storeTerm(at)
}

// countEnded returns how many of the jobs have ended.
func countEnded(all []pool.StoredState) int {
	count := 0
	for _, s := range all {
		if s.Progress != nil && s.Progress.State.Ended() {
			count++
		}
	}
	return count
}

// event is a function for the control thread, with the steady time at which it was queued.
type event struct {
	queuedAt time.Duration
	do       func(at pool.Moment)
}

func (s *Shard) event(f func(at pool.Moment)) event {
	return event{queuedAt: s.config.Clock.Moment().Steady, do: f}
}

// do runs a function on the control thread and waits for its end.
func (s *Shard) do(ctx context.Context, f func(at pool.Moment)) error {
	done := make(chan struct{})
	select {
	case s.events <- s.event(func(at pool.Moment) { f(at); close(done) }):
	case <-s.ended:
		return NotOwnerError{Pool: s.config.Pool}
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-s.ended:
		return NotOwnerError{Pool: s.config.Pool}
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// post queues a function for the control thread without waiting for its end.
func (s *Shard) post(ctx context.Context, f func(at pool.Moment)) {
	select {
	case s.events <- s.event(f):
	case <-s.ended:
	case <-ctx.Done():
	}
}

// Refresh makes the shard read the current View.
func (s *Shard) Refresh() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

// applyPendingView reads the View if a Refresh is still to be handled.
func (s *Shard) applyPendingView(at pool.Moment) {
	select {
	case <-s.refresh:
		s.applyView(at)
	default:
	}
}

// JobMemory returns the estimated memory of the pool's jobs, in bytes.
func (s *Shard) JobMemory() int64 { return s.memory.Load() }

// updateMemory sets the limit for the pool's jobs by what the instance's other pools take, and publishes what this one takes.
func (s *Shard) updateMemory() {
	var others int64
	if s.config.OtherJobMemory != nil {
		others = s.config.OtherJobMemory()
	}
	s.pool.SetMemoryLimit(s.config.Settings.jobMemory(others))
	s.memory.Store(s.pool.MemoryBytes())
}

func (s *Shard) applyView(at pool.Moment) {
	v := s.config.View()
	s.pool.SetWorkers(at, v.Workers)
	s.pool.SetEvacuated(v.Evacuated)
	s.pool.SetLimits(v.Limits, v.PoolCount)
	s.pool.SetWeights(v.Weights)
	s.placeRequested = true
}
