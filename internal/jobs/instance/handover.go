package instance

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
)

// Timeouts of a handover to a heavier instance.
const (
	acceptTimeout = time.Second // for the other instance to accept the shard; with 250 ms an owner short of processor time took it for gone
	stopTimeout   = time.Second // for a shard to store that it has stopped; without that its successor waits longer
)

// recordGroup tells the reassigner what has changed in the group and in the table of owners. The caller holds the lock.
func (m *membership) recordGroup(now time.Duration) {
	n := m.instance
	m.reassigner.RecordMembers(now, n.alive)
	for shardName, owner := range n.owners {
		if before := m.recordedOwners[shardName]; before != owner {
			m.reassigner.RecordOwner(now, shardName, before, owner)
			m.recordedOwners[shardName] = owner
		}
	}
}

// reassign starts to hand over the shards that belong to much heavier instances. The caller holds the lock.
func (m *membership) reassign(ctx context.Context, now time.Duration, shardNames []string) {
	n := m.instance
	if now > m.confirmedAt+defaultTTL {
		return // the store is unreachable: the list of live members may be stale, and a change could not be written
	}
	group := owners.Group{Shards: shardNames, Alive: n.alive, Table: n.owners}
	for _, offer := range m.reassigner.Offers(now, n.self(), group, n.waitsLocked(now)) {
		o, running := n.shards[offer.Shard]
		if !running || m.handingOver.Has(offer.Shard) {
			continue
		}
		m.handingOver.Add(offer.Shard)
		h := &handover{membership: m, shard: offer.Shard, to: offer.To, owned: o}
		go h.run(ctx)
	}
}

// waitsLocked returns how long the shards of this instance wait for runs of earlier owners. The caller holds the lock.
func (n *Instance) waitsLocked(now time.Duration) owners.Waits {
	w := owners.Waits{Remaining: map[string]time.Duration{}, Successor: shard.HandoverWait(n.config.Settings.Lease())}
	for shardName, o := range n.shards {
		if o.shard != nil {
			w.Remaining[shardName] = o.shard.UnseenWait(now)
		}
	}
	return w
}

// handover hands a shard to a heavier instance. The shard runs here until the other instance has accepted it, and again if
// the change of owner could not be written.
type handover struct {
	membership *membership
	shard      string
	to         netip.AddrPort
	owned      *owned
}

func (h *handover) run(ctx context.Context) {
	n := h.membership.instance
	accepted, err := h.isAccepted(ctx)
	if !accepted {
		n.config.Logger.Info("heavier instance did not accept shard", zap.String("unit", h.shard), zap.Stringer("to", h.to), zap.Error(err))
		n.config.Metrics.recordOwnerChange(weightCause, declinedOutcome)
		h.decline()
		return
	}
	if !h.stop() {
		h.end()
		return
	}
	begun := n.config.Clock.Moment().Steady
	n.config.Logger.Info("handing over shard to a heavier instance", zap.String("unit", h.shard), zap.Stringer("to", h.to), zap.Int("weight", n.self().Weight))
	select {
	case <-h.owned.done:
	case <-time.After(stopTimeout):
	}
	stopped := n.config.Clock.Moment().Steady
	written := h.membership.publish(ctx, []change{{shard: h.shard, from: n.self().Address, to: h.to, cause: weightCause}})
	if !written {
		n.config.Metrics.recordOwnerChange(weightCause, failedOutcome)
		h.allowRestart()
	}
	n.config.Logger.Info("handed over shard to a heavier instance", zap.String("unit", h.shard), zap.Stringer("to", h.to), zap.Bool("written", written),
		zap.Duration("stopping", stopped-begun), zap.Duration("writing", n.config.Clock.Moment().Steady-stopped))
	h.end()
}

// isAccepted asks the other instance whether it can take the shard over. The list of live members may be as old as their time
// to live, and does not say who is about to stop.
func (h *handover) isAccepted(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	answer, err := h.membership.instance.config.Peers.Accepts(ctx, h.to, relay.PoolRequest{Pool: h.shard})
	return err == nil && answer.Accepts, err
}

// stop stops the shard here. It returns false if this instance does not own it any more, or has begun to stop.
func (h *handover) stop() bool {
	m := h.membership
	n := m.instance
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping || n.shards[h.shard] != h.owned || n.owners[h.shard] != n.self().Address {
		return false
	}
	h.owned.cancel()
	delete(n.shards, h.shard)
	m.notBefore[h.shard] = n.config.Clock.Moment().Steady + stopTimeout + handoverTimeout + reclaimDelay
	return true
}

// decline records that the other instance has not accepted the shard.
func (h *handover) decline() {
	m := h.membership
	m.instance.mu.Lock()
	defer m.instance.mu.Unlock()
	m.reassigner.RecordDecline(m.instance.config.Clock.Moment().Steady, h.to)
	delete(m.handingOver, h.shard)
}

// allowRestart lets the shard start here again once the table of owners has been read, if it still names this instance.
func (h *handover) allowRestart() {
	m := h.membership
	m.instance.mu.Lock()
	defer m.instance.mu.Unlock()
	m.notBefore[h.shard] = m.instance.config.Clock.Moment().Steady + reclaimDelay
}

func (h *handover) end() {
	m := h.membership
	m.instance.mu.Lock()
	defer m.instance.mu.Unlock()
	delete(m.handingOver, h.shard)
}
