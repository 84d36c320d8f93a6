package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/fleet"
)

// Stop shuts the instance down gracefully: it reports not ready, waits for grace, lets all waiting and running
// requests end, writes the records of its tasks, returns the slots, and ends Run. Callers may still arrive during grace, until the load balancer has
// noticed. If the context ends first, Stop fails and running requests are cut off.
func (c *Control) Stop(ctx context.Context, grace time.Duration) error {
	c.ready.Store(false)
	if err := c.do(ctx, func() { c.leaving = true }); err != nil {
		return errors.Trace(err)
	}
	sleep(ctx, grace)
	beginStop := func() {
		c.stage = stopping
		c.handOverTasks()
	}
	if err := c.do(ctx, beginStop); err != nil {
		return errors.Trace(err)
	}
	for !c.ended() {
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "stopping")
		}
		c.post(func() { c.leave(time.Now()) })
		sleep(ctx, c.timing.Tick)
	}
	c.log.Info("stopped")
	return nil
}

// ended reports whether the control thread has ended.
func (c *Control) ended() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// leave proposes this member's leave once nothing waits or runs on this instance. A member that has not joined or has
// lapsed ends without a proposal.
func (c *Control) leave(now time.Time) {
	if c.inUse() {
		return
	}
	if !c.lease.joined || c.lease.lapsed {
		c.lease.left = true
		return
	}
	c.propose(now, "leave", fleet.Leave{Member: c.self, Moved: c.holder.AllTransfers()})
	if c.leaveDeadline.IsZero() {
		c.leaveDeadline = now.Add(leaveTimeout)
	}
	if now.After(c.leaveDeadline) {
		c.log.Warn("the log did not accept the leave of this instance; its slots return to the ledger after its lapse", zap.Time("since", c.leaveDeadline))
		c.lease.left = true
	}
}

// leaveTimeout bounds the wait for the log to accept a leave. Without a leave, the other members detect that the
// address refuses connections.
const leaveTimeout = 10 * time.Second

// inUse reports whether anything waits or runs on this instance, including lost tasks and tasks whose records are not
// written yet: a successor reads them once, when this member has left.
func (c *Control) inUse() bool {
	return len(c.tickets) > 0 || c.openTasks > 0 || c.running()
}

// running reports whether a request or a lost task occupies a worker.
func (c *Control) running() bool {
	for _, w := range c.workers {
		if w.running > 0 {
			return true
		}
	}
	return false
}
