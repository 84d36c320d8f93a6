package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/peer"
)

// HandleHeartbeat handles a heartbeat from another member.
func (c *Control) HandleHeartbeat(ctx context.Context, heartbeat peer.Heartbeat) error {
	return errors.Trace(c.do(ctx, func() { c.handleHeartbeat(time.Now(), heartbeat) }))
}

// HandlePull returns records of the log, or a snapshot of the tables if the requested records are no longer kept.
func (c *Control) HandlePull(ctx context.Context, pull peer.PullRequest) (peer.PullReply, error) {
	var reply peer.PullReply
	var snapshotErr error
	err := c.do(ctx, func() {
		reply.From = pull.From
		reply.Age = time.Since(c.lease.freshAt)
		data, ok := c.recent.since(pull.From)
		if ok {
			reply.Data = append([][]byte(nil), data...)
			return
		}
		if pull.From < c.tables.Offset {
			reply.From = c.tables.Offset
			reply.Snapshot, snapshotErr = c.tables.Snapshot()
		}
	})
	if err != nil {
		return peer.PullReply{}, errors.Trace(err)
	}
	return reply, errors.Trace(snapshotErr)
}

// HandleRelay appends a record to the log for a member that cannot reach it.
func (c *Control) HandleRelay(ctx context.Context, relay peer.Relay) error {
	return c.appendDirect(ctx, relay.Data)
}

// HandleFinish records the result of an attempt.
func (c *Control) HandleFinish(ctx context.Context, request peer.Finish) error {
	return errors.Trace(c.do(ctx, func() { c.attempts.Finish(request.Attempt) }))
}

// HandleRecall returns all attempts that this instance remembers. It fails before this instance has learnt the used
// keys itself.
func (c *Control) HandleRecall(ctx context.Context) (peer.RecallReply, error) {
	var reply peer.RecallReply
	complete := false
	err := c.do(ctx, func() {
		complete = c.keyMemory.complete
		reply.Attempts = c.attempts.All()
	})
	if err == nil && !complete {
		err = errors.New("this instance has not learnt the used keys yet")
	}
	return reply, errors.Trace(err)
}
