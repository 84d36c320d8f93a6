package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/peer"
)

// TakeBeat takes in what another member tells.
func (c *Control) TakeBeat(ctx context.Context, beat peer.Beat) error {
	return errors.Trace(c.do(ctx, func() { c.takeBeat(time.Now(), beat) }))
}

// TakePull answers with records of the log, or with the tables when the records are too old.
func (c *Control) TakePull(ctx context.Context, pull peer.Pull) (peer.Records, error) {
	var answer peer.Records
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
		return peer.Records{}, errors.Trace(err)
	}
	return answer, errors.Trace(failed)
}

// TakeRelay appends a record for a member that cannot reach the log.
func (c *Control) TakeRelay(ctx context.Context, relay peer.Relay) error {
	return c.appendDirect(ctx, relay.Data)
}

// TakeFinish records what an attempt has come to.
func (c *Control) TakeFinish(ctx context.Context, m peer.Finish) error {
	return errors.Trace(c.do(ctx, func() { c.attempts.Finish(m.Attempt) }))
}

// TakeRecall answers with every attempt that this instance remembers.
func (c *Control) TakeRecall(ctx context.Context) (peer.Recalled, error) {
	var answer peer.Recalled
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
