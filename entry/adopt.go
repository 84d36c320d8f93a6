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

// errHandedOver ends a task on this instance that another member will run.
var errHandedOver = errors.New("the task is handed over")

// adoptionPending reports whether this member is the successor of an ended member whose tasks it has not adopted yet.
func (c *Control) adoptionPending() bool {
	for _, ended := range c.tables.Predecessors(c.self) {
		if !c.adoptedMembers.Has(ended) {
			return true
		}
	}
	return false
}

// adoptTasks reads the tasks of one ended member from its log stream and takes them over.
func (c *Control) adoptTasks(ctx context.Context) {
	var predecessor id.Member
	err := c.do(ctx, func() {
		if !c.lease.joined || c.lease.lapsed || c.stage != serving {
			return
		}
		for _, ended := range c.tables.Predecessors(c.self) {
			if !c.adoptedMembers.Has(ended) {
				predecessor = ended
				return
			}
		}
	})
	if err != nil || predecessor == "" {
		return
	}
	table, err := c.readTasks(ctx, predecessor)
	if err != nil {
		c.log.Debug("reading the tasks of an ended member failed", zap.String("ended", string(predecessor)), zap.Error(err))
		return
	}
	if err := c.journalTasks(ctx, table); err != nil {
		c.log.Debug("writing adopted tasks failed", zap.String("ended", string(predecessor)), zap.Error(err))
		return
	}
	c.post(func() { c.installTasks(predecessor, table) })
}

// readTasks reads a member's task stream to its end.
func (c *Control) readTasks(ctx context.Context, member id.Member) (*task.Table, error) {
	table := task.NewTable()
	var offset int64
	for {
		callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		batch, err := c.config.Log.Read(callCtx, taskStream(member), offset, 0)
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

// journalTasks writes adopted tasks to this member's own stream, where its successor finds them.
func (c *Control) journalTasks(ctx context.Context, table *task.Table) error {
	for _, t := range table.All() {
		callCtx, cancel := context.WithTimeout(ctx, submitTimeout)
		err := c.journal.write(callCtx, task.Record{Task: t})
		cancel()
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// installTasks adds the tasks of an ended member to the task table and launches those that wait.
func (c *Control) installTasks(ended id.Member, table *task.Table) {
	c.adoptedMembers.Add(ended)
	for _, t := range table.All() {
		c.tasks.Apply(task.Record{Task: t})
		c.launch(t)
	}
	if table.Len() > 0 {
		c.log.Info("took over tasks", zap.String("ended", string(ended)), zap.Int("tasks", table.Len()))
	}
}

// handOverTasks ends the waiting tasks on this instance, so that a successor runs them.
func (c *Control) handOverTasks() {
	for name := range c.heldTasks {
		if !c.isWaitingTask(name) {
			continue
		}
		for _, waiting := range c.tickets {
			if waiting.request == name && waiting.worker == nil {
				c.pool(waiting.pool).waitQueue.Remove(waiting.item)
				delete(c.tickets, waiting.item.ID)
				waiting.placement <- placement{err: errHandedOver}
			}
		}
	}
}

// isWaitingTask reports whether a request is a task that the log holds as waiting.
func (c *Control) isWaitingTask(request string) bool {
	t, ok := c.tasks.Get(request)
	return ok && t.State == task.Waiting
}
