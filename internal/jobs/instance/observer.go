package instance

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Time between two lists of the members that an observer reads. The spread keeps many observers from joining at once
// when a candidate is gone.
const (
	observeInterval = 4 * time.Second
	observeSpread   = 3 * time.Second
)

// isObserver reports whether this instance stays out of the group.
func (n *Instance) isObserver() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.observer
}

// observe lists the members if that is due, and joins the group again if this instance has become a candidate.
func (m *membership) observe(ctx context.Context) {
	n := m.instance
	now := n.config.Clock.Moment().Steady
	spread := time.Duration(xxhash.Sum64String(n.self().String()) % uint64(observeSpread))
	if now < m.observedAt+observeInterval+spread && !n.ownsAny() {
		return
	}
	m.observedAt = now
	if err := n.listMembers(ctx); err != nil {
		n.config.Logger.Debug("could not list the members", zap.Error(err))
		return
	}
	m.reconsider(ctx)
	if !n.isObserver() {
		m.join(ctx)
	}
}

// reconsider decides whether this instance is a candidate or an observer, by the newest list of members. An instance
// that owns a shard stays or becomes a candidate: the others must see that it lives.
func (m *membership) reconsider(ctx context.Context) {
	n := m.instance
	n.mu.Lock()
	defer n.mu.Unlock()
	owns := n.ownsAnyLocked()
	observer := !owns && !owners.IsCandidate(n.self(), n.alive)
	mayLackMembers := !owns && n.observer && owners.IsCrowded(n.alive, n.partitions)
	if observer == n.observer || mayLackMembers {
		return
	}
	n.observer = observer
	n.config.Logger.Info("role in the group changed", zap.Bool("candidate", !observer), zap.Int("alive", len(n.alive)))
	if observer {
		m.observedAt = n.config.Clock.Moment().Steady
		d := &departure{instance: n, member: m.member()}
		go d.run(ctx)
	}
}

// ownsAny reports whether the table of owners names this instance.
func (n *Instance) ownsAny() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.ownsAnyLocked()
}

// ownsAnyLocked is ownsAny for a caller that holds the lock. A shard that still runs here counts too.
func (n *Instance) ownsAnyLocked() bool {
	if n.catalog == nil {
		return len(n.shards) > 0
	}
	for _, shardName := range n.shardNamesLocked() {
		if n.owners[shardName] == n.self().Address {
			return true
		}
	}
	return len(n.shards) > 0
}

// departure is the call that removes an instance from the group, so that its partitions go to a candidate at once.
type departure struct {
	instance *Instance
	member   stream.Member
}

func (d *departure) run(ctx context.Context) {
	if err := d.instance.config.Groups.Leave(ctx, d.member); err != nil {
		d.instance.config.Logger.Debug("could not leave the group", zap.Error(err))
	}
}
