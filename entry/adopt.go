package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/task"
)

// errHandedOver ends a task here that another member will run.
var errHandedOver = errors.New("the task is handed over")

// adopting reports whether tasks of ended members have fallen to this one and are not taken over yet.
func (c *Control) adopting() bool {
	for _, ended := range c.tables.Predecessors(c.self) {
		if !c.adopted.Has(ended) {
			return true
		}
	}
	return false
}

// inherit takes over the tasks of members that have ended, from their streams of the log.
func (c *Control) inherit(ctx context.Context) {
	var next id.Member
	err := c.do(ctx, func() {
		if !c.lease.joined || c.lease.lapsed || c.stage != serving {
			return
		}
		for _, ended := range c.tables.Predecessors(c.self) {
			if !c.adopted.Has(ended) {
				next = ended
				return
			}
		}
	})
	if err != nil || next == "" {
		return
	}
	table, err := c.readTasks(ctx, next)
	if err != nil {
		c.log.Debug("reading the tasks of an ended member failed", zap.String("ended", string(next)), zap.Error(err))
		return
	}
	if err := c.rewrite(ctx, table); err != nil {
		c.log.Debug("writing inherited tasks failed", zap.String("ended", string(next)), zap.Error(err))
		return
	}
	c.post(func() { c.takeOver(next, table) })
}

// readTasks reads a member's stream of tasks to its end.
func (c *Control) readTasks(ctx context.Context, member id.Member) (*task.Table, error) {
	table := task.NewTable()
	var offset int64
	for {
		call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		batch, err := c.config.Log.Read(call, taskStream(member), offset, 0)
		cancel()
		if err != nil {
			return nil, errors.Annotatef(err, "reading tasks of %s", member)
		}
		if offset < batch.First {
			offset = batch.First
			continue
		}
		if len(batch.Records) == 0 {
			table.ResolveRunning(time.Now())
			table.Expire(time.Now())
			return table, nil
		}
		for _, stored := range batch.Records {
			var records []task.Record
			if err := json.Unmarshal(stored.Data, &records); err != nil {
				return nil, errors.Annotate(err, "decoding tasks")
			}
			for _, r := range records {
				table.Apply(r)
			}
			offset = stored.Offset + 1
		}
	}
}

// rewrite writes inherited tasks to this member's own stream, so that its successor finds them.
func (c *Control) rewrite(ctx context.Context, table *task.Table) error {
	for _, t := range table.All() {
		call, cancel := context.WithTimeout(ctx, submitPatience)
		err := c.journal.write(call, task.Record{Task: t})
		cancel()
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (c *Control) takeOver(ended id.Member, table *task.Table) {
	c.adopted.Add(ended)
	for _, t := range table.All() {
		c.tasks.Apply(task.Record{Task: t})
		c.launch(t)
	}
	if table.Len() > 0 {
		c.log.Info("took over tasks", zap.String("ended", string(ended)), zap.Int("tasks", table.Len()))
	}
}

// handOver ends the tasks here that wait, so that an successor runs them.
func (c *Control) handOver() {
	for name := range c.held {
		if t, ok := c.tasks.Get(name); !ok || t.State != task.Waiting {
			continue
		}
		for _, waiting := range c.tickets {
			if waiting.request == name && waiting.worker == nil {
				c.pool(waiting.pool).line.Remove(waiting.item)
				delete(c.tickets, waiting.item.ID)
				waiting.verdict <- verdict{err: errHandedOver}
			}
		}
	}
}
