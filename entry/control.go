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

// inboxLength is the number of functions that can wait for the control thread.
const inboxLength = 4096

// Control is one entry instance. Its tables belong to the goroutine that runs loop (the control thread). Other
// goroutines access them through do and post.
type Control struct {
	inFlight *inFlight // requests of callers

	config     Config
	timing     Timing
	log        *zap.Logger
	self       id.Member                 // member name; only for the control thread, changes when the instance rejoins
	memberName atomic.Pointer[id.Member] // copy of self for other goroutines

	inbox       chan func()
	stopped     chan struct{} // closed when loop has ended
	view        atomic.Pointer[view]
	ready       atomic.Bool
	contactTime atomic.Int64 // nanoseconds without a heartbeat after which a member is out of contact

	tables        *fleet.Tables
	recent        recentRecords
	needsRefresh  bool // records have changed the tables since the last refresh
	stage         stage
	ticks         int
	tablesChanged bool      // the tables were refreshed since the last slow tick
	servingSince  time.Time // when the tables first held a configuration
	leaving       bool      // Stop was called; not ready for new callers
	leaveDeadline time.Time // when to end although the log has not confirmed the leave

	lease     lease
	holder    *quota.Holder
	attempts  *attempt.Table
	keyMemory keyMemory

	pools          map[id.Pool]*pool
	workers        map[id.Instance]*worker
	missingSince   map[id.Instance]time.Time // when an instance was first missing from the list
	tickets        map[uint64]*ticket
	nextID         uint64
	missingSlots   map[id.Team]int // limit slots that waiting requests lack
	lastAllocation time.Time       // time of the last allocation
	demandChanged  bool            // demand has changed since the last allocation

	tasks           *task.Table
	heldTasks       map[string]*heldTask // by task
	openTasks       int                  // tasks that are being submitted or run here, until their records are written
	submittingBytes int64                // memory of the tasks that are being submitted
	adoptedMembers  id.Set[id.Member]
	journal         *journal

	remotes             map[id.Member]*remote
	sentDemands         []queue.Demand // this instance's demands as of the last heartbeat sent
	links               links
	pendingRestrictions map[string]*restriction // restrictions that the log has not confirmed, by record ID
	loggedRestrictions  map[string]*restriction // logged restrictions that some members may not have read, by record ID
	proposedAt          map[string]time.Time    // when last proposed, by subject or by record ID of a restriction
	proposalSubjects    map[string]string       // subjects of proposals, by record ID
	behindSince         time.Time               // since when another member has been ahead of behindOffset
	behindOffset        int64
	offsetMarkedAt      time.Time // when markedOffset was recorded
	markedOffset        int64     // offset of the tables at offsetMarkedAt
	previousOffset      int64     // markedOffset before that
	waiters             map[string][]chan fleet.Outcome
	background          background

	tasksExpired  time.Time // when expired tasks were last removed
	gaugesUpdated time.Time // when the gauges were last updated
}

// stage is the phase of an entry instance between start and stop.
type stage int

const (
	starting stage = iota
	serving
	stopping
)

// New returns an entry instance. Run starts it.
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
		config:              config,
		timing:              config.Timing.WithDefaults(),
		log:                 config.Logger.With(zap.String("entry", string(config.Entry))),
		inbox:               make(chan func(), inboxLength),
		stopped:             make(chan struct{}),
		attempts:            attempt.NewTable(maxKeys(config.Memory)),
		inFlight:            newInFlight(config.Bodies),
		pools:               map[id.Pool]*pool{},
		tickets:             map[uint64]*ticket{},
		workers:             map[id.Instance]*worker{},
		missingSince:        map[id.Instance]time.Time{},
		remotes:             map[id.Member]*remote{},
		pendingRestrictions: map[string]*restriction{},
		loggedRestrictions:  map[string]*restriction{},
		proposedAt:          map[string]time.Time{},
		proposalSubjects:    map[string]string{},
		waiters:             map[string][]chan fleet.Outcome{},
		background:          newBackground(),
		missingSlots:        map[id.Team]int{},
	}
	c.contactTime.Store(int64(c.timing.ContactTimeout))
	c.links = newLinks(c)
	c.journal = newJournal(c)
	c.startIncarnation()
	c.setTables(fleet.NewTables())
	return c
}

// startIncarnation gives the instance a new member name and clears the state that belongs to a member.
func (c *Control) startIncarnation() {
	c.self = id.Member(string(c.config.Entry) + "@" + uuid.NewString()[:8])
	name := c.self
	c.memberName.Store(&name)
	c.holder = quota.NewHolder(c.self)
	c.lease = lease{sentRenewals: map[int]time.Time{}, renewalsSeen: map[id.Member]renewalSeen{}, freshAt: c.lease.freshAt, directReadAt: c.lease.directReadAt}
	c.sentDemands = nil
	c.tasks = task.NewTable()
	c.heldTasks = map[string]*heldTask{}
	c.adoptedMembers = id.Set[id.Member]{}
}

// Member returns the member name of the current incarnation of the entry instance.
func (c *Control) Member() id.Member { return *c.memberName.Load() }

// Ready reports whether this instance accepts callers.
func (c *Control) Ready() bool { return c.ready.Load() }

// Run serves until the context ends or Stop has finished.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { defer cancel(); return c.loop(ctx) })
	tail := &tail{control: c}
	group.Go(func() error { return tail.loop(ctx) })
	for range appendWorkers {
		group.Go(func() error { return c.appendLoop(ctx) })
	}
	group.Go(func() error { return c.finishLoop(ctx) })
	group.Go(func() error { return c.pullLoop(ctx) })
	group.Go(func() error { return c.journal.loop(ctx) })
	group.Go(func() error { return c.backgroundLoop(ctx) })
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
		case fn := <-c.inbox:
			fn()
		case <-ticker.C:
			if pause := c.config.DisabledChecks.Pause; pause != nil {
				pause()
			}
			c.tick(time.Now())
		}
		if c.stage == stopping && c.lease.left {
			return errStopped
		}
	}
}

// slowTickInterval is the number of ticks between slow ticks.
const slowTickInterval = 4

// tick runs the work that requests wait for at every tick. The rest runs in tickSlow, after a change of the tables or
// every slowTickInterval ticks.
func (c *Control) tick(now time.Time) {
	c.lease.freshAt = latest(c.lease.freshAt, c.heardAllUntil())
	c.expireWaiting(now)
	c.allocate(now)
	c.dispatchAll(now)
	c.ticks++
	if c.tablesChanged || c.ticks%slowTickInterval == 0 {
		c.tablesChanged = false
		c.tickSlow(now)
	}
	c.sendHeartbeats(now)
	c.ready.Store(c.stage == serving && !c.leaving && c.checkStart(now) == nil && !c.isOut(c.config.DataCentre))
}

// tickSlow runs the periodic work that requests do not wait for.
func (c *Control) tickSlow(now time.Time) {
	c.contactTime.Store(int64(max(c.timing.ContactTimeout, contactHeartbeats*c.timing.HeartbeatInterval(len(c.tables.Members), false))))
	c.updateLease(now)
	c.resendRestrictions(now)
	c.reportTransfers(now)
	c.updateDrains(now)
	c.removeUnknownRemotes(now)
	c.attempts.Expire(now)
	c.expireTasks(now)
	c.removeOldProposals(now)
	c.markOffset(now)
	c.config.Metrics.observe(c, now)
}

// do runs a function on the control thread and waits for it. It returns errStopped if the control thread has ended.
func (c *Control) do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	wrapped := func() {
		defer close(done)
		fn()
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

// post runs a function on the control thread without waiting for it.
func (c *Control) post(fn func()) {
	select {
	case c.inbox <- fn:
	case <-c.stopped:
	}
}
