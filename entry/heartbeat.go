package entry

import (
	"net/netip"
	"sort"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/queue"
)

// remote is what this instance knows about another member.
type remote struct {
	member       id.Member
	heartbeat    peer.Heartbeat
	demands      []queue.Demand
	lastHeard    time.Time // when its newest heartbeat was received
	lastAnswered time.Time // send time of the newest heartbeat that it accepted
	unjoined     bool      // not in the tables at its newest heartbeat
}

// recordHeartbeatResult records whether the member at an address accepted a heartbeat.
func (c *Control) recordHeartbeatResult(to netip.AddrPort, sentAt time.Time, accepted bool, refusals int) {
	for _, name := range c.tables.Live() {
		if c.tables.Members[name].Peer != to {
			continue
		}
		if accepted {
			c.remote(name).lastAnswered = sentAt
		} else {
			c.recordRefusedConnections(time.Now(), name, refusals)
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
	if c.links.sendNow {
		return c.timing.Tick / 2
	}
	return c.timing.HeartbeatInterval(len(c.tables.Members), c.busy())
}

// contactHeartbeats is the number of idle heartbeat intervals without a heartbeat after which a member is out of
// contact.
const contactHeartbeats = 3

// contact returns the time without a heartbeat after which a member is out of contact. It is safe to call from any
// goroutine.
func (c *Control) contact() time.Duration { return time.Duration(c.contactTime.Load()) }

// sendHeartbeats sends the state of this instance to the other members when the heartbeat interval has passed.
func (c *Control) sendHeartbeats(now time.Time) {
	if now.Sub(c.links.sent) < c.heartbeatInterval() {
		return
	}
	c.links.sent = now
	c.links.sendNow = false
	c.sentDemands = c.demands(now)
	c.demandChanged = true
	common := peer.Heartbeat{
		Member: c.self, DataCentre: c.config.DataCentre, Address: c.config.Peer,
		Offset: c.tables.Offset, Version: c.tables.Version, Digest: c.tables.Digest,
		Age: now.Sub(c.lease.freshAt), Demands: peer.PackDemands(c.tables.Rules(), c.sentDemands), SlotRequests: c.slotRequests(now),
		Restrictions: c.restrictions(now), ReachableDataCentres: c.reachableDataCentres(now), Stopping: c.stage == stopping,
	}
	for _, target := range c.targets() {
		heartbeat := common
		if target.member != "" {
			heartbeat.Transfers = c.holder.Transferred(target.member)
			heartbeat.From, heartbeat.Records = c.missedRecords(target.member)
		}
		target.link.offer(heartbeat)
	}
}

// target is an address to send a heartbeat to, and the member there if it is known.
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

// reachableDataCentres returns the own data centre and those that heartbeats have recently come from.
func (c *Control) reachableDataCentres(now time.Time) []id.DataCentre {
	set := id.NewSet(c.config.DataCentre)
	for _, r := range c.remotes {
		if now.Sub(r.lastHeard) < c.contact() {
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

// handleHeartbeat handles a heartbeat from another member.
func (c *Control) handleHeartbeat(now time.Time, heartbeat peer.Heartbeat) {
	if heartbeat.Member == c.self {
		return
	}
	if !c.canLendTo(heartbeat.Member) {
		return
	}
	_, known := c.tables.Members[heartbeat.Member]
	r := c.remote(heartbeat.Member)
	heartbeat.SlotRequests = append([]peer.SlotRequest(nil), heartbeat.SlotRequests...)
	r.heartbeat = heartbeat
	if heartbeat.Version == c.tables.Version {
		r.demands = peer.UnpackDemands(c.tables.Rules(), heartbeat.Member, heartbeat.Demands)
	}
	r.lastHeard = now
	r.unjoined = !known
	if known {
		c.holder.Receive(heartbeat.Transfers)
	}
	for _, restriction := range heartbeat.Restrictions {
		c.handleRestriction(now, restriction)
	}
	if heartbeat.Offset == c.tables.Offset && heartbeat.Digest != c.tables.Digest && heartbeat.Version > 0 {
		c.config.Metrics.Diverged.Inc()
		c.log.Error("another member's tables differ", zap.String("with", string(heartbeat.Member)), zap.Int64("offset", heartbeat.Offset))
	}
	c.applyHeartbeatRecords(heartbeat)
	if !c.canLendTo(heartbeat.Member) {
		return
	}
	if heartbeat.Offset <= c.tables.Offset {
		c.lease.freshAt = latest(c.lease.freshAt, now.Add(-heartbeat.Age))
	}
	c.pullIfBehind(now, heartbeat)
	c.transferSlots(heartbeat)
	c.demandChanged = true
}

// transferSlots transfers idle slots to a member that asked for some. A member that has not joined transfers nothing.
// A member that is leaving returns all slots to the ledger instead.
func (c *Control) transferSlots(heartbeat peer.Heartbeat) {
	if !c.canLend() {
		return
	}
	for _, request := range heartbeat.SlotRequests {
		if c.holder.Transfer(heartbeat.Member, request.Team, request.Count, c.countWaiting(request.Team)) > 0 {
			c.links.sendSoon()
		}
	}
}

// yieldSlot transfers an idle slot of a team to the member with the longest-waiting request, if that request has
// waited longer than any on this instance. Otherwise a member with continuous work would keep its slots forever.
func (c *Control) yieldSlot(now time.Time, team id.Team) {
	if !c.canLend() || c.holder.Idle(team) == 0 {
		return
	}
	longest := c.oldestWait(now, team)
	var to *remote
	var request *peer.SlotRequest
	for _, r := range c.remotes {
		if now.Sub(r.lastHeard) > c.contact() || !c.canLendTo(r.member) {
			continue
		}
		for i := range r.heartbeat.SlotRequests {
			wanted := &r.heartbeat.SlotRequests[i]
			if age := wanted.Oldest + now.Sub(r.lastHeard); wanted.Team == team && wanted.Count > 0 && age > longest {
				longest, to, request = age, r, wanted
			}
		}
	}
	if to != nil && c.holder.Transfer(to.member, team, 1, 0) > 0 {
		request.Count--
		c.links.sendSoon()
	}
}

// canLend reports whether this instance may transfer slots to other members.
func (c *Control) canLend() bool {
	return c.lease.joined && !c.lease.lapsed && c.stage != stopping
}

// canLendTo reports whether slots may be transferred to a member: a live member, or one that the log does not know
// yet. Slots transferred to a lapsed or ended member would be lost, since its account is closed.
func (c *Control) canLendTo(member id.Member) bool {
	m, known := c.tables.Members[member]
	if known {
		return !m.Lapsed
	}
	return !c.tables.HasEnded(member)
}

// oldestWait returns the wait of the oldest waiting request of a team on this instance.
func (c *Control) oldestWait(now time.Time, team id.Team) time.Duration {
	var age time.Duration
	for _, p := range c.pools {
		if at, ok := p.waitQueue.Oldest(team); ok {
			age = max(age, now.Sub(at))
		}
	}
	return age
}

// slotRequests returns the requests for the limit slots that this instance lacks for its waiting requests.
func (c *Control) slotRequests(now time.Time) []peer.SlotRequest {
	var requests []peer.SlotRequest
	for _, team := range c.tables.Rules().Teams {
		if n := min(c.missingSlots[team.Name], c.countWaiting(team.Name)); n > 0 {
			requests = append(requests, peer.SlotRequest{Team: team.Name, Count: n, Oldest: c.oldestWait(now, team.Name)})
		}
	}
	return requests
}

// removeUnknownRemotes removes unknown members that are out of contact. It takes back the slots lent to a member that
// never joined once that member can no longer start work and its tasks have ended.
func (c *Control) removeUnknownRemotes(now time.Time) {
	for name, r := range c.remotes {
		_, known := c.tables.Members[name]
		silent := now.Sub(r.lastHeard)
		if known || silent < c.contact() {
			continue
		}
		if !r.unjoined || silent > c.contact()+contactGrace+c.timing.TaskLease {
			if r.unjoined {
				c.holder.RevertTransfers(name)
			}
			delete(c.remotes, name)
		}
	}
}

// reportTransfers reports received slots to the ledger and returns slots above a lowered limit.
func (c *Control) reportTransfers(now time.Time) {
	if !c.lease.joined || c.lease.lapsed || c.lease.left {
		return
	}
	returned := c.holder.ReturnExcess()
	hasUnreported := false
	for _, total := range returned {
		account := c.tables.Ledger.Teams[total.Team]
		hasUnreported = hasUnreported || account != nil && account.Returned[c.self] < total.Total
	}
	if hasUnreported {
		c.propose(now, "return", fleet.Exchange{Member: c.self, Returned: returned, Moved: c.holder.Received()})
		return
	}
	if proposedAt, ok := c.proposedAt["exchange"]; ok && now.Sub(proposedAt) < c.timing.RenewInterval/4 {
		return
	}
	if c.hasUnreportedTransfers() {
		c.propose(now, "exchange", fleet.Exchange{Member: c.self, Moved: c.holder.Received()})
	}
}

// hasUnreportedTransfers reports whether the ledger lacks slots that this instance received.
func (c *Control) hasUnreportedTransfers() bool {
	for _, m := range c.holder.Received() {
		if c.tables.Ledger.Reported(m) < m.Total {
			return true
		}
	}
	return false
}
