package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/attempt"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/quota"
	"marigoldshed.example/marigoldshed/task"
)

// inboxLength bounds the jobs that wait for the control thread.
const inboxLength = 4096

// Control is one entry instance. Its tables belong to the thread that runs loop; everything else
// reaches them by do.
type Control struct {
	config Config
	timing Timing
	log    *zap.Logger
	self   id.Member                 // for the control thread; it changes when the instance joins anew
	name   atomic.Pointer[id.Member] // the same, for all others

	inbox       chan func()
	stopped     chan struct{} // closed when loop has ended
	view        atomic.Pointer[view]
	ready       atomic.Bool
	contactTime atomic.Int64 // nanoseconds after which a member that is not heard is out of contact

	tables  *fleet.Tables
	recent  recentRecords
	stale   bool // records have changed the tables since the last refresh
	stage   stage
	ticks   int
	changed bool      // records have changed the tables since the last look at what changes slowly
	began   time.Time // when the tables first held a configuration
	leaving bool      // callers are being sent elsewhere
	leaveBy time.Time // when to end without the log's word

	lease    lease
	holder   *quota.Holder
	attempts *attempt.Table
	memory   memory

	pools          map[id.Pool]*pool
	workers        map[id.Instance]*worker
	missing        map[id.Instance]time.Time // since when the list has lacked an instance
	tickets        map[uint64]*ticket
	nextID         uint64
	wanting        map[id.Team]int // slots of limits that waiting work lacks
	lastAllocation time.Time       // newest allocation
	dirty          bool            // demand has changed since

	tasks   *task.Table
	held    map[string]*held // by task
	adopted id.Set[id.Member]
	journal *journal

	remotes     map[id.Member]*remote
	sentDemands []queue.Demand // this instance's demand as it told the others last
	links       links
	pending     map[string]*restriction // restrictions on their way to the log, by record id
	passing     map[string]*restriction // restrictions that the log has and some member may not have read
	asked       map[string]time.Time    // when a proposal was last made, by subject
	proposed    map[string]string       // subjects of proposals, by record id
	behind      time.Time               // since when another member is ahead of behindAt
	behindAt    int64
	markedAt    time.Time // when marked was noted
	marked      int64     // offset at that time
	longAgo     int64     // offset the time before
	waiters     map[string][]chan fleet.Outcome
	upkeep      upkeep

	expired  time.Time // newest look for tasks to forget
	observed time.Time // newest update of the gauges
}

// stage is where an entry instance stands between start and stop.
type stage int

const (
	starting stage = iota
	serving
	stopping
)

// New returns an entry instance that Run starts.
func New(config Config) *Control {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Metrics == nil {
		config.Metrics = NewMetrics()
	}
	if config.Order == nil {
		config.Order = queue.DelayRatio{Urgent: time.Second, Overnight: 20 * time.Second}
	}
	c := &Control{
		config:   config,
		timing:   config.Timing.WithDefaults(),
		log:      config.Logger.With(zap.String("entry", string(config.Entry))),
		inbox:    make(chan func(), inboxLength),
		stopped:  make(chan struct{}),
		attempts: attempt.NewTable(),
		pools:    map[id.Pool]*pool{},
		tickets:  map[uint64]*ticket{},
		workers:  map[id.Instance]*worker{},
		missing:  map[id.Instance]time.Time{},
		remotes:  map[id.Member]*remote{},
		pending:  map[string]*restriction{},
		passing:  map[string]*restriction{},
		asked:    map[string]time.Time{},
		proposed: map[string]string{},
		waiters:  map[string][]chan fleet.Outcome{},
		upkeep:   newUpkeep(),
		wanting:  map[id.Team]int{},
	}
	c.contactTime.Store(int64(c.timing.Contact))
	c.links = newLinks(c)
	c.journal = newJournal(c)
	c.begin()
	c.setTables(fleet.NewTables())
	return c
}

// begin gives the instance a new name and nothing that it owns.
func (c *Control) begin() {
	c.self = id.Member(string(c.config.Entry) + "@" + uuid.NewString()[:8])
	name := c.self
	c.name.Store(&name)
	c.holder = quota.NewHolder(c.self)
	c.lease = lease{sent: map[int]time.Time{}, seqs: map[id.Member]seen{}, fresh: c.lease.fresh, direct: c.lease.direct}
	c.sentDemands = nil
	c.tasks = task.NewTable()
	c.held = map[string]*held{}
	c.adopted = id.Set[id.Member]{}
}

// Member returns the name of this life of the entry instance.
func (c *Control) Member() id.Member { return *c.name.Load() }

// Ready reports whether callers may be sent here.
func (c *Control) Ready() bool { return c.ready.Load() }

// Run serves until the context ends or Stop has finished.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { defer cancel(); return c.loop(ctx) })
	tail := &tail{control: c}
	group.Go(func() error { return tail.loop(ctx) })
	for range appenders {
		group.Go(func() error { return c.appendLoop(ctx) })
	}
	group.Go(func() error { return c.finishLoop(ctx) })
	group.Go(func() error { return c.pullLoop(ctx) })
	group.Go(func() error { return c.journal.loop(ctx) })
	group.Go(func() error { return c.upkeepLoop(ctx) })
	c.links.start(ctx, group)
	err := group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return errors.Annotate(err, "running the entry instance")
}

// errStopped ends Run after a graceful stop.
var errStopped = errors.New("stopped")

// loop runs the control thread.
func (c *Control) loop(ctx context.Context) error {
	defer close(c.stopped)
	ticker := time.NewTicker(c.timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-c.inbox:
			job()
		case <-ticker.C:
			if pause := c.config.Planted.Pause; pause != nil {
				pause()
			}
			c.tick(time.Now())
		}
		if c.stage == stopping && c.lease.left {
			return errStopped
		}
	}
}

// tendEvery is how many ticks pass between looks at what changes slowly.
const tendEvery = 4

// tick runs the systems over the tables: those that requests wait for at every tick, the others when
// records have changed something or a few ticks have passed.
func (c *Control) tick(now time.Time) {
	c.lease.fresh = later(c.lease.fresh, c.heardAll())
	c.expireWaiting(now)
	c.allocate(now)
	c.dispatchAll(now)
	c.ticks++
	if c.changed || c.ticks%tendEvery == 0 {
		c.changed = false
		c.tend(now)
	}
	c.sendHeartbeats(now)
	c.ready.Store(c.stage == serving && !c.leaving && c.mayStart(now) == nil && !c.out(c.config.DataCentre))
}

func (c *Control) tend(now time.Time) {
	c.contactTime.Store(int64(max(c.timing.Contact, contactHeartbeats*c.timing.HeartbeatInterval(len(c.tables.Members), false))))
	c.tendLease(now)
	c.tendRestrictions(now)
	c.tendExchange(now)
	c.tendDrains(now)
	c.tendRemotes(now)
	c.attempts.Expire(now)
	c.expireTasks(now)
	c.forgetProposals(now)
	c.lagging(now)
	c.config.Metrics.observe(c, now)
}

// do runs a job on the control thread and waits for it; it fails when the instance has ended.
func (c *Control) do(ctx context.Context, job func()) error {
	done := make(chan struct{})
	wrapped := func() {
		defer close(done)
		job()
	}
	select {
	case c.inbox <- wrapped:
	case <-c.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-c.stopped:
		return errStopped
	}
}

// post runs a job on the control thread without waiting for it.
func (c *Control) post(job func()) {
	select {
	case c.inbox <- job:
	case <-c.stopped:
	}
}
