package entry

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
)

// Bounds of the retry budget and of the queues to the loops.
const (
	retryRate     = 10 // retries a second of requests that may have run
	retryBurst    = 20
	recordsLength = 256
	finishLength  = 4096
)

// upkeep holds what the loops beside the control thread share with it.
type upkeep struct {
	records   chan fleet.Envelope
	finishes  chan finish
	ahead     chan netip.AddrPort // a member that has read further
	retries   *rate.Limiter
	rebooted  map[string]bool // reboots that the platform has taken, by token
	snapshots int64           // offset of the newest snapshot known
}

func newUpkeep() upkeep {
	return upkeep{
		records:  make(chan fleet.Envelope, recordsLength),
		finishes: make(chan finish, finishLength),
		ahead:    make(chan netip.AddrPort, 1),
		retries:  rate.NewLimiter(retryRate, retryBurst),
		rebooted: map[string]bool{},
	}
}

// duty names work that one member does for all. Two members that each think it theirs do no harm.
type duty string

// Duties of members.
const (
	listDuty     duty = "list"
	waveDuty     duty = "wave"
	spareDuty    duty = "spare"
	snapshotDuty duty = "snapshot"
)

// has reports whether a duty falls to this member among those that have joined and are in contact.
func (c *Control) has(d duty, now time.Time) bool {
	if !c.lease.joined || c.lease.lapsed || c.lease.left || !c.isFresh(now) {
		return false
	}
	names := []string{string(c.self)}
	for _, name := range c.tables.Live() {
		r, ok := c.remotes[name]
		if ok && now.Sub(r.heard) < c.contact() && r.heartbeat.Age < c.contact() {
			names = append(names, string(name))
		}
	}
	sort.Strings(names)
	return rendezvous.New(names, xxhash.Sum64String).Lookup(string(d)) == string(c.self)
}

// upkeepLoop does the work that waits for the platform and endpoints, until the context ends.
func (c *Control) upkeepLoop(ctx context.Context) error {
	listed := time.Time{}
	for ctx.Err() == nil {
		pause(ctx, c.timing.Tick*tendEvery)
		c.recall(ctx)
		c.inherit(ctx)
		if time.Since(listed) > c.timing.ListEvery && c.does(ctx, listDuty) {
			listed = time.Now()
			c.readList(ctx)
		}
		c.tendDown(ctx)
		if c.does(ctx, waveDuty) {
			c.reboot(ctx)
			c.restoreHeld(ctx)
		}
		if c.does(ctx, snapshotDuty) {
			c.snapshot(ctx)
		}
	}
	return ctx.Err()
}

// does asks the control thread whether a duty falls to this member.
func (c *Control) does(ctx context.Context, d duty) bool {
	mine := false
	err := c.do(ctx, func() { mine = c.has(d, time.Now()) })
	return err == nil && mine
}

// readList proposes what the platform's list says that the tables do not.
func (c *Control) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	list, err := c.config.Fleet.List(ctx)
	if err != nil {
		c.log.Debug("reading the platform's list failed", zap.Error(err))
		return
	}
	c.post(func() { c.compare(time.Now(), list) })
}

// maxEnroll bounds the instances of one record.
const maxEnroll = 100

func (c *Control) compare(now time.Time, list []store.ListedInstance) {
	listed := id.Set[id.Instance]{}
	var enroll fleet.Enroll
	for _, l := range list {
		listed.Add(l.Instance)
		if !c.tables.MatchesListing(l) && len(enroll.Listed) < maxEnroll {
			enroll.Listed = append(enroll.Listed, l)
		}
		if instance := c.tables.Instances[l.Instance]; l.Leaving && instance != nil && instance.State == fleet.Up {
			c.propose(now, "leaving "+string(l.Instance), fleet.Drain{Instance: l.Instance, Reason: fleet.ForLeave})
		}
	}
	if len(enroll.Listed) > 0 {
		c.propose(now, "enroll", enroll)
	}
	c.compareGone(now, listed)
}

// compareGone removes instances that have been missing from the list for a while, but only when they
// serve nothing: the list lags and may be wrong, and what answers is not gone. One that reboots may be
// missing for longer.
func (c *Control) compareGone(now time.Time, listed id.Set[id.Instance]) {
	var gone fleet.Gone
	for name, instance := range c.tables.Instances {
		if listed.Has(name) || instance.State == fleet.Up || instance.State == fleet.Draining {
			delete(c.missing, name)
			continue
		}
		if _, ok := c.missing[name]; !ok {
			c.missing[name] = now
		}
		patience := c.timing.GoneAfter
		if instance.State == fleet.Rebooting {
			patience *= rebootPatience
		}
		if now.Sub(c.missing[name]) > patience {
			gone.Instances = append(gone.Instances, name)
		}
	}
	if len(gone.Instances) > 0 {
		sort.Slice(gone.Instances, func(i, j int) bool { return gone.Instances[i] < gone.Instances[j] })
		c.propose(now, "gone", gone)
	}
}

// rebootPatience is how many times longer a rebooting instance may be missing from the list.
const rebootPatience = 10

// snapshot writes the tables to the log before the records they rest on expire.
func (c *Control) snapshot(ctx context.Context) {
	var data []byte
	err := c.do(ctx, func() {
		if c.tables.Offset-c.upkeep.snapshots < c.timing.Snapshot {
			return
		}
		var err error
		if data, err = c.tables.Snapshot(); err == nil {
			c.upkeep.snapshots = c.tables.Offset
		}
	})
	if err != nil || data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	if err := c.config.Log.Append(ctx, store.SnapshotStream, data); err != nil {
		c.log.Warn("a snapshot did not reach the log", zap.Error(errors.Trace(err)))
		c.post(func() { c.upkeep.snapshots = 0 })
	}
}
