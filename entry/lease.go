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
	lapseMargin  = time.Minute      // others wait so much longer than the holder
	contactGrace = 10 * time.Second // a lapsed member that is still heard learns of it within this time
	refusals     = 3                // refused connections in a row that prove a process has ended
)

// lease is what an instance knows of its own right to start work.
type lease struct {
	fresh   time.Time // up to when an operator's word would have reached this instance
	direct  time.Time // newest read of the whole log from the platform itself
	joined  bool
	lapsed  bool
	left    bool
	frozen  bool // the log holds records that this program does not understand
	seq     int
	sent    map[int]time.Time // when each renewal was proposed
	renewed time.Time         // when the newest renewal that the log holds was proposed
	seqs    map[id.Member]seen
}

// seen is when a member's newest renewal was first read here.
type seen struct {
	seq int
	at  time.Time
}

// FencedError reports that this instance may start nothing for now.
type FencedError struct{ Reason string }

// Error returns the reason.
func (e FencedError) Error() string { return "this instance may start nothing: " + e.Reason }

// mayStart returns a FencedError while this instance must not start work: before it has learnt the
// rules, when its lease may have lapsed, and when its data centre has heard nothing for too long.
func (c *Control) mayStart(now time.Time) error {
	hold := c.tables.Rules().Hold(c.config.DataCentre)
	switch {
	case c.stage == starting:
		return FencedError{Reason: "it has not learnt the rules yet"}
	case c.lease.frozen:
		return FencedError{Reason: "the log holds records for a newer program"}
	case c.lease.lapsed:
		return FencedError{Reason: "its lease has lapsed"}
	case c.lease.joined && now.Sub(c.lease.renewed) > hold && !c.inContact(now):
		return FencedError{Reason: "its lease has run out"}
	case !c.lease.joined && !c.guestInContact(now):
		return FencedError{Reason: "it has not joined and does not hear who lent it slots"}
	case now.Sub(c.lease.fresh) > hold:
		return FencedError{Reason: "its data centre has heard nothing for " + hold.String()}
	}
	return nil
}

// inContact reports whether a live member has answered this one of late; it would tell of a lapse
// before it settles.
func (c *Control) inContact(now time.Time) bool {
	for _, r := range c.remotes {
		if now.Sub(r.answered) < c.contact() && c.tables.IsLive(r.member) {
			return true
		}
	}
	return false
}

// guestInContact reports whether a member that the log does not know yet hears a live member and
// every one that lent it slots; a lender that does not hear from it takes them back.
func (c *Control) guestInContact(now time.Time) bool {
	for _, partner := range c.holder.Partners() {
		r, ok := c.remotes[partner]
		if !ok || now.Sub(r.answered) >= c.contact() {
			return false
		}
	}
	return c.inContact(now)
}

// heardAll returns the time up to which this instance has heard every other data centre, itself or
// through another; zero when it has not, or when there is no other.
func (c *Control) heardAll() time.Time {
	heard := map[id.DataCentre]time.Time{}
	for _, r := range c.remotes {
		heard[r.heartbeat.DataCentre] = later(heard[r.heartbeat.DataCentre], r.heard)
		for _, dc := range r.heartbeat.ReachableDataCentres {
			heard[dc] = later(heard[dc], r.heard.Add(-c.contact()))
		}
	}
	var oldest time.Time
	for _, m := range c.tables.Members {
		if m.DataCentre == c.config.DataCentre || m.Lapsed {
			continue
		}
		at := heard[m.DataCentre]
		if at.IsZero() {
			return at
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// tendLease joins, renews, and settles with members that have lapsed.
func (c *Control) tendLease(now time.Time) {
	if c.tables.Version == 0 && c.lease.direct.IsZero() {
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
	case c.lease.joined && now.Sub(c.lease.renewed) > c.timing.Renew:
		c.renew(now)
	}
	c.tendLapsed(now)
}

// rejoin starts another life of this instance once nothing that the lapsed one started can run.
func (c *Control) rejoin() {
	if c.stage == stopping || c.running() {
		return
	}
	c.log.Info("joining anew", zap.String("lapsed", string(c.self)))
	c.begin()
	c.refresh()
}

func (c *Control) renew(now time.Time) {
	if asked, ok := c.asked["renew"]; ok && now.Sub(asked) < c.timing.Propose {
		return
	}
	c.lease.seq++
	c.lease.sent[c.lease.seq] = now
	c.propose(now, "renew", fleet.Renew{Member: c.self, Seq: c.lease.seq})
}

// tendLapsed settles with lapsed members when no task of theirs can still run, and proposes the
// lapse of those that have not renewed for longer than they may go on.
func (c *Control) tendLapsed(now time.Time) {
	for _, lapsed := range c.tables.Unsettled(c.self) {
		since := c.lease.seqs[lapsed]
		if since.seq != lapsedSeq {
			since = seen{seq: lapsedSeq, at: now}
			c.lease.seqs[lapsed] = since
		}
		if now.Sub(since.at) > contactGrace+c.timing.TaskLease {
			c.propose(now, "settle "+string(lapsed), fleet.Settle{
				Member: c.self, Lapsed: lapsed, Moved: c.holder.Exchanged(lapsed),
			})
		}
	}
	for _, name := range c.tables.Live() {
		m := c.tables.Members[name]
		since, ok := c.lease.seqs[name]
		if !ok || since.seq != m.Seq {
			c.lease.seqs[name] = seen{seq: m.Seq, at: now}
			continue
		}
		if name == c.self || !c.isFresh(now) {
			continue
		}
		if now.Sub(since.at) > c.tables.Rules().Hold(m.DataCentre)+lapseMargin {
			c.propose(now, "lapse "+string(name), fleet.Lapse{Member: name, Seq: m.Seq, Proof: fleet.ProofSilence})
		}
	}
}

// lapsedSeq marks the time since which a member is known to have lapsed.
const lapsedSeq = -1

// isFresh reports whether the tables rest on a recent read of the log.
func (c *Control) isFresh(now time.Time) bool {
	return now.Sub(c.lease.direct) < c.timing.LogWait+c.timing.LogTimeout
}

// refused counts connections that the address of a live member refused: a host that refuses has no
// process there any more, since a member listens until all its work has ended.
func (c *Control) refused(now time.Time, member id.Member, count int) {
	m, ok := c.tables.Members[member]
	if count < refusals || !ok || m.Lapsed || !c.lease.joined {
		return
	}
	c.propose(now, "lapse "+string(member), fleet.Lapse{Member: member, Seq: m.Seq, Proof: fleet.ProofRefused})
}

// isRefusal reports whether a call failed because nothing listens at the address.
func isRefusal(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(op.Err, syscall.ECONNREFUSED)
}

// followMembers brings the lease and the holder up to date with one record of membership.
func (c *Control) followMembers(record fleet.Record) {
	switch r := record.(type) {
	case fleet.Join:
		if r.Member == c.self {
			c.lease.joined = true
			c.lease.renewed = time.Now()
		}
	case fleet.Renew:
		if r.Member == c.self {
			c.lease.renewed = later(c.lease.renewed, c.lease.sent[r.Seq])
			delete(c.lease.sent, r.Seq)
		}
	case fleet.Leave:
		c.leaveAccounts(r.Member, r.Moved)
	}
	c.followLapse()
	c.closeAccounts()
}

// followLapse notes that this member has lapsed.
func (c *Control) followLapse() {
	if m := c.tables.Members[c.self]; c.lease.joined && !c.lease.left && (m == nil || m.Lapsed) {
		c.lease.lapsed = true
		c.log.Error("the lease of this instance has lapsed", zap.String("member", string(c.self)))
		c.handOver()
	}
}

func (c *Control) leaveAccounts(member id.Member, last []quota.Transfer) {
	if member == c.self {
		c.lease.left = true
		return
	}
	c.holder.CloseLeft(member, last)
	delete(c.remotes, member)
}

// closeAccounts ends the exchange with members whose accounts the tables have closed.
func (c *Control) closeAccounts() {
	for _, partner := range c.holder.Partners() {
		r, heard := c.remotes[partner]
		_, known := c.tables.Members[partner]
		if known || heard && r.guest {
			continue
		}
		c.holder.CloseReclaimed(partner)
		c.attempts.MarkUnknown(partner)
		c.log.Info("the account with a member is closed", zap.String("partner", string(partner)))
	}
}
