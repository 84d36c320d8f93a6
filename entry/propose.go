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

// appendWorkers is the number of records that can be appended to the log concurrently.
const appendWorkers = 4

// propose sends a record to the log unless the same subject was proposed less than ProposeInterval ago. A lost proposal
// is proposed again on a later tick if it is still needed.
func (c *Control) propose(now time.Time, subject string, record fleet.Record) {
	if proposedAt, ok := c.proposedAt[subject]; ok && now.Sub(proposedAt) < c.timing.ProposeInterval {
		return
	}
	envelope, err := fleet.NewEnvelope(now, string(c.self), record)
	if err != nil {
		c.log.Error("encoding a proposal failed", zap.Error(err))
		return
	}
	if c.enqueueRecord(envelope) {
		c.proposedAt[subject] = now
		c.proposalSubjects[envelope.ID] = subject
	}
}

// handleDecision allows a subject to be proposed again at once when its record is in the log.
func (c *Control) handleDecision(proposal string) {
	if subject, ok := c.proposalSubjects[proposal]; ok {
		delete(c.proposedAt, subject)
		delete(c.proposalSubjects, proposal)
	}
}

// removeOldProposals removes proposals older than proposalRetention.
func (c *Control) removeOldProposals(now time.Time) {
	for proposal, subject := range c.proposalSubjects {
		if proposedAt, ok := c.proposedAt[subject]; !ok || now.Sub(proposedAt) > proposalRetention {
			delete(c.proposalSubjects, proposal)
		}
	}
	for subject, proposedAt := range c.proposedAt {
		if now.Sub(proposedAt) > proposalRetention {
			delete(c.proposedAt, subject)
		}
	}
}

// proposalRetention is how long a proposal without an outcome is remembered.
const proposalRetention = time.Minute

// enqueueRecord queues a record for the append workers and returns false if their queue is full.
func (c *Control) enqueueRecord(envelope fleet.Envelope) bool {
	select {
	case c.background.records <- envelope:
		return true
	default:
		return false
	}
}

// appendLoop appends queued records until the context ends.
func (c *Control) appendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case envelope := <-c.background.records:
			if err := c.append(ctx, envelope); err != nil {
				c.log.Debug("appending a record to the log failed", zap.String("kind", envelope.Kind), zap.Error(err))
			}
		}
	}
}

// relayDelay is how long the platform may take to append a record before it is also relayed by another member.
const relayDelay = 300 * time.Millisecond

// append sends a record to the log, and relays it by another member if the log does not answer in time or fails.
// A record that arrives twice takes effect once, since both copies have the same ID.
func (c *Control) append(ctx context.Context, envelope fleet.Envelope) error {
	data, err := envelope.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &directAppend{control: c, data: data, done: make(chan error, 1)}
	go d.run(ctx)
	timer := time.NewTimer(relayDelay)
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

// directAppend is an append to the platform in progress.
type directAppend struct {
	control *Control
	data    []byte
	done    chan error
}

func (d *directAppend) run(ctx context.Context) { d.done <- d.control.appendDirect(ctx, d.data) }

// errNoRelay reports that no member could relay a record.
var errNoRelay = errors.New("no member could append the record")

// relay asks the other members one after another to append a record, until one succeeds.
func (c *Control) relay(ctx context.Context, data []byte) error {
	for _, to := range c.links.addresses() {
		callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		err := c.config.Peers.Relay(callCtx, to, peer.Relay{Data: data})
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

// PendingError reports a proposal whose outcome is not known yet. If it is a restriction, it is in force on this
// instance and on the members that have received it.
type PendingError struct{ ID string }

// Error returns a message with the proposal's ID.
func (e PendingError) Error() string {
	return "the log has not confirmed proposal " + e.ID + " yet"
}

// Propose appends an operator's record and waits for its outcome. It returns PendingError if the log does not confirm
// the record in time.
func (c *Control) Propose(ctx context.Context, by string, record fleet.Record) (fleet.Outcome, error) {
	envelope, err := fleet.NewEnvelope(time.Now(), by, record)
	if err != nil {
		return fleet.Outcome{}, errors.Trace(err)
	}
	waiter := make(chan fleet.Outcome, 1)
	err = c.do(ctx, func() {
		c.waiters[envelope.ID] = append(c.waiters[envelope.ID], waiter)
		c.restrict(time.Now(), envelope)
		c.enqueueRecord(envelope)
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
