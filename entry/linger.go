package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/endpoint"
)

// cancelTimeout bounds the word to an endpoint that nobody waits for a task any more.
const cancelTimeout = time.Second

// lingering is a task whose answer is lost and that may still run: it keeps its slot of the team's
// limit until the endpoint has stopped it or its lease has ended.
type lingering struct {
	control *Control
	ticket  *ticket
	place   verdict
	task    endpoint.Task
}

// linger hands the slot that a request used over to the task that may still run in it.
func (c *Control) linger(ctx context.Context, t *ticket, place verdict, task endpoint.Task) {
	kept := &ticket{item: t.item, pool: t.pool}
	l := &lingering{control: c, ticket: kept, place: place, task: task}
	err := c.do(context.WithoutCancel(ctx), func() {
		kept.worker = t.worker
		t.worker = nil
		kept.worker.learn(time.Now(), outcome{kind: lostKind(ctx)})
	})
	if err == nil {
		go l.run()
	}
}

// lostKind tells a caller that went away, which says nothing of the worker, from a lost answer.
func lostKind(ctx context.Context) kind {
	if ctx.Err() != nil {
		return abandoned
	}
	return unknown
}

// run stops the task and then frees its slot.
func (l *lingering) run() {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	sent := time.Now()
	if err := l.control.config.Endpoints.Cancel(ctx, l.place.address, l.task.Request); err != nil {
		l.control.log.Info("waiting for a lost task's lease", zap.String("attempt", l.task.Request), zap.Error(err))
		pause(context.Background(), l.task.Lease-time.Since(sent))
	}
	l.control.post(func() {
		l.control.release(l.ticket)
		l.control.dispatch(time.Now(), l.control.pool(l.ticket.pool))
	})
}
