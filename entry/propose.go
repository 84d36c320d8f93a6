package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/peer"
)

// appenders is how many records can be on their way to the log at once.
const appenders = 4

// propose sends a record to the log unless the same subject was proposed a moment ago. A proposal
// that is lost is made again by the system that wants it, as long as it still does.
func (c *Control) propose(now time.Time, subject string, record fleet.Record) {
	if asked, ok := c.asked[subject]; ok && now.Sub(asked) < c.timing.Propose {
		return
	}
	envelope, err := fleet.NewEnvelope(now, string(c.self), record)
	if err != nil {
		c.log.Error("a proposal cannot be encoded", zap.Error(err))
		return
	}
	if c.send(envelope) {
		c.asked[subject] = now
		c.proposed[envelope.ID] = subject
	}
}

// decided lets a subject be proposed again at once when the log has decided about it.
func (c *Control) decided(proposal string) {
	if subject, ok := c.proposed[proposal]; ok {
		delete(c.asked, subject)
		delete(c.proposed, proposal)
	}
}

// forgetProposals drops what was proposed so long ago that it may be proposed again anyway.
func (c *Control) forgetProposals(now time.Time) {
	for proposal, subject := range c.proposed {
		if asked, ok := c.asked[subject]; !ok || now.Sub(asked) > proposalMemory {
			delete(c.proposed, proposal)
		}
	}
	for subject, asked := range c.asked {
		if now.Sub(asked) > proposalMemory {
			delete(c.asked, subject)
		}
	}
}

// proposalMemory is how long a proposal without an outcome is remembered.
const proposalMemory = time.Minute

// send hands a record to the appenders and reports false when they have too much to do.
func (c *Control) send(envelope fleet.Envelope) bool {
	select {
	case c.upkeep.records <- envelope:
		return true
	default:
		return false
	}
}

// appendLoop appends records until the context ends.
func (c *Control) appendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case envelope := <-c.upkeep.records:
			if err := c.append(ctx, envelope); err != nil {
				c.log.Debug("a record did not reach the log", zap.String("kind", envelope.Kind), zap.Error(err))
			}
		}
	}
}

// relayAfter is how long the platform may take before a record also goes by another member.
const relayAfter = 300 * time.Millisecond

// append sends a record to the log, and by another member as well when the log does not answer here.
// A record that arrives twice takes effect once, since both copies carry its id.
func (c *Control) append(ctx context.Context, envelope fleet.Envelope) error {
	data, err := envelope.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &direct{control: c, data: data, done: make(chan error, 1)}
	go d.run(ctx)
	timer := time.NewTimer(relayAfter)
	defer timer.Stop()
	select {
	case err = <-d.done:
		if err == nil {
			return nil
		}
	case <-timer.C:
	}
	if c.relay(ctx, data) == nil {
		return nil
	}
	if err == nil {
		err = <-d.done
	}
	return errors.Annotatef(err, "appending %s %s", envelope.Kind, envelope.ID)
}

// direct is one append on its way to the platform.
type direct struct {
	control *Control
	data    []byte
	done    chan error
}

func (d *direct) run(ctx context.Context) { d.done <- d.control.appendDirect(ctx, d.data) }

// errNoRelay is the fault of a relay that no member took.
var errNoRelay = errors.New("no member could append the record")

// relay has the first member that can append a record.
func (c *Control) relay(ctx context.Context, data []byte) error {
	for _, to := range c.links.addresses() {
		call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		err := c.config.Peers.Relay(call, to, peer.Relay{Data: data})
		cancel()
		if err == nil {
			return nil
		}
	}
	return errNoRelay
}

func (c *Control) appendDirect(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	return errors.Trace(c.config.Log.Append(ctx, store.ControlStream, data))
}

// PendingError reports a proposal whose outcome is not known yet; a restriction among them is in
// force on this instance and on the members that it has told.
type PendingError struct{ ID string }

// Error returns the proposal's id.
func (e PendingError) Error() string {
	return "the log has not confirmed proposal " + e.ID + " yet"
}

// Propose appends an operator's record and waits for its outcome; it fails with PendingError when
// the log does not confirm it in time.
func (c *Control) Propose(ctx context.Context, by string, record fleet.Record) (fleet.Outcome, error) {
	envelope, err := fleet.NewEnvelope(time.Now(), by, record)
	if err != nil {
		return fleet.Outcome{}, errors.Trace(err)
	}
	waiter := make(chan fleet.Outcome, 1)
	err = c.do(ctx, func() {
		c.waiters[envelope.ID] = append(c.waiters[envelope.ID], waiter)
		c.restrict(time.Now(), envelope)
		c.send(envelope)
	})
	if err != nil {
		return fleet.Outcome{}, errors.Trace(err)
	}
	timer := time.NewTimer(c.timing.LogTimeout + c.timing.LogWait)
	defer timer.Stop()
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	c.post(func() { delete(c.waiters, envelope.ID) })
	return fleet.Outcome{}, PendingError{ID: envelope.ID}
}
