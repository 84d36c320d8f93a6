package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/quota"
)

// Margins around leases.
const (
	lapseMargin  = time.Minute      // the other members wait this much longer than the holder's lease lasts
	contactGrace = 10 * time.Second // a lapsed member that is still in contact learns of the lapse within this time
	minRefusals  = 3                // refused connections in a row that prove that the process has ended
)

// lease is the state of this instance's own permission to start work.
type lease struct {
	freshAt      time.Time // operators' changes made before this time have reached this instance
	directReadAt time.Time // when the log was last read to its end from the platform
	joined       bool
	lapsed       bool
	left         bool
	needsUpgrade bool // the log holds records of a newer format
	seq          int
	sentRenewals map[int]time.Time // when each renewal was proposed, by number
	renewedAt    time.Time         // when the newest logged renewal was proposed
	renewalsSeen map[id.Member]renewalSeen
}

// renewalSeen is a member's newest renewal and when it was first read here.
type renewalSeen struct {
	seq int
	at  time.Time
}

// FencedError reports that this instance must not start work for now.
type FencedError struct{ Reason string }

// Error returns the reason.
func (e FencedError) Error() string { return "this instance may start nothing: " + e.Reason }

// checkStart returns a FencedError while this instance must not start work: before it has learnt the rules, when its
// lease may have expired, and when its data centre has had no contact for longer than its hold time.
func (c *Control) checkStart(now time.Time) error {
	hold := c.tables.Rules().Hold(c.config.DataCentre)
	switch {
	case c.stage == starting:
		return FencedError{Reason: "it has not learnt the rules yet"}
	case c.lease.needsUpgrade:
		return FencedError{Reason: "the log holds records for a newer program"}
	case c.lease.lapsed:
		return FencedError{Reason: "its lease has lapsed"}
	case c.lease.joined && now.Sub(c.lease.renewedAt) > hold && !c.inContact(now):
		return FencedError{Reason: "its lease has run out"}
	case !c.lease.joined && !c.unjoinedInContact(now):
		return FencedError{Reason: "it has not joined and does not hear who lent it slots"}
	case now.Sub(c.lease.freshAt) > hold:
		return FencedError{Reason: "its data centre has heard nothing for " + hold.String()}
	}
	return nil
}

// inContact reports whether a live member has recently accepted a heartbeat of this one. That member would report a
// lapse of this one before the lapse is settled.
func (c *Control) inContact(now time.Time) bool {
	for _, r := range c.remotes {
		if now.Sub(r.lastAnswered) < c.contact() && c.tables.IsLive(r.member) {
			return true
		}
	}
	return false
}

// unjoinedInContact reports whether this instance, before it has joined, is in contact with a live member and with
// every member that lent it slots. A lender that loses contact takes the slots back.
func (c *Control) unjoinedInContact(now time.Time) bool {
	for _, partner := range c.holder.Partners() {
		r, ok := c.remotes[partner]
		if !ok || now.Sub(r.lastAnswered) >= c.contact() {
			return false
		}
	}
	return c.inContact(now)
}

// heardAllUntil returns the time up to which this instance has heard from every other data centre, directly or through
// another member. It returns zero if one was not heard or if there is no other data centre.
func (c *Control) heardAllUntil() time.Time {
	lastHeard := map[id.DataCentre]time.Time{}
	for _, r := range c.remotes {
		lastHeard[r.heartbeat.DataCentre] = latest(lastHeard[r.heartbeat.DataCentre], r.lastHeard)
		for _, dc := range r.heartbeat.ReachableDataCentres {
			lastHeard[dc] = latest(lastHeard[dc], r.lastHeard.Add(-c.contact()))
		}
	}
	var oldest time.Time
	for _, m := range c.tables.Members {
		if m.DataCentre == c.config.DataCentre || m.Lapsed {
			continue
		}
		at := lastHeard[m.DataCentre]
		if at.IsZero() {
			return at
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// updateLease joins, renews the lease, and settles with lapsed members.
func (c *Control) updateLease(now time.Time) {
	if c.tables.Version == 0 && c.lease.directReadAt.IsZero() {
		return
	}
	switch {
	case c.lease.left:
		return
	case c.lease.lapsed:
		c.rejoin()
		return
	case !c.lease.joined && c.stage != stopping:
		c.propose(now, "join", fleet.Join{
			Member: c.self, Entry: c.config.Entry, DataCentre: c.config.DataCentre, Peer: c.config.Peer,
		})
		return
	case c.lease.joined && now.Sub(c.lease.renewedAt) > c.timing.RenewInterval:
		c.renew(now)
	}
	c.settleLapsed(now)
}

// rejoin starts a new incarnation of this instance once nothing that the lapsed one started still runs.
func (c *Control) rejoin() {
	if c.stage == stopping || c.running() {
		return
	}
	c.log.Info("rejoining after the lease lapsed", zap.String("lapsed", string(c.self)))
	c.startIncarnation()
	c.refresh()
}

func (c *Control) renew(now time.Time) {
	if proposedAt, ok := c.proposedAt["renew"]; ok && now.Sub(proposedAt) < c.timing.ProposeInterval {
		return
	}
	c.lease.seq++
	c.lease.sentRenewals[c.lease.seq] = now
	c.propose(now, "renew", fleet.Renew{Member: c.self, Seq: c.lease.seq})
}

// settleLapsed proposes settlements with lapsed members whose tasks can no longer run, and the lapse of members that
// have not renewed for longer than their lease lasts.
func (c *Control) settleLapsed(now time.Time) {
	for _, lapsed := range c.tables.Unsettled(c.self) {
		renewal := c.lease.renewalsSeen[lapsed]
		if renewal.seq != lapsedSeq {
			renewal = renewalSeen{seq: lapsedSeq, at: now}
			c.lease.renewalsSeen[lapsed] = renewal
		}
		if now.Sub(renewal.at) > contactGrace+c.timing.TaskLease {
			c.propose(now, "settle "+string(lapsed), fleet.Settle{
				Member: c.self, Lapsed: lapsed, Moved: c.holder.TransfersWith(lapsed),
			})
		}
	}
	for _, name := range c.tables.Live() {
		m := c.tables.Members[name]
		renewal, ok := c.lease.renewalsSeen[name]
		if !ok || renewal.seq != m.Seq {
			c.lease.renewalsSeen[name] = renewalSeen{seq: m.Seq, at: now}
			continue
		}
		if name == c.self || !c.isFresh(now) {
			continue
		}
		if now.Sub(renewal.at) > c.tables.Rules().Hold(m.DataCentre)+lapseMargin {
			c.propose(now, "lapse "+string(name), fleet.Lapse{Member: name, Seq: m.Seq, Proof: fleet.ProofSilence})
		}
	}
}

// lapsedSeq is the sequence number of a renewalSeen that holds when a lapse was first seen.
const lapsedSeq = -1

// isFresh reports whether this instance has recently read the log to its end.
func (c *Control) isFresh(now time.Time) bool {
	return now.Sub(c.lease.directReadAt) < c.timing.LogWait+c.timing.LogTimeout
}

// recordRefusedConnections proposes the lapse of a live member whose address refused several connections in a row. A
// host that refuses connections has no process there any more, since a member listens until all its work has ended.
func (c *Control) recordRefusedConnections(now time.Time, member id.Member, refusedConnections int) {
	m, ok := c.tables.Members[member]
	if refusedConnections < minRefusals || !ok || m.Lapsed || !c.lease.joined {
		return
	}
	c.propose(now, "lapse "+string(member), fleet.Lapse{Member: member, Seq: m.Seq, Proof: fleet.ProofRefused})
}

// isRefusal reports whether a call failed because nothing listens at the address.
func isRefusal(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(op.Err, syscall.ECONNREFUSED)
}

// applyMembership updates the lease and the slot holder with one membership record.
func (c *Control) applyMembership(record fleet.Record) {
	switch r := record.(type) {
	case fleet.Join:
		if r.Member == c.self {
			c.lease.joined = true
			c.lease.renewedAt = time.Now()
		}
	case fleet.Renew:
		if r.Member == c.self {
			c.lease.renewedAt = latest(c.lease.renewedAt, c.lease.sentRenewals[r.Seq])
			delete(c.lease.sentRenewals, r.Seq)
		}
	case fleet.Leave:
		c.handleLeave(r.Member, r.Moved)
	}
	c.checkLapse()
	c.closeAccounts()
}

// checkLapse marks the lease as lapsed when the tables no longer list this member as live.
func (c *Control) checkLapse() {
	if m := c.tables.Members[c.self]; c.lease.joined && !c.lease.left && (m == nil || m.Lapsed) {
		c.lease.lapsed = true
		c.log.Error("the lease of this instance has lapsed", zap.String("member", string(c.self)))
		c.handOverTasks()
	}
}

func (c *Control) handleLeave(member id.Member, last []quota.Transfer) {
	if member == c.self {
		c.lease.left = true
		return
	}
	c.holder.CloseLeft(member, last)
	delete(c.remotes, member)
}

// closeAccounts ends the slot exchange with members whose accounts the tables have closed.
func (c *Control) closeAccounts() {
	for _, partner := range c.holder.Partners() {
		r, hasRemote := c.remotes[partner]
		_, known := c.tables.Members[partner]
		if known || hasRemote && r.unjoined {
			continue
		}
		c.holder.CloseReclaimed(partner)
		c.attempts.MarkUnknown(partner)
		c.log.Info("closed the slot account with a member", zap.String("partner", string(partner)))
	}
}
