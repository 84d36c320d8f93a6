package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
)

// assign starts and claims the shards of this instance, stops those of other instances and balances the load.
func (m *membership) assign(ctx context.Context) {
	n := m.instance
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog == nil || !n.ownersKnown || m.joinedAt == 0 || n.stopping {
		return
	}
	now := n.config.Clock.Moment().Steady
	m.recordGroup(now)
	shardNames := n.shardNamesLocked()
	for shardName, o := range n.shards {
		select {
		case <-o.done:
			delete(n.shards, shardName)
			m.notBefore[shardName] = now + reclaimDelay
			continue
		default:
		}
		if n.owners[shardName] != n.self().Address {
			o.cancel()
			delete(n.shards, shardName)
			n.config.Logger.Info("shard assigned to another instance", zap.String("unit", shardName), zap.Stringer("owner", n.owners[shardName]))
		}
	}
	m.takeOver(ctx, now, shardNames)
	m.reassign(ctx, now, shardNames)
	m.balance(ctx, now, shardNames)
}

// takeOver starts the shards that this instance owns and starts an election for those whose owner is gone. A shard of
// an election starts here once the table of owners names this instance: the log decides between concurrent candidates.
// The caller holds the lock.
func (m *membership) takeOver(ctx context.Context, now time.Duration, shardNames []string) {
	n := m.instance
	successors := owners.Successors(shardNames, n.alive, n.owners)
	c := &election{membership: m}
	for _, shardName := range shardNames {
		if _, running := n.shards[shardName]; running || now < m.notBefore[shardName] {
			continue
		}
		owner, owned := n.owners[shardName]
		switch {
		case owner == n.self().Address:
			n.start(ctx, shardName)
		case !owned && now < m.joinedAt+firstClaimDelay:
		case owned && now < n.ownedSince[shardName]+claimCooldown:
		case now < m.requestedAt[shardName]+claimCooldown:
		case successors[shardName] == n.self().Address:
			m.requestedAt[shardName] = now
			c.changes = append(c.changes, change{shard: shardName, from: owner, to: n.self().Address, cause: electionCause})
		}
	}
	if len(c.changes) > 0 {
		go c.run(ctx)
	}
}

// balance hands over a shard if owners.SurplusOffer finds another instance with much less load. The caller holds the
// lock.
func (m *membership) balance(ctx context.Context, now time.Duration, shardNames []string) {
	n := m.instance
	if now < m.changedAt+balanceInterval || m.balancedAt > 0 && now < m.balancedAt+balanceInterval {
		return
	}
	if now > m.confirmedAt+defaultTTL {
		return // the store is unreachable: the list of live members may be stale, and a change could not be written
	}
	offer, ok := owners.SurplusOffer(n.self(), shardNames, n.alive, n.owners)
	if !ok || m.handingOver.Has(offer.Shard) {
		return
	}
	m.balancedAt = now
	if o, running := n.shards[offer.Shard]; running {
		o.cancel()
		delete(n.shards, offer.Shard)
	}
	// The shard starts here again after this time if the change could not be written.
	m.notBefore[offer.Shard] = now + handoverTimeout + reclaimDelay
	n.config.Logger.Info("handing over shard to balance the load", zap.String("unit", offer.Shard), zap.Stringer("to", offer.To))
	go m.publish(ctx, []change{{shard: offer.Shard, from: n.self().Address, to: offer.To, cause: balanceCause}})
}
