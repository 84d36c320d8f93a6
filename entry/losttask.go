package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/endpoint"
)

// cancelTimeout bounds the call that cancels a lost task on its endpoint.
const cancelTimeout = time.Second

// lostTask is a task whose answer was lost and that may still run. It keeps its slot of the team's limit until the
// endpoint has stopped it or its lease has expired.
type lostTask struct {
	control   *Control
	ticket    *ticket
	placement placement
	task      endpoint.Task
}

// trackLostTask moves the slot of a request to its lost task, which may still run.
func (c *Control) trackLostTask(ctx context.Context, t *ticket, placement placement, task endpoint.Task) {
	slotTicket := &ticket{item: t.item, pool: t.pool}
	l := &lostTask{control: c, ticket: slotTicket, placement: placement, task: task}
	err := c.do(context.WithoutCancel(ctx), func() {
		slotTicket.worker = t.worker
		t.worker = nil
		slotTicket.worker.recordOutcome(time.Now(), outcome{kind: lostAnswerKind(ctx)})
	})
	if err == nil {
		go l.run()
	}
}

// lostAnswerKind distinguishes a caller that went away, which says nothing about the worker, from a lost answer.
func lostAnswerKind(ctx context.Context) outcomeKind {
	if ctx.Err() != nil {
		return abandoned
	}
	return unknown
}

// run cancels the task, or waits for its lease to expire, and then frees its slot.
func (l *lostTask) run() {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	sent := time.Now()
	if err := l.control.config.Endpoints.Cancel(ctx, l.placement.address, l.task.Request); err != nil {
		l.control.log.Info("cancelling a lost task failed; waiting for its lease to expire", zap.String("attempt", l.task.Request), zap.Error(err))
		sleep(context.Background(), l.task.Lease-time.Since(sent))
	}
	l.control.post(func() {
		l.control.release(l.ticket)
		l.control.dispatch(time.Now(), l.control.pool(l.ticket.pool))
	})
}
