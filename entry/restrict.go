package entry

import (
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/rules"
)

// restriction is an operator's change that only withdraws keys or takes data centres out. It is in force on an
// instance before the log has it. Every member that receives it forwards it and appends it to the log until the log
// has it.
type restriction struct {
	message      peer.Restriction
	envelope     fleet.Envelope
	since        time.Time // when the operator submitted it, by the local clock
	outs         []id.DataCentre
	loggedOffset int64 // offset after its record; zero until the log has it
}

// passOnTimeout is the age up to which a logged restriction is forwarded to members that may not have read it.
const passOnTimeout = time.Minute

// restrict puts an operator's record into force at once if it is a restriction.
func (c *Control) restrict(now time.Time, envelope fleet.Envelope) {
	record, err := envelope.Record()
	if err != nil {
		return
	}
	edit, ok := record.(fleet.Edit)
	if !ok || !isRestriction(edit) {
		return
	}
	c.handleRestriction(now, peer.Restriction{ID: envelope.ID, Edit: edit, By: envelope.By})
}

// isRestriction reports whether an edit only withdraws keys and takes data centres out.
func isRestriction(edit fleet.Edit) bool {
	for _, ref := range edit.Remove {
		if ref.Kind != "key" {
			return false
		}
	}
	for _, text := range edit.Set {
		lines, faults := rules.Lines(text)
		if len(faults) > 0 || len(lines) != 1 || lines[0].Kind != "out" {
			return false
		}
	}
	return len(edit.Remove)+len(edit.Set) > 0
}

// handleRestriction puts a restriction into force on this instance and forwards it with the heartbeats.
func (c *Control) handleRestriction(now time.Time, message peer.Restriction) {
	if _, known := c.tables.Outcome(message.ID); known || c.pendingRestrictions[message.ID] != nil || !isRestriction(message.Edit) {
		return
	}
	envelope, err := fleet.NewEnvelope(now, message.By, message.Edit)
	if err != nil {
		return
	}
	envelope.ID = message.ID
	r := &restriction{message: message, envelope: envelope, since: now.Add(-message.Age)}
	for _, text := range message.Edit.Set {
		if lines, _ := rules.Lines(text); len(lines) == 1 {
			r.outs = append(r.outs, id.DataCentre(lines[0].Name))
		}
	}
	c.pendingRestrictions[message.ID] = r
	c.log.Info("a restriction is in force before the log has it", zap.String("id", message.ID), zap.String("by", message.By))
	c.refresh()
	c.links.sendSoon()
}

// resendRestrictions appends restrictions again that the log has not confirmed.
func (c *Control) resendRestrictions(now time.Time) {
	for name, r := range c.pendingRestrictions {
		if proposedAt, ok := c.proposedAt[name]; ok && now.Sub(proposedAt) < c.timing.ProposeInterval {
			continue
		}
		if now.Sub(r.since) > c.timing.ProposeInterval && c.enqueueRecord(r.envelope) {
			c.proposedAt[name] = now
		}
	}
}

// markLogged removes a restriction from the pending ones once its record is in the tables, which enforce it from then
// on.
func (c *Control) markLogged(name string) {
	if r, ok := c.pendingRestrictions[name]; ok {
		delete(c.pendingRestrictions, name)
		r.loggedOffset = c.tables.Offset
		c.loggedRestrictions[name] = r
	}
}

// restrictions returns the restrictions to send to other members: those that the log has not confirmed, and logged
// ones that some member may not have read.
func (c *Control) restrictions(now time.Time) []peer.Restriction {
	var messages []peer.Restriction
	for _, r := range c.pendingRestrictions {
		messages = append(messages, r.toMessage(now))
	}
	for name, r := range c.loggedRestrictions {
		if now.Sub(r.since) > passOnTimeout || c.allHaveRead(r.loggedOffset) {
			delete(c.loggedRestrictions, name)
			continue
		}
		messages = append(messages, r.toMessage(now))
	}
	return messages
}

func (r *restriction) toMessage(now time.Time) peer.Restriction {
	message := r.message
	message.Age = now.Sub(r.since)
	return message
}

// allHaveRead reports whether the heartbeats of all other live members show that they have read the log up to an
// offset.
func (c *Control) allHaveRead(offset int64) bool {
	for _, name := range c.tables.Live() {
		r, ok := c.remotes[name]
		if name != c.self && (!ok || r.heartbeat.Offset < offset) {
			return false
		}
	}
	return true
}
