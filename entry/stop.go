package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/fleet"
)

// Stop ends the instance gracefully: callers are sent elsewhere, every request that waits or runs
// ends, slots go back, and Run returns. Grace is how long callers may still arrive after the
// balancer has been told; when the context ends first, Stop fails and what runs is cut off.
func (c *Control) Stop(ctx context.Context, grace time.Duration) error {
	c.ready.Store(false)
	if err := c.do(ctx, func() { c.leaving = true }); err != nil {
		return errors.Trace(err)
	}
	pause(ctx, grace)
	stopNow := func() {
		c.stage = stopping
		c.handOver()
	}
	if err := c.do(ctx, stopNow); err != nil {
		return errors.Trace(err)
	}
	for !c.ended() {
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "stopping")
		}
		c.post(func() { c.leave(time.Now()) })
		pause(ctx, c.timing.Tick)
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

// leave proposes this member's leave once nothing waits or runs here. A member that never joined, or
// has lapsed, ends without one.
func (c *Control) leave(now time.Time) {
	if c.inUse() {
		return
	}
	if !c.lease.joined || c.lease.lapsed {
		c.lease.left = true
		return
	}
	c.propose(now, "leave", fleet.Leave{Member: c.self, Moved: c.holder.AllTransfers()})
	if c.leaveBy.IsZero() {
		c.leaveBy = now.Add(leavePatience)
	}
	if now.After(c.leaveBy) {
		c.log.Warn("the log did not take the leave of this instance; its slots come back with its lapse", zap.Time("since", c.leaveBy))
		c.lease.left = true
	}
}

// leavePatience bounds the wait for the log to take a leave; without it, the others find that the
// address refuses connections.
const leavePatience = 10 * time.Second

// inUse reports whether anything waits or runs here, tasks with lost answers included.
func (c *Control) inUse() bool {
	return len(c.tickets) > 0 || c.running()
}

// running reports whether a request, or a task with a lost answer, occupies a worker.
func (c *Control) running() bool {
	for _, w := range c.workers {
		if w.running > 0 {
			return true
		}
	}
	return false
}
