package entry

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/queue"
)

// remote is what this instance knows of another member.
type remote struct {
	member    id.Member
	heartbeat peer.Heartbeat
	demands   []queue.Demand
	heard     time.Time // newest heartbeat from it
	answered  time.Time // newest heartbeat of ours that it took
	guest     bool      // not in the tables when it was last heard
}

// link sends heartbeats to one address, the newest one first and never more than one at a time.
type link struct {
	to       netip.AddrPort
	box      chan peer.Heartbeat // holds the newest heartbeat that waits
	refusals int
	control  *Control
}

// links holds a link for every address that members are known at.
type links struct {
	control *Control
	mu      sync.Mutex
	table   map[netip.AddrPort]*link
	ctx     context.Context
	group   *errgroup.Group
	sent    time.Time
	urged   bool // something should be told at once
}

func newLinks(c *Control) links { return links{control: c, table: map[netip.AddrPort]*link{}} }

// start lets links run in a group until the context ends.
func (l *links) start(ctx context.Context, group *errgroup.Group) {
	l.mu.Lock()
	l.ctx = ctx
	l.group = group
	l.mu.Unlock()
	for _, seed := range l.control.config.Seeds {
		l.get(seed)
	}
}

// urge sends the next heartbeat at once.
func (l *links) urge() { l.urged = true }

// get returns the link to an address, starting it if need be, or nil for the own address.
func (l *links) get(to netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to == l.control.config.Peer || !to.IsValid() || l.group == nil {
		return nil
	}
	found, ok := l.table[to]
	if !ok {
		found = &link{to: to, box: make(chan peer.Heartbeat, 1), control: l.control}
		l.table[to] = found
		l.group.Go(func() error { return found.loop(l.ctx) })
	}
	return found
}

// addresses returns every address that members are known at, in order.
func (l *links) addresses() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(l.table))
	for to := range l.table {
		list = append(list, to)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Compare(list[j]) < 0 })
	return list
}

// loop sends heartbeats until the context ends.
func (l *link) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case heartbeat := <-l.box:
			l.send(ctx, heartbeat)
		}
	}
}

func (l *link) send(ctx context.Context, heartbeat peer.Heartbeat) {
	c := l.control
	call, cancel := context.WithTimeout(ctx, c.contact()/2)
	defer cancel()
	asked := time.Now()
	err := c.config.Peers.Heartbeat(call, l.to, heartbeat)
	switch {
	case err == nil:
		l.refusals = 0
	case isRefusal(err):
		l.refusals++
	default:
		l.refusals = 0
	}
	count := l.refusals
	c.post(func() { c.recordHeartbeatResult(l.to, asked, err == nil, count) })
}

// recordHeartbeatResult records how a heartbeat to an address went.
func (c *Control) recordHeartbeatResult(to netip.AddrPort, asked time.Time, taken bool, refusals int) {
	for _, name := range c.tables.Live() {
		if c.tables.Members[name].Peer != to {
			continue
		}
		if taken {
			c.remote(name).answered = asked
		} else {
			c.refused(time.Now(), name, refusals)
		}
	}
}

func (c *Control) remote(member id.Member) *remote {
	r, ok := c.remotes[member]
	if !ok {
		r = &remote{member: member}
		c.remotes[member] = r
	}
	return r
}

// heartbeatInterval returns the time until the next heartbeat.
func (c *Control) heartbeatInterval() time.Duration {
	if c.links.urged {
		return c.timing.Tick / 2
	}
	return c.timing.HeartbeatInterval(len(c.tables.Members), c.busy())
}

// contactHeartbeats is how many idle heartbeats may be missed before a member is out of contact.
const contactHeartbeats = 3

// contact returns the time after which a member that is not heard is out of contact. Traffic asks too.
func (c *Control) contact() time.Duration { return time.Duration(c.contactTime.Load()) }

// sendHeartbeats tells the other members how things stand, when there is something to tell or it is time.
func (c *Control) sendHeartbeats(now time.Time) {
	if now.Sub(c.links.sent) < c.heartbeatInterval() {
		return
	}
	c.links.sent = now
	c.links.urged = false
	c.sentDemands = c.demands(now)
	c.dirty = true
	common := peer.Heartbeat{
		Member: c.self, DataCentre: c.config.DataCentre, Address: c.config.Peer,
		Offset: c.tables.Offset, Version: c.tables.Version, Digest: c.tables.Digest,
		Age: now.Sub(c.lease.fresh), Demands: peer.Pack(c.tables.Rules(), c.sentDemands), Wants: c.wants(now),
		Restrictions: c.restrictions(now), ReachableDataCentres: c.reachableDataCentres(now), Stopping: c.stage == stopping,
	}
	for _, target := range c.targets() {
		heartbeat := common
		if target.member != "" {
			heartbeat.Transfers = c.holder.Transferred(target.member)
			heartbeat.From, heartbeat.Records = c.missed(target.member)
		}
		target.link.offer(heartbeat)
	}
}

// offer leaves a heartbeat for sending in place of an older one.
func (l *link) offer(heartbeat peer.Heartbeat) {
	select {
	case <-l.box:
	default:
	}
	select {
	case l.box <- heartbeat:
	default:
	}
}

// target is an address to send a heartbeat to, and the member there if one is known.
type target struct {
	member id.Member
	link   *link
}

func (c *Control) targets() []target {
	byAddress := map[netip.AddrPort]id.Member{}
	for _, seed := range c.config.Seeds {
		byAddress[seed] = ""
	}
	for _, r := range c.remotes {
		byAddress[r.heartbeat.Address] = r.member
	}
	for _, name := range c.tables.Live() {
		byAddress[c.tables.Members[name].Peer] = name
	}
	var targets []target
	for to, member := range byAddress {
		if l := c.links.get(to); l != nil {
			targets = append(targets, target{member: member, link: l})
		}
	}
	return targets
}

// reachableDataCentres returns the data centres that heartbeats have recently come from.
func (c *Control) reachableDataCentres(now time.Time) []id.DataCentre {
	set := id.NewSet(c.config.DataCentre)
	for _, r := range c.remotes {
		if now.Sub(r.heard) < c.contact() {
			set.Add(r.heartbeat.DataCentre)
		}
	}
	list := make([]id.DataCentre, 0, len(set))
	for dc := range set {
		list = append(list, dc)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// handleHeartbeat takes in what another member tells.
func (c *Control) handleHeartbeat(now time.Time, heartbeat peer.Heartbeat) {
	if heartbeat.Member == c.self {
		return
	}
	if !c.mayLend(heartbeat.Member) {
		return
	}
	_, known := c.tables.Members[heartbeat.Member]
	r := c.remote(heartbeat.Member)
	heartbeat.Wants = append([]peer.Want(nil), heartbeat.Wants...)
	r.heartbeat = heartbeat
	if heartbeat.Version == c.tables.Version {
		r.demands = peer.Unpack(c.tables.Rules(), heartbeat.Member, heartbeat.Demands)
	}
	r.heard = now
	r.guest = !known
	if known {
		c.holder.Receive(heartbeat.Transfers)
	}
	for _, restriction := range heartbeat.Restrictions {
		c.hearRestriction(now, restriction)
	}
	if heartbeat.Offset == c.tables.Offset && heartbeat.Digest != c.tables.Digest && heartbeat.Version > 0 {
		c.config.Metrics.Diverged.Inc()
		c.log.Error("another member's tables differ", zap.String("with", string(heartbeat.Member)), zap.Int64("offset", heartbeat.Offset))
	}
	c.takeRecords(heartbeat)
	if !c.mayLend(heartbeat.Member) {
		return
	}
	if heartbeat.Offset <= c.tables.Offset {
		c.lease.fresh = later(c.lease.fresh, now.Add(-heartbeat.Age))
	}
	c.follow(now, heartbeat)
	c.transferSlots(heartbeat)
	c.dirty = true
}

// transferSlots transfers idle slots to a member that wants some. A member that has not joined yet gives nothing,
// and one that is leaving gives everything back to the ledger instead.
func (c *Control) transferSlots(heartbeat peer.Heartbeat) {
	if !c.lends() {
		return
	}
	for _, want := range heartbeat.Wants {
		if c.holder.Transfer(heartbeat.Member, want.Team, want.Count, c.waiting(want.Team)) > 0 {
			c.links.urge()
		}
	}
}

// yield hands an idle slot of a team to the member whose request has waited longest for one, if it has
// waited longer than any here: without it, slots would stay where work never ceases.
func (c *Control) yield(now time.Time, team id.Team) {
	if !c.lends() || c.holder.Idle(team) == 0 {
		return
	}
	longest := c.oldest(now, team)
	var to *remote
	var want *peer.Want
	for _, r := range c.remotes {
		if now.Sub(r.heard) > c.contact() || !c.mayLend(r.member) {
			continue
		}
		for i := range r.heartbeat.Wants {
			w := &r.heartbeat.Wants[i]
			if age := w.Oldest + now.Sub(r.heard); w.Team == team && w.Count > 0 && age > longest {
				longest, to, want = age, r, w
			}
		}
	}
	if to != nil && c.holder.Transfer(to.member, team, 1, 0) > 0 {
		want.Count--
		c.links.urge()
	}
}

// lends reports whether this instance may hand slots to others.
func (c *Control) lends() bool {
	return c.lease.joined && !c.lease.lapsed && c.stage != stopping
}

// mayLend reports whether slots may be handed to a member: one that is live, or that the log does not
// know yet. What is handed to one that has lapsed or ended would be lost, since its account is closed.
func (c *Control) mayLend(member id.Member) bool {
	m, known := c.tables.Members[member]
	if known {
		return !m.Lapsed
	}
	return !c.tables.HasEnded(member)
}

// oldest returns the age of the oldest request of a team that waits here.
func (c *Control) oldest(now time.Time, team id.Team) time.Duration {
	var age time.Duration
	for _, p := range c.pools {
		if at, ok := p.line.Oldest(team); ok {
			age = max(age, now.Sub(at))
		}
	}
	return age
}

// wants returns the slots of limits that waiting work of this instance has room for but lacks.
func (c *Control) wants(now time.Time) []peer.Want {
	var wants []peer.Want
	for _, team := range c.tables.Rules().Teams {
		if n := min(c.wanting[team.Name], c.waiting(team.Name)); n > 0 {
			wants = append(wants, peer.Want{Team: team.Name, Count: n, Oldest: c.oldest(now, team.Name)})
		}
	}
	return wants
}

// tendRemotes forgets members that have not been heard for long, and takes back what was handed to
// one that never joined and whose right to start work has ended.
func (c *Control) tendRemotes(now time.Time) {
	for name, r := range c.remotes {
		_, known := c.tables.Members[name]
		silent := now.Sub(r.heard)
		if known || silent < c.contact() {
			continue
		}
		if !r.guest || silent > c.contact()+contactGrace+c.timing.TaskLease {
			if r.guest {
				c.holder.RevertTransfers(name)
			}
			delete(c.remotes, name)
		}
	}
}

// tendExchange reports what this instance received and gives back slots above a lowered limit.
func (c *Control) tendExchange(now time.Time) {
	if !c.lease.joined || c.lease.lapsed || c.lease.left {
		return
	}
	returned := c.holder.ReturnExcess()
	fresh := false
	for _, total := range returned {
		account := c.tables.Ledger.Teams[total.Team]
		fresh = fresh || account != nil && account.Returned[c.self] < total.Total
	}
	if fresh {
		c.propose(now, "return", fleet.Exchange{Member: c.self, Returned: returned, Moved: c.holder.Received()})
		return
	}
	if asked, ok := c.asked["exchange"]; ok && now.Sub(asked) < c.timing.Renew/4 {
		return
	}
	if c.unreported() {
		c.propose(now, "exchange", fleet.Exchange{Member: c.self, Moved: c.holder.Received()})
	}
}

// unreported reports whether slots were received that the ledger does not know of.
func (c *Control) unreported() bool {
	for _, m := range c.holder.Received() {
		if c.tables.Ledger.Reported(m) < m.Total {
			return true
		}
	}
	return false
}
