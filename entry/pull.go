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

// pullAfter is how long another member may be ahead before its records are asked for: the platform
// usually brings them sooner.
const pullAfter = 200 * time.Millisecond

// follow asks a member for its records when it has been ahead of this one for a while.
func (c *Control) follow(now time.Time, heartbeat peer.Heartbeat) {
	if heartbeat.Offset <= c.tables.Offset {
		return
	}
	if c.behindAt != c.tables.Offset || c.behind.IsZero() {
		c.behindAt = c.tables.Offset
		c.behind = now
		return
	}
	if now.Sub(c.behind) < pullAfter {
		return
	}
	select {
	case c.upkeep.ahead <- heartbeat.Address:
	default:
	}
}

// maxPushed bounds the records that one heartbeat carries.
const maxPushed = 64

// lagging notes, once in a while, how far the tables were some time ago.
func (c *Control) lagging(now time.Time) {
	if now.Sub(c.markedAt) > c.contact()/2 {
		c.markedAt = now
		c.longAgo, c.marked = c.marked, c.tables.Offset
	}
}

// missed returns the records that a member has not shown to have though they are not new any more. It
// may hear this instance without being able to ask.
func (c *Control) missed(member id.Member) (int64, [][]byte) {
	r, ok := c.remotes[member]
	if !ok || r.heartbeat.Offset >= c.longAgo {
		return 0, nil
	}
	data, kept := c.recent.since(r.heartbeat.Offset)
	if !kept {
		return 0, nil
	}
	return r.heartbeat.Offset, append([][]byte(nil), data[:min(len(data), maxPushed)]...)
}

// takeRecords applies the records that a heartbeat carries.
func (c *Control) takeRecords(heartbeat peer.Heartbeat) {
	if c.stage == starting || len(heartbeat.Records) == 0 {
		return
	}
	c.applyFrom(heartbeat.From, heartbeat.Records)
	c.caughtUp()
}

// applyFrom applies records that follow each other, as far as they follow the tables.
func (c *Control) applyFrom(from int64, records [][]byte) {
	for i, data := range records {
		if offset := from + int64(i); offset == c.tables.Offset && !c.apply(offset, data) {
			return
		}
	}
}

// pullLoop takes records from members that are ahead, until the context ends.
func (c *Control) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-c.upkeep.ahead:
			if _, err := c.pullFrom(ctx, from); err != nil {
				pause(ctx, c.timing.Tick)
			}
		}
	}
}

// pullFrom takes what another member has read of the log and reports whether that left this one with
// a configuration.
func (c *Control) pullFrom(ctx context.Context, from netip.AddrPort) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	var offset int64
	if err := c.do(ctx, func() { offset = c.tables.Offset }); err != nil {
		return false, errors.Trace(err)
	}
	asked := time.Now()
	records, err := c.config.Peers.Pull(ctx, from, peer.PullRequest{From: offset})
	if err != nil {
		return false, errors.Annotate(err, "pulling records")
	}
	if len(records.Snapshot) > 0 {
		if err := c.adopt(ctx, records.Snapshot); err != nil {
			return false, err
		}
	}
	found := false
	err = c.do(ctx, func() {
		c.takePulled(records, asked)
		found = c.tables.Version > 0
	})
	return found, errors.Trace(err)
}

// takePulled applies records on the control thread; they are as fresh as the sender's own read.
func (c *Control) takePulled(records peer.PullReply, asked time.Time) {
	c.applyFrom(records.From, records.Data)
	if c.tables.Version > 0 {
		c.lease.fresh = later(c.lease.fresh, asked.Add(-records.Age))
	}
	c.caughtUp()
}

// adopt takes over a snapshot unless the tables are already further.
func (c *Control) adopt(ctx context.Context, snapshot []byte) error {
	tables, err := fleet.Load(snapshot)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, func() {
		if tables.Offset > c.tables.Offset {
			c.recent = recentRecords{from: tables.Offset}
			c.setTables(tables)
			c.lease.joined = c.lease.joined || tables.IsLive(c.self)
			c.followLapse()
			c.closeAccounts()
		}
	})
}
