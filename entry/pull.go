package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/peer"
)

// pullDelay is how long another member may be ahead before this one pulls its records. The platform usually delivers
// them sooner.
const pullDelay = 200 * time.Millisecond

// pullIfBehind requests a pull from a member that has been ahead of this one for longer than pullDelay.
func (c *Control) pullIfBehind(now time.Time, heartbeat peer.Heartbeat) {
	if heartbeat.Offset <= c.tables.Offset {
		return
	}
	if c.behindOffset != c.tables.Offset || c.behindSince.IsZero() {
		c.behindOffset = c.tables.Offset
		c.behindSince = now
		return
	}
	if now.Sub(c.behindSince) < pullDelay {
		return
	}
	select {
	case c.background.ahead <- heartbeat.Address:
	default:
	}
}

// maxPushed is the maximum number of records in one heartbeat.
const maxPushed = 64

// markOffset periodically records the offset of the tables, so that missedRecords can tell which records are not new
// any more.
func (c *Control) markOffset(now time.Time) {
	if now.Sub(c.offsetMarkedAt) > c.contact()/2 {
		c.offsetMarkedAt = now
		c.previousOffset, c.markedOffset = c.markedOffset, c.tables.Offset
	}
}

// missedRecords returns older records that a member has not read according to its heartbeats. The member may receive
// heartbeats of this instance without being able to pull from it.
func (c *Control) missedRecords(member id.Member) (int64, [][]byte) {
	r, ok := c.remotes[member]
	if !ok || r.heartbeat.Offset >= c.previousOffset {
		return 0, nil
	}
	data, complete := c.recent.since(r.heartbeat.Offset)
	if !complete {
		return 0, nil
	}
	return r.heartbeat.Offset, append([][]byte(nil), data[:min(len(data), maxPushed)]...)
}

// applyHeartbeatRecords applies the records in a heartbeat.
func (c *Control) applyHeartbeatRecords(heartbeat peer.Heartbeat) {
	if c.stage == starting || len(heartbeat.Records) == 0 {
		return
	}
	c.applyFrom(heartbeat.From, heartbeat.Records)
	c.afterBatch()
}

// applyFrom applies consecutive records from an offset on, skipping those that are not next for the tables.
func (c *Control) applyFrom(from int64, records [][]byte) {
	for i, data := range records {
		if offset := from + int64(i); offset == c.tables.Offset && !c.apply(offset, data) {
			return
		}
	}
}

// pullLoop pulls records from members that are ahead, until the context ends.
func (c *Control) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-c.background.ahead:
			if _, err := c.pullFrom(ctx, from); err != nil {
				sleep(ctx, c.timing.Tick)
			}
		}
	}
}

// pullFrom pulls the log records that another member has read, and reports whether the tables then hold a
// configuration.
func (c *Control) pullFrom(ctx context.Context, from netip.AddrPort) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	var offset int64
	if err := c.do(ctx, func() { offset = c.tables.Offset }); err != nil {
		return false, errors.Trace(err)
	}
	sentAt := time.Now()
	records, err := c.config.Peers.Pull(ctx, from, peer.PullRequest{From: offset})
	if err != nil {
		return false, errors.Annotate(err, "pulling records")
	}
	if len(records.Snapshot) > 0 {
		if err := c.installSnapshot(ctx, records.Snapshot); err != nil {
			return false, err
		}
	}
	found := false
	err = c.do(ctx, func() {
		c.applyPulled(records, sentAt)
		found = c.tables.Version > 0
	})
	return found, errors.Trace(err)
}

// applyPulled applies pulled records on the control thread. The tables are then as current as the sender's.
func (c *Control) applyPulled(records peer.PullReply, sentAt time.Time) {
	c.applyFrom(records.From, records.Data)
	if c.tables.Version > 0 {
		c.lease.freshAt = latest(c.lease.freshAt, sentAt.Add(-records.Age))
	}
	c.afterBatch()
}

// installSnapshot replaces the tables with a snapshot unless they are already as far or further.
func (c *Control) installSnapshot(ctx context.Context, snapshot []byte) error {
	tables, err := fleet.Load(snapshot)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, func() {
		if tables.Offset > c.tables.Offset {
			c.recent = recentRecords{from: tables.Offset}
			c.setTables(tables)
			c.lease.joined = c.lease.joined || tables.IsLive(c.self)
			c.checkLapse()
			c.closeAccounts()
		}
	})
}
