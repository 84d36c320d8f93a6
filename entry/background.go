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

// Limits of the retry budget and of the queues to the background loops.
const (
	retryRate         = 10 // retries per second of requests that may have run
	retryBurst        = 20
	recordsLength     = 256
	attemptEndsLength = 4096
)

// background holds what the background loops share with the control thread.
type background struct {
	records        chan fleet.Envelope
	attemptEnds    chan attemptEnd
	ahead          chan netip.AddrPort // addresses of members that have read further in the log
	retries        *rate.Limiter
	rebooted       map[string]bool // reboots that the platform has accepted, by token
	snapshotOffset int64           // offset of the newest snapshot written here
}

func newBackground() background {
	return background{
		records:     make(chan fleet.Envelope, recordsLength),
		attemptEnds: make(chan attemptEnd, attemptEndsLength),
		ahead:       make(chan netip.AddrPort, 1),
		retries:     rate.NewLimiter(retryRate, retryBurst),
		rebooted:    map[string]bool{},
	}
}

// role names work that one member does for all. Two members may both hold a role for a while without ill effect.
type role string

// Roles that one member holds for all.
const (
	listRole     role = "list"
	waveRole     role = "wave"
	spareRole    role = "spare"
	snapshotRole role = "snapshot"
)

// hasRole reports whether this member holds a role. The role goes to one of the live members that are in contact and
// have recent tables.
func (c *Control) hasRole(d role, now time.Time) bool {
	if !c.lease.joined || c.lease.lapsed || c.lease.left || !c.isFresh(now) {
		return false
	}
	names := []string{string(c.self)}
	for _, name := range c.tables.Live() {
		r, ok := c.remotes[name]
		if ok && now.Sub(r.lastHeard) < c.contact() && r.heartbeat.Age < c.contact() {
			names = append(names, string(name))
		}
	}
	sort.Strings(names)
	return rendezvous.New(names, xxhash.Sum64String).Lookup(string(d)) == string(c.self)
}

// backgroundLoop runs the work that calls the platform, other members and endpoints, until the context ends.
func (c *Control) backgroundLoop(ctx context.Context) error {
	listed := time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, c.timing.Tick*slowTickInterval)
		c.recallKeys(ctx)
		c.adoptTasks(ctx)
		if time.Since(listed) > c.timing.ListInterval && c.checkRole(ctx, listRole) {
			listed = time.Now()
			c.readList(ctx)
		}
		c.probeDown(ctx)
		if c.checkRole(ctx, waveRole) {
			c.reboot(ctx)
			c.restoreHeld(ctx)
		}
		if c.checkRole(ctx, snapshotRole) {
			c.snapshot(ctx)
		}
	}
	return ctx.Err()
}

// checkRole asks the control thread whether this member holds a role.
func (c *Control) checkRole(ctx context.Context, d role) bool {
	hasRole := false
	err := c.do(ctx, func() { hasRole = c.hasRole(d, time.Now()) })
	return err == nil && hasRole
}

// readList reads the platform's instance list and proposes its differences from the tables.
func (c *Control) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	list, err := c.config.Fleet.List(ctx)
	if err != nil {
		c.log.Debug("reading the platform's list failed", zap.Error(err))
		return
	}
	c.post(func() { c.compareList(time.Now(), list) })
}

// maxEnroll is the maximum number of instances in one Enroll record.
const maxEnroll = 100

func (c *Control) compareList(now time.Time, list []store.ListedInstance) {
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
	c.proposeGone(now, listed)
}

// proposeGone proposes the removal of instances that have been missing from the list for a while and are not in
// service. Instances that are up or draining stay, because the list lags and may be wrong. A rebooting instance may be
// missing for longer.
func (c *Control) proposeGone(now time.Time, listed id.Set[id.Instance]) {
	var gone fleet.Gone
	for name, instance := range c.tables.Instances {
		if listed.Has(name) || instance.State == fleet.Up || instance.State == fleet.Draining {
			delete(c.missingSince, name)
			continue
		}
		if _, ok := c.missingSince[name]; !ok {
			c.missingSince[name] = now
		}
		timeout := c.timing.GoneTimeout
		if instance.State == fleet.Rebooting {
			timeout *= rebootGoneFactor
		}
		if now.Sub(c.missingSince[name]) > timeout {
			gone.Instances = append(gone.Instances, name)
		}
	}
	if len(gone.Instances) > 0 {
		sort.Slice(gone.Instances, func(i, j int) bool { return gone.Instances[i] < gone.Instances[j] })
		c.propose(now, "gone", gone)
	}
}

// rebootGoneFactor is how many times longer a rebooting instance may be missing from the list.
const rebootGoneFactor = 10

// snapshot writes the tables to the log before the records they are built from expire.
func (c *Control) snapshot(ctx context.Context) {
	var data []byte
	err := c.do(ctx, func() {
		if c.tables.Offset-c.background.snapshotOffset < c.timing.SnapshotInterval {
			return
		}
		var err error
		if data, err = c.tables.Snapshot(); err == nil {
			c.background.snapshotOffset = c.tables.Offset
		}
	})
	if err != nil || data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	if err := c.config.Log.Append(ctx, store.SnapshotStream, data); err != nil {
		c.log.Warn("writing a snapshot to the log failed", zap.Error(errors.Trace(err)))
		c.post(func() { c.background.snapshotOffset = 0 })
	}
}
