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

// followPause is the time between two looks whether the table of owners is known up to where it ends.
const followPause = 5 * time.Millisecond

// change gives a unit to an instance, decided while another owned it or, with a zero address, nobody.
type change struct {
	unit     string
	from, to netip.AddrPort
}

// candidacy asks for units whose owners the group does not list.
type candidacy struct {
	membership *membership
	changes    []change
	asked      bool // whether the owners were asked if they live
}

// run asks for the units until the table of owners has them or shows that others do. Each try begins with
// the store's list of who lives: what was decided while the store was out of reach is not written later.
func (c *candidacy) run(ctx context.Context) {
	n := c.membership.instance
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for ctx.Err() == nil {
		if err := n.listMembers(ctx); err != nil {
			n.config.Logger.Debug("could not list the members", zap.Error(err))
			sleep(ctx, tryPause)
			continue
		}
		c.keepOrphans()
		if !c.asked {
			c.askOwners(ctx)
			c.asked = true
		}
		if c.membership.write(ctx, c.changes) {
			return
		}
	}
}

// keepOrphans drops the units that are not this instance's to ask for by the newest list of who lives.
func (c *candidacy) keepOrphans() {
	n := c.membership.instance
	n.mu.RLock()
	defer n.mu.RUnlock()
	successors := owners.Successors(n.catalog.units(), n.alive, n.owners)
	c.changes = slices.DeleteFunc(c.changes, func(ch change) bool { return successors[ch.unit] != ch.to })
}

// askOwners leaves units to owners that answer with a fresh proof: while many members join at once the
// group does not list all who live.
func (c *candidacy) askOwners(ctx context.Context) {
	n := c.membership.instance
	ctx, cancel := context.WithTimeout(ctx, ownsTimeout)
	defer cancel()
	lives := make([]bool, len(c.changes))
	var wait sync.WaitGroup
	for i, ch := range c.changes {
		if !ch.from.IsValid() {
			continue
		}
		wait.Go(func() {
			answer, err := n.config.Peers.Owns(ctx, ch.from, relay.Pool{Pool: ch.unit})
			lives[i] = err == nil && answer.Fresh
		})
	}
	wait.Wait()
	var left []change
	for i, ch := range c.changes {
		if !lives[i] {
			left = append(left, ch)
			continue
		}
		n.config.Logger.Info("left a unit to its owner", zap.String("unit", ch.unit), zap.Stringer("owner", ch.from))
	}
	c.changes = left
}

// announce writes who owns units now; it tries again until the table has it, shows that it was decided on
// what holds no longer, or the time is over.
func (m *membership) announce(ctx context.Context, changes []change) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for ctx.Err() == nil && !m.write(ctx, changes) {
	}
}

// write makes one try to write the changes that rest on what the table of owners holds, and reports whether
// nothing is left to try.
func (m *membership) write(ctx context.Context, changes []change) bool {
	n := m.instance
	records, end := n.standing(changes)
	if len(records) == 0 {
		return true
	}
	err := n.config.Conditional.AppendAt(ctx, ownerTable(), records, end)
	var changed stream.ChangedError
	switch {
	case err == nil:
		return true
	case errors.As(err, &changed):
		n.config.Logger.Info("who owns units has changed meanwhile", zap.Int64("known", end), zap.Int64("end", changed.End))
		n.followOwners(ctx, changed.End)
	default:
		n.config.Logger.Warn("could not write who owns units", zap.Error(err))
		sleep(ctx, tryPause)
	}
	return false
}

// standing returns the records of the changes whose units still have the owner that they were decided on,
// and up to where the table of owners is known.
func (n *Instance) standing(changes []change) ([]stream.Record, int64) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var records []stream.Record
	for _, ch := range changes {
		if n.owners[ch.unit] == ch.from {
			records = append(records, stream.Record{Key: ch.unit, Value: []byte(ch.to.String())})
		}
	}
	return records, n.ownersEnd
}

// followOwners waits until the table of owners is known up to an offset.
func (n *Instance) followOwners(ctx context.Context, end int64) {
	for ctx.Err() == nil {
		n.mu.RLock()
		known := n.ownersEnd
		n.mu.RUnlock()
		if known >= end {
			return
		}
		sleep(ctx, followPause)
	}
}
