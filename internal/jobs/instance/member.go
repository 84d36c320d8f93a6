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
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Names of the group and of its topics; every live member holds some part of them.
const (
	groupName   = "instances"
	groupTopics = 4
)

// releasedMark stands behind a new owner's address when the earlier owner has stopped giving orders. A unit
// that is this instance's when it starts was its own before: that process is gone as well.
const releasedMark = " released"

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
	known      time.Duration // when the store last confirmed who lives
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
	if m.listed == generation && m.joined > 0 {
		m.known = n.config.Clock.Moment().Steady
		return
	}
	rows, err := n.config.Groups.Owners(ctx, groupName)
	if err != nil {
		n.config.Logger.Debug("could not list the members", zap.Error(err))
		return
	}
	m.listed = generation
	m.changed = n.config.Clock.Moment().Steady
	m.known = m.changed
	if m.joined == 0 {
		m.joined = m.changed
	}
	n.setAlive(rows, generation)
}

// setAlive takes over the list of live members.
func (n *Instance) setAlive(rows []stream.Owner, generation int64) {
	alive := []owners.Member{n.self()}
	for _, row := range rows {
		member, err := owners.ParseMember(row.Member)
		if err != nil || slices.Contains(alive, member) {
			continue
		}
		alive = append(alive, member)
	}
	slices.SortFunc(alive, func(a, b owners.Member) int { return a.Address.Compare(b.Address) })
	n.config.Logger.Info("members changed", zap.Int64("generation", generation), zap.Int("alive", len(alive)))
	n.mu.Lock()
	n.alive = alive
	n.mu.Unlock()
}

// takeOwner takes in who owns a unit.
func (n *Instance) takeOwner(r stream.Record) {
	text, released := strings.CutSuffix(string(r.Value), releasedMark)
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	n.mu.Lock()
	if !n.ownersKnown {
		n.released[r.Key] = released || address == n.self().Address
	} else if n.owners[r.Key] != address {
		n.released[r.Key] = released
	}
	n.setOwner(r.Key, address)
	n.mu.Unlock()
	select {
	case n.ownersChanged <- struct{}{}:
	default:
	}
}

// setOwner notes who owns a unit; the caller holds the lock.
func (n *Instance) setOwner(unit string, address netip.AddrPort) {
	if n.owners[unit] != address {
		n.ownedSince[unit] = n.config.Clock.Moment().Steady
	}
	n.owners[unit] = address
}

func (n *Instance) replaceOwners(all []stream.Record) {
	for _, r := range all {
		n.takeOwner(r)
	}
	n.mu.Lock()
	n.ownersKnown = true
	n.mu.Unlock()
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
	m.takeOver(ctx, now, units)
	m.level(ctx, now, units)
}

// takeOver runs the units whose owner is this instance and asks for those whose owner is gone. What is
// asked for runs here once the table says so: the log decides among instances that ask at the same time.
// The caller holds the lock.
func (m *membership) takeOver(ctx context.Context, now time.Duration, units []string) {
	n := m.instance
	successors := owners.Successors(units, n.alive, n.owners)
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
		case now > m.known+usualTTL: // who lives may have changed unheard
		case successors[unit] == n.self().Address:
			m.asked[unit] = now
			c := &candidacy{membership: m, unit: unit, owner: owner}
			go c.run(ctx)
		}
	}
}

// candidacy asks for a unit whose owner the group does not list.
type candidacy struct {
	membership *membership
	unit       string
	owner      netip.AddrPort
}

// run leaves the unit to its owner when that answers with a fresh proof: while many members join at once
// the group does not list all who live.
func (c *candidacy) run(ctx context.Context) {
	n := c.membership.instance
	if c.owner.IsValid() {
		asked, cancel := context.WithTimeout(ctx, ownsTimeout)
		defer cancel()
		answer, err := n.config.Peers.Owns(asked, c.owner, relay.Pool{Pool: c.unit})
		if err == nil && answer.Fresh {
			n.config.Logger.Info("left a unit to its owner", zap.String("unit", c.unit), zap.Stringer("owner", c.owner))
			return
		}
	}
	c.membership.announce(ctx, []owners.Offer{{Unit: c.unit, To: n.self().Address}}, "")
}

// level hands over a unit when another instance has much less to do; the caller holds the lock.
func (m *membership) level(ctx context.Context, now time.Duration, units []string) {
	n := m.instance
	if now < m.changed+balancePause || m.balanced > 0 && now < m.balanced+balancePause {
		return
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
	n.setOwner(offer.Unit, offer.To)
	n.config.Logger.Info("handing a unit over to level the load", zap.String("unit", offer.Unit), zap.Stringer("to", offer.To))
	go m.announce(ctx, []owners.Offer{offer}, "")
}

// announce writes who owns units now; it tries again until the store has it or the time is over.
func (m *membership) announce(ctx context.Context, offers []owners.Offer, mark string) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	var records []stream.Record
	for _, o := range offers {
		records = append(records, stream.Record{Key: o.Unit, Value: []byte(o.To.String() + mark)})
	}
	for ctx.Err() == nil {
		_, err := m.instance.config.Log.Append(ctx, ownerTable(), records, nil)
		if err == nil {
			return
		}
		m.instance.config.Logger.Warn("could not write who owns units", zap.Error(err))
		sleep(ctx, tryPause)
	}
}

// giveUp ends all units, hands them to others and leaves the group.
func (m *membership) giveUp(ctx context.Context) {
	n := m.instance
	defer close(n.left)
	n.mu.Lock()
	ending := n.shards
	n.shards = map[string]*owned{}
	var offers []owners.Offer
	if n.catalog != nil {
		offers = owners.Handover(n.self(), n.catalog.units(), n.alive, n.owners)
	}
	for _, o := range offers {
		n.setOwner(o.Unit, o.To)
	}
	n.mu.Unlock()
	for _, o := range ending {
		o.cancel()
		<-o.done
	}
	if len(offers) > 0 {
		m.announce(ctx, offers, releasedMark)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	if err := n.config.Groups.Leave(ctx, m.member()); err != nil {
		n.config.Logger.Warn("could not leave the group", zap.Error(err))
		return
	}
	n.config.Logger.Info("left the group", zap.Int("units", len(ending)))
}
