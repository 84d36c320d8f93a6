package instance

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Names of the group and of its topics; every live member holds some part of them.
const (
	groupName   = "instances"
	groupTopics = 4
)

// ownerTable holds who owns each unit.
func ownerTable() stream.Table { return stream.Table{Name: "owners"} }

// Times of the membership.
const (
	joinInterval  = 300 * time.Millisecond
	usualTTL      = 1100 * time.Millisecond // silence after which an instance loses its units
	reclaimPause  = 700 * time.Millisecond  // after a unit was claimed by another instance
	firstPause    = 900 * time.Millisecond  // before a unit is claimed that nobody has owned yet
	claimRest     = 1200 * time.Millisecond // after a unit changed hands, until members agree on who lives
	ownsTimeout   = 250 * time.Millisecond  // for an owner that the group does not list to answer
	balancePause  = 5 * time.Second         // between two units that are handed over to level the load
	handoverLimit = 1500 * time.Millisecond // for giving up the units of an instance that stops
)

// membership keeps this instance in the group and claims and ends units as members come and go.
type membership struct {
	instance   *Instance
	generation int64
	listed     int64 // generation whose members are known
	joined     time.Duration
	confirmed  time.Duration // when a renewal was last answered
	balanced   time.Duration
	changed    time.Duration            // when members last came or went
	quiet      map[string]time.Duration // when a unit may be claimed again
	asked      map[string]time.Duration // when a unit was last asked for
	renewed    chan int64               // generations of answered renewals
}

func (n *Instance) self() owners.Member {
	return owners.Member{Address: n.config.Settings.Peers, Weight: max(1, n.config.Settings.MilliCores)}
}

func (m *membership) member() stream.Member {
	set := m.instance.config.Settings
	member := stream.Member{
		Group: groupName, Name: m.instance.self().String(), TTL: max(usualTTL, set.MinTTL), Generation: m.generation,
	}
	for i := range groupTopics {
		member.Topics = append(member.Topics, fmt.Sprintf("members-%d", i))
	}
	return member
}

func (m *membership) loop(ctx context.Context) error {
	m.quiet, m.asked = map[string]time.Duration{}, map[string]time.Duration{}
	m.renewed = make(chan int64, 8)
	for {
		m.join(ctx)
		m.assign(ctx)
		timer := time.After(joinInterval)
	wait:
		for {
			select {
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			case <-m.instance.leave:
				m.giveUp(ctx)
				<-ctx.Done()
				return errors.Trace(ctx.Err())
			case generation := <-m.renewed:
				m.heard(ctx, generation)
				m.assign(ctx)
			case <-m.instance.ownersChanged:
				m.assign(ctx)
			case <-timer:
				break wait
			}
		}
	}
}

// join renews the membership without waiting for the answer: renewals go on arriving in time while the
// store is slow to answer.
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
	n.hear()
	select {
	case r.membership.renewed <- assigned.Generation:
	case <-ctx.Done():
	}
}

// heard takes in the answer to a renewal and learns who lives after a change.
func (m *membership) heard(ctx context.Context, generation int64) {
	n := m.instance
	if generation < m.generation {
		return
	}
	m.generation = generation
	m.confirmed = n.config.Clock.Moment().Steady
	if m.listed == generation && m.joined > 0 {
		return
	}
	if err := n.listMembers(ctx); err != nil {
		n.config.Logger.Debug("could not list the members", zap.Error(err))
		return
	}
	m.listed = generation
	m.changed = n.config.Clock.Moment().Steady
	if m.joined == 0 {
		m.joined = m.changed
	}
}

// listMembers learns from the store who lives.
func (n *Instance) listMembers(ctx context.Context) error {
	asked := n.config.Clock.Moment().Steady
	rows, err := n.config.Groups.Owners(ctx, groupName)
	if err == nil {
		n.setAlive(rows, asked)
	}
	return err
}

// setAlive takes over the list of live members unless a newer one is known.
func (n *Instance) setAlive(rows []stream.Owner, asked time.Duration) {
	alive := []owners.Member{n.self()}
	for _, row := range rows {
		member, err := owners.ParseMember(row.Member)
		if err != nil || slices.Contains(alive, member) {
			continue
		}
		alive = append(alive, member)
	}
	slices.SortFunc(alive, func(a, b owners.Member) int { return a.Address.Compare(b.Address) })
	n.mu.Lock()
	defer n.mu.Unlock()
	if asked < n.aliveAt {
		return
	}
	n.aliveAt = asked
	if slices.Equal(alive, n.alive) {
		return
	}
	n.alive = alive
	n.config.Logger.Info("members changed", zap.Int("alive", len(alive)))
}

// takeOwner takes in who owns a unit, or which pools a queue had.
func (n *Instance) takeOwner(r stream.Record) {
	if queue, ok := strings.CutPrefix(r.Key, formerPrefix); ok {
		n.takeFormer(queue, r)
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
		instance: n, table: ownerTable(), wait: operatorWait, replace: n.replaceOwners, take: n.takeOwner, reached: n.knowOwners,
	}
}

// knowOwners notes up to where the table of owners is known.
func (n *Instance) knowOwners(end int64) {
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
		n.takeOwner(r)
	}
}

// assign claims the units that are this instance's, ends those that are another's and levels the load.
func (m *membership) assign(ctx context.Context) {
	n := m.instance
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog == nil || !n.ownersKnown || m.joined == 0 || n.stopping {
		return
	}
	now := n.config.Clock.Moment().Steady
	units := n.catalog.units()
	for unit, o := range n.shards {
		select {
		case <-o.done:
			delete(n.shards, unit)
			m.quiet[unit] = now + reclaimPause
			continue
		default:
		}
		if n.owners[unit] != n.self().Address {
			o.cancel()
			delete(n.shards, unit)
			n.config.Logger.Info("unit handed to another instance", zap.String("unit", unit), zap.Stringer("owner", n.owners[unit]))
		}
	}
	n.tellMoves(ctx)
	m.takeOver(ctx, now, units)
	m.level(ctx, now, units)
}

// takeOver runs the units whose owner is this instance and asks for those whose owner is gone. What is
// asked for runs here once the table says so: the log decides among instances that ask at the same time.
// The caller holds the lock.
func (m *membership) takeOver(ctx context.Context, now time.Duration, units []string) {
	n := m.instance
	successors := owners.Successors(units, n.alive, n.owners)
	c := &candidacy{membership: m}
	for _, unit := range units {
		if _, running := n.shards[unit]; running || now < m.quiet[unit] {
			continue
		}
		owner, owned := n.owners[unit]
		switch {
		case owner == n.self().Address:
			n.start(ctx, unit)
		case !owned && now < m.joined+firstPause:
		case owned && now < n.ownedSince[unit]+claimRest:
		case now < m.asked[unit]+claimRest:
		case successors[unit] == n.self().Address:
			m.asked[unit] = now
			c.changes = append(c.changes, change{unit: unit, from: owner, to: n.self().Address})
		}
	}
	if len(c.changes) > 0 {
		go c.run(ctx)
	}
}

// level hands over a unit when another instance has much less to do; the caller holds the lock.
func (m *membership) level(ctx context.Context, now time.Duration, units []string) {
	n := m.instance
	if now < m.changed+balancePause || m.balanced > 0 && now < m.balanced+balancePause {
		return
	}
	if now > m.confirmed+usualTTL {
		return // the store is out of reach: who lives may have changed, and the change could not be written
	}
	offer, ok := owners.Surplus(n.self(), units, n.alive, n.owners)
	if !ok {
		return
	}
	m.balanced = now
	if o, running := n.shards[offer.Unit]; running {
		o.cancel()
		delete(n.shards, offer.Unit)
	}
	// It starts here again when the table does not take the change.
	m.quiet[offer.Unit] = now + handoverLimit + reclaimPause
	n.config.Logger.Info("handing a unit over to level the load", zap.String("unit", offer.Unit), zap.Stringer("to", offer.To))
	go m.announce(ctx, []change{{unit: offer.Unit, from: n.self().Address, to: offer.To}})
}

// giveUp ends all units, hands them to others and leaves the group.
func (m *membership) giveUp(ctx context.Context) {
	n := m.instance
	defer close(n.left)
	n.mu.Lock()
	ending := n.shards
	n.shards = map[string]*owned{}
	var changes []change
	if n.catalog != nil {
		for _, o := range owners.Handover(n.self(), n.catalog.units(), n.alive, n.owners) {
			changes = append(changes, change{unit: o.Unit, from: n.self().Address, to: o.To})
		}
	}
	n.mu.Unlock()
	for _, o := range ending {
		o.cancel()
	}
	for _, o := range ending {
		<-o.done
	}
	m.announce(ctx, changes)
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	if err := n.config.Groups.Leave(ctx, m.member()); err != nil {
		n.config.Logger.Warn("could not leave the group", zap.Error(err))
		return
	}
	n.config.Logger.Info("left the group", zap.Int("units", len(ending)))
}
