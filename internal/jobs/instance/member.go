package instance

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Name of the group and number of its topics, which the store assigns to the live members.
const (
	groupName   = "instances"
	groupTopics = 4
)

// ownerTable returns the table that holds the owner of each shard.
func ownerTable() stream.Table { return stream.Table{Name: "owners"} }

// Intervals and timeouts of the membership.
const (
	joinInterval    = 300 * time.Millisecond
	defaultTTL      = 1100 * time.Millisecond // time without a renewal after which an instance loses its shards
	reclaimDelay    = 700 * time.Millisecond  // after a shard stopped running here, before it is claimed again
	firstClaimDelay = 900 * time.Millisecond  // after joining, before a shard without any previous owner is claimed
	claimCooldown   = 1200 * time.Millisecond // after the owner of a shard changed, until members agree on the list of live members
	ownsTimeout     = 250 * time.Millisecond  // for an owner that the group does not list to reply
	balanceInterval = 5 * time.Second         // between two handovers that balance the load
	handoverTimeout = 1500 * time.Millisecond // for writing a handover and leaving the group
)

// membership renews this instance's membership in the group, and claims and stops shards as members join and leave.
type membership struct {
	instance         *Instance
	generation       int64
	listedGeneration int64 // generation whose members were listed
	joinedAt         time.Duration
	confirmedAt      time.Duration // when the store last replied to a renewal
	balancedAt       time.Duration
	changedAt        time.Duration            // when the generation last changed
	notBefore        map[string]time.Duration // time before which a shard must not be claimed again
	requestedAt      map[string]time.Duration // when an election for a shard last started
	observedAt       time.Duration            // when an observer last listed the members
	renewed          chan int64               // generations that the store returned for renewals
	reassigner       *owners.Reassigner       // guarded by the instance's lock, like the two below
	recordedOwners   owners.Table             // the table of owners as reassigner knows it
	handingOver      id.Set[string]           // shards that are being handed to heavier members
}

func newMembership(n *Instance) *membership {
	return &membership{
		instance: n, notBefore: map[string]time.Duration{}, requestedAt: map[string]time.Duration{}, renewed: make(chan int64, 8),
		reassigner: owners.NewReassigner(), recordedOwners: owners.Table{}, handingOver: id.Set[string]{},
	}
}

func (n *Instance) self() owners.Member {
	set := n.config.Settings
	return owners.Member{Address: set.Peers, Weight: max(1, set.MilliCores), DataCentre: set.DataCentre}
}

func (m *membership) member() stream.Member {
	set := m.instance.config.Settings
	member := stream.Member{
		Group: groupName, Name: m.instance.self().String(), TTL: max(defaultTTL, set.MinTTL), Generation: m.generation,
	}
	for i := range groupTopics {
		member.Topics = append(member.Topics, fmt.Sprintf("members-%d", i))
	}
	return member
}

func (m *membership) loop(ctx context.Context) error {
	for {
		m.renew(ctx)
		m.assign(ctx)
		timer := time.After(joinInterval)
	wait:
		for {
			select {
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			case <-m.instance.stop:
				m.shutDown(ctx)
				<-ctx.Done()
				return errors.Trace(ctx.Err())
			case generation := <-m.renewed:
				m.handleRenewal(ctx, generation)
				m.assign(ctx)
			case <-m.instance.ownersChanged:
				m.assign(ctx)
			case <-timer:
				break wait
			}
		}
	}
}

// renew renews the membership, or lists the members now and then if this instance is an observer.
func (m *membership) renew(ctx context.Context) {
	if m.instance.isObserver() {
		m.observe(ctx)
		return
	}
	m.join(ctx)
}

// join renews the membership without waiting for the reply, so that renewals still arrive in time while the store is
// slow to reply.
func (m *membership) join(ctx context.Context) {
	r := &renewal{membership: m, member: m.member()}
	go r.run(ctx)
}

// renewal is one call that renews the membership.
type renewal struct {
	membership *membership
	member     stream.Member
}

func (r *renewal) run(ctx context.Context) {
	n := r.membership.instance
	assigned, err := n.config.Groups.Join(ctx, r.member)
	if err != nil {
		n.config.Logger.Debug("could not renew the membership", zap.Error(err))
		return
	}
	n.recordReply()
	select {
	case r.membership.renewed <- assigned.Generation:
	case <-ctx.Done():
	}
}

// handleRenewal handles the reply to a renewal and lists the live members after a change.
func (m *membership) handleRenewal(ctx context.Context, generation int64) {
	n := m.instance
	if generation < m.generation {
		return
	}
	m.generation = generation
	m.confirmedAt = n.config.Clock.Moment().Steady
	if m.listedGeneration == generation && m.joinedAt > 0 || n.isObserver() {
		return
	}
	if err := n.listMembers(ctx); err != nil {
		n.config.Logger.Debug("could not list the members", zap.Error(err))
		return
	}
	m.listedGeneration = generation
	m.changedAt = n.config.Clock.Moment().Steady
	if m.joinedAt == 0 {
		m.joinedAt = m.changedAt
	}
	m.reconsider(ctx)
}

// listMembers reads the list of live members from the store.
func (n *Instance) listMembers(ctx context.Context) error {
	asked := n.config.Clock.Moment().Steady
	rows, err := n.config.Groups.Owners(ctx, groupName)
	if err == nil {
		n.setAlive(rows, asked)
	}
	return err
}

// setAlive applies a list of live members unless a newer one is known.
func (n *Instance) setAlive(rows []stream.PartitionOwner, asked time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var alive []owners.Member
	if !n.observer {
		alive = append(alive, n.self())
	}
	for _, row := range rows {
		member, err := owners.ParseMember(row.Member)
		if err != nil || slices.Contains(alive, member) {
			continue
		}
		alive = append(alive, member)
	}
	slices.SortFunc(alive, func(a, b owners.Member) int { return a.Address.Compare(b.Address) })
	if asked < n.aliveAsOf {
		return
	}
	n.aliveAsOf, n.partitions = asked, len(rows)
	if slices.Equal(alive, n.alive) {
		return
	}
	n.alive = alive
	n.config.Logger.Info("members changed", zap.Int("alive", len(alive)))
}

// applyOwner applies a record of the table of owners: the owner of a shard, or a holder of a route.
func (n *Instance) applyOwner(r stream.Record) {
	if n.applyHolder(r) {
		return
	}
	address, err := netip.ParseAddrPort(string(r.Value))
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owners[r.Key] != address {
		n.ownedSince[r.Key] = n.config.Clock.Moment().Steady
	}
	n.owners[r.Key] = address
}

// ownerFeed follows the table of owners.
func (n *Instance) ownerFeed() *feed {
	return &feed{
		instance: n, table: ownerTable(), wait: operatorWait, replace: n.replaceOwners, apply: n.applyOwner, onProgress: n.recordOwnersEnd,
	}
}

// recordOwnersEnd records the offset up to which the table of owners is read.
func (n *Instance) recordOwnersEnd(end int64) {
	n.mu.Lock()
	n.ownersEnd, n.ownersKnown = end, true
	n.mu.Unlock()
	select {
	case n.ownersChanged <- struct{}{}:
	default:
	}
}

func (n *Instance) replaceOwners(all []stream.Record) {
	for _, r := range all {
		n.applyOwner(r)
	}
}

// shutDown stops all shards, hands them to other instances and leaves the group.
func (m *membership) shutDown(ctx context.Context) {
	n := m.instance
	defer close(n.stopped)
	n.mu.Lock()
	ending := n.shards
	n.shards = map[string]*owned{}
	var changes []change
	if n.catalog != nil {
		for _, o := range owners.HandoverOffers(n.self(), n.shardNamesLocked(), n.alive, n.owners) {
			changes = append(changes, change{shard: o.Shard, from: n.self().Address, to: o.To, cause: stopCause})
		}
	}
	n.mu.Unlock()
	for _, o := range ending {
		o.cancel()
	}
	for _, o := range ending {
		<-o.done
	}
	m.publish(ctx, changes)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := n.config.Groups.Leave(ctx, m.member()); err != nil {
		n.config.Logger.Warn("could not leave the group", zap.Error(err))
		return
	}
	n.config.Logger.Info("left the group", zap.Int("units", len(ending)))
}
