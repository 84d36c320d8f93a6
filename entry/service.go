package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/peer"
)

// HandleHeartbeat takes in what another member tells.
func (c *Control) HandleHeartbeat(ctx context.Context, heartbeat peer.Heartbeat) error {
	return errors.Trace(c.do(ctx, func() { c.handleHeartbeat(time.Now(), heartbeat) }))
}

// HandlePull answers with records of the log, or with the tables when the records are too old.
func (c *Control) HandlePull(ctx context.Context, pull peer.PullRequest) (peer.PullReply, error) {
	var answer peer.PullReply
	var failed error
	err := c.do(ctx, func() {
		answer.From = pull.From
		answer.Age = time.Since(c.lease.fresh)
		data, kept := c.recent.since(pull.From)
		if kept {
			answer.Data = append([][]byte(nil), data...)
			return
		}
		if pull.From < c.tables.Offset {
			answer.From = c.tables.Offset
			answer.Snapshot, failed = c.tables.Snapshot()
		}
	})
	if err != nil {
		return peer.PullReply{}, errors.Trace(err)
	}
	return answer, errors.Trace(failed)
}

// HandleRelay appends a record for a member that cannot reach the log.
func (c *Control) HandleRelay(ctx context.Context, relay peer.Relay) error {
	return c.appendDirect(ctx, relay.Data)
}

// HandleFinish records what an attempt has come to.
func (c *Control) HandleFinish(ctx context.Context, m peer.Finish) error {
	return errors.Trace(c.do(ctx, func() { c.attempts.Finish(m.Attempt) }))
}

// HandleRecall answers with every attempt that this instance remembers.
func (c *Control) HandleRecall(ctx context.Context) (peer.RecallReply, error) {
	var answer peer.RecallReply
	complete := false
	err := c.do(ctx, func() {
		complete = c.memory.complete
		answer.Attempts = c.attempts.All()
	})
	if err == nil && !complete {
		err = errors.New("this instance has not learnt the used keys yet")
	}
	return answer, errors.Trace(err)
}
