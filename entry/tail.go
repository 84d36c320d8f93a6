package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
)

// maxRecent is the maximum number of records that a member keeps for members that cannot reach the log.
const maxRecent = 2048

// tail follows the control stream, from the platform or, if that fails, from other members.
type tail struct {
	control  *Control
	offset   int64
	hasStart bool // the tables hold a snapshot, or there is none and the stream is read from its start
	nextPull int  // number of the member to pull from next
}

// loop reads records until the context ends.
func (t *tail) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		err := t.read(ctx)
		if err == nil {
			continue
		}
		t.control.log.Debug("reading the log failed; pulling from other members", zap.Error(err))
		if err := t.pull(ctx); err != nil {
			sleep(ctx, t.control.timing.Tick*4)
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// read reads and applies the next records of the platform's log.
func (t *tail) read(ctx context.Context) error {
	if !t.hasStart {
		if err := t.load(ctx); err != nil {
			return err
		}
	}
	c := t.control
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogWait+c.timing.LogTimeout)
	defer cancel()
	sentAt := time.Now()
	batch, err := c.config.Log.Read(ctx, store.ControlStream, t.offset, c.timing.LogWait)
	if err != nil {
		return errors.Annotate(err, "reading the control stream")
	}
	if t.offset < batch.First {
		t.hasStart = false
		return errors.Errorf("the log keeps nothing before offset %d", batch.First)
	}
	return c.do(ctx, func() { t.applyBatch(batch, sentAt) })
}

// applyBatch applies records on the control thread. If the batch includes the newest record, the tables are current as
// of sentAt: the time of the request is the safe bound.
func (t *tail) applyBatch(batch store.Batch, sentAt time.Time) {
	c := t.control
	for _, stored := range batch.Records {
		if !c.apply(stored.Offset, stored.Data) {
			break
		}
	}
	t.offset = c.tables.Offset
	if t.offset >= batch.Next {
		c.lease.freshAt = latest(c.lease.freshAt, sentAt)
		c.lease.directReadAt = time.Now()
	}
	c.afterBatch()
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// load installs the newest snapshot from the log.
func (t *tail) load(ctx context.Context) error {
	c := t.control
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	batch, err := c.config.Log.Read(ctx, store.SnapshotStream, -1, 0)
	if err != nil {
		return errors.Annotate(err, "reading the snapshots")
	}
	if len(batch.Records) == 0 {
		t.hasStart = true
		return nil
	}
	if err := t.control.installSnapshot(ctx, batch.Records[len(batch.Records)-1].Data); err != nil {
		return err
	}
	t.hasStart = true
	return c.do(ctx, func() { t.offset = c.tables.Offset })
}

// pull pulls records from another member, each time the next one that answers, while the platform's log cannot be read.
// It pauses if that member was not ahead.
func (t *tail) pull(ctx context.Context) error {
	c := t.control
	addresses := c.links.addresses()
	for range addresses {
		to := addresses[t.nextPull%len(addresses)]
		t.nextPull++
		found, err := c.pullFrom(ctx, to)
		if err != nil || !found {
			continue
		}
		before := t.offset
		t.hasStart = true
		if err := c.do(ctx, func() { t.offset = c.tables.Offset }); err != nil || t.offset > before {
			return err
		}
		break
	}
	sleep(ctx, c.timing.Tick*4)
	return nil
}

// apply applies one record to the tables. It returns false if the record needs a newer version of the program.
func (c *Control) apply(offset int64, data []byte) bool {
	if offset < c.tables.Offset {
		return true
	}
	outcome, err := c.tables.Apply(offset, data)
	var format fleet.FormatError
	if errors.As(err, &format) {
		c.lease.needsUpgrade = true
		c.log.Error("the log holds a record that needs a newer version of the program", zap.Error(err))
		return false
	}
	c.recent.add(offset, data)
	c.afterRecord(data, outcome)
	return true
}

// afterRecord notifies waiters of a proposal and applies membership changes.
func (c *Control) afterRecord(data []byte, outcome fleet.Outcome) {
	envelope, err := fleet.Decode(data)
	if err != nil {
		return
	}
	if record, err := envelope.Record(); err == nil && outcome.Refused == "" {
		c.applyMembership(record)
	}
	if first, known := c.tables.Outcome(envelope.ID); known {
		outcome = first
	}
	for _, waiter := range c.waiters[envelope.ID] {
		waiter <- outcome
	}
	delete(c.waiters, envelope.ID)
	c.markLogged(envelope.ID)
	c.handleDecision(envelope.ID)
	c.needsRefresh = c.needsRefresh || envelope.Kind != "renew"
}

// afterBatch refreshes derived state after a batch of records, and starts service once there is a configuration.
func (c *Control) afterBatch() {
	if c.needsRefresh {
		c.needsRefresh = false
		c.refresh()
	}
	if c.stage == starting && c.tables.Version > 0 {
		c.stage = serving
		c.servingSince = time.Now()
		c.log.Info("serving", zap.String("member", string(c.self)), zap.Int64("offset", c.tables.Offset), zap.Int("version", c.tables.Version))
	}
}

// recentRecords holds the newest records for members that cannot reach the log.
type recentRecords struct {
	from int64
	data [][]byte
}

func (r *recentRecords) add(offset int64, data []byte) {
	if len(r.data) == 0 {
		r.from = offset
	}
	r.data = append(r.data, data)
	if len(r.data) > maxRecent {
		cut := len(r.data) - maxRecent/2
		r.data = append([][]byte(nil), r.data[cut:]...)
		r.from += int64(cut)
	}
}

// since returns the records from an offset on, and whether all of them are still kept.
func (r *recentRecords) since(offset int64) ([][]byte, bool) {
	if offset < r.from || offset > r.from+int64(len(r.data)) {
		return nil, false
	}
	return r.data[offset-r.from:], true
}
