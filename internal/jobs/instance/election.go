package instance

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// ownersPollInterval is the time between two checks whether the table of owners is read up to an offset.
const ownersPollInterval = 5 * time.Millisecond

// change assigns a shard to an instance. It is valid only while the table of owners has the owner that it was decided
// on, from; a zero from means that the shard had no owner.
type change struct {
	shard    string
	from, to netip.AddrPort
	cause    string // why the owner changes, for the metrics
}

// election tries to take over shards whose owners the group does not list.
type election struct {
	membership  *membership
	changes     []change
	ownersAsked bool // whether the owners were asked for a recent proof of ownership
}

// run tries to take over the shards until the table of owners names this instance or another. Each attempt starts by
// listing the live members, so that a decision made while the store was unreachable is not written later.
func (c *election) run(ctx context.Context) {
	n := c.membership.instance
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if err := n.listMembers(ctx); err != nil {
			n.config.Logger.Debug("could not list the members", zap.Error(err))
			sleep(ctx, retryDelay)
			continue
		}
		c.dropReassigned()
		if !c.ownersAsked {
			c.dropOwned(ctx)
			c.ownersAsked = true
		}
		if _, done := c.membership.tryWrite(ctx, c.changes); done {
			return
		}
	}
}

// dropReassigned drops the shards that belong to another successor by the newest list of live members.
func (c *election) dropReassigned() {
	n := c.membership.instance
	n.mu.RLock()
	defer n.mu.RUnlock()
	successors := owners.Successors(n.shardNamesLocked(), n.alive, n.owners)
	c.changes = slices.DeleteFunc(c.changes, func(ch change) bool { return successors[ch.shard] != ch.to })
}

// dropOwned drops the shards whose owners reply with a recent proof of ownership: while many members join at
// once the group does not list all live members.
func (c *election) dropOwned(ctx context.Context) {
	n := c.membership.instance
	ctx, cancel := context.WithTimeout(ctx, ownsTimeout)
	defer cancel()
	owned := make([]bool, len(c.changes))
	var wait sync.WaitGroup
	for i, ch := range c.changes {
		if !ch.from.IsValid() {
			continue
		}
		wait.Go(func() {
			answer, err := n.config.Peers.Owns(ctx, ch.from, relay.PoolRequest{Pool: ch.shard})
			owned[i] = err == nil && answer.HasRecentProof
		})
	}
	wait.Wait()
	var remaining []change
	for i, ch := range c.changes {
		if !owned[i] {
			remaining = append(remaining, ch)
			continue
		}
		n.config.Logger.Info("left shard to its live owner", zap.String("unit", ch.shard), zap.Stringer("owner", ch.from))
	}
	c.changes = remaining
}

// publish writes the changes to the table of owners. It retries until they are written or no longer valid, or until
// the timeout, and reports whether it knows that they are written.
func (m *membership) publish(ctx context.Context, changes []change) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if written, done := m.tryWrite(ctx, changes); done {
			return written
		}
	}
	return false
}

// tryWrite makes one attempt to write the changes that are still valid. It reports whether they are written, and whether no
// further attempt is needed.
func (m *membership) tryWrite(ctx context.Context, changes []change) (written, done bool) {
	n := m.instance
	valid, end := n.validChanges(changes)
	if len(valid) == 0 {
		return false, true
	}
	var records []stream.Record
	for _, ch := range valid {
		records = append(records, stream.Record{Key: ch.shard, Value: []byte(ch.to.String())})
	}
	err := n.config.ConditionalLog.AppendAt(ctx, ownerTable(), records, end)
	var changed stream.ChangedError
	switch {
	case err == nil:
		for _, ch := range valid {
			n.config.Metrics.recordOwnerChange(ch.cause, writtenOutcome)
		}
		return true, true
	case errors.As(err, &changed):
		n.config.Logger.Info("table of owners changed concurrently", zap.Int64("known", end), zap.Int64("end", changed.End))
		n.awaitOwners(ctx, changed.End)
	default:
		n.config.Logger.Warn("could not write the table of owners", zap.Error(err))
		sleep(ctx, retryDelay)
	}
	return false, false
}

// validChanges returns the changes whose shards still have the owner that they were decided on, and the offset up to which
// the table of owners is read.
func (n *Instance) validChanges(changes []change) ([]change, int64) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var valid []change
	for _, ch := range changes {
		if n.owners[ch.shard] == ch.from {
			valid = append(valid, ch)
		}
	}
	return valid, n.ownersEnd
}

// awaitOwners waits until the table of owners is read up to an offset.
func (n *Instance) awaitOwners(ctx context.Context, end int64) {
	for ctx.Err() == nil {
		n.mu.RLock()
		known := n.ownersEnd
		n.mu.RUnlock()
		if known >= end {
			return
		}
		sleep(ctx, ownersPollInterval)
	}
}
