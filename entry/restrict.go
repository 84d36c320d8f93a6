package entry

import (
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/rules"
)

// restriction is an operator's change that only takes away; it is in force here before the log has
// it, and every member that hears of it passes it on and sees that it reaches the log.
type restriction struct {
	message  peer.Restriction
	envelope fleet.Envelope
	since    time.Time // when the operator gave it, by this clock
	outs     []id.DataCentre
	logged   int64 // offset after its record, zero until the log has it
}

// passOn is how long a restriction that the log has is still told to members that have not read so far.
const passOn = time.Minute

// restrict puts an operator's record into force at once if it only takes away.
func (c *Control) restrict(now time.Time, envelope fleet.Envelope) {
	record, err := envelope.Record()
	if err != nil {
		return
	}
	edit, ok := record.(fleet.Edit)
	if !ok || !takesAway(edit) {
		return
	}
	c.hearRestriction(now, peer.Restriction{ID: envelope.ID, Edit: edit, By: envelope.By})
}

// takesAway reports whether an edit only withdraws keys and takes data centres out.
func takesAway(edit fleet.Edit) bool {
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

// hearRestriction puts a restriction into force here and passes it on.
func (c *Control) hearRestriction(now time.Time, message peer.Restriction) {
	if _, known := c.tables.Outcome(message.ID); known || c.pending[message.ID] != nil || !takesAway(message.Edit) {
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
	c.pending[message.ID] = r
	c.log.Info("a restriction is in force ahead of the log", zap.String("id", message.ID), zap.String("by", message.By))
	c.refresh()
	c.links.urge()
}

// tendRestrictions appends again what the log has not confirmed.
func (c *Control) tendRestrictions(now time.Time) {
	for name, r := range c.pending {
		if asked, ok := c.asked[name]; ok && now.Sub(asked) < c.timing.Propose {
			continue
		}
		if now.Sub(r.since) > c.timing.Propose && c.send(r.envelope) {
			c.asked[name] = now
		}
	}
}

// logged ends a restriction's own force once its record is in the tables, which carry it from here on.
func (c *Control) logged(name string) {
	if r, ok := c.pending[name]; ok {
		delete(c.pending, name)
		r.logged = c.tables.Offset
		c.passing[name] = r
	}
}

// restrictions returns what other members must hear of: what the log does not have yet, and what some
// member may not have read there.
func (c *Control) restrictions(now time.Time) []peer.Restriction {
	var messages []peer.Restriction
	for _, r := range c.pending {
		messages = append(messages, r.tell(now))
	}
	for name, r := range c.passing {
		if now.Sub(r.since) > passOn || c.allHaveRead(r.logged) {
			delete(c.passing, name)
			continue
		}
		messages = append(messages, r.tell(now))
	}
	return messages
}

func (r *restriction) tell(now time.Time) peer.Restriction {
	message := r.message
	message.Age = now.Sub(r.since)
	return message
}

// allHaveRead reports whether every live member has shown that it has read the log up to an offset.
func (c *Control) allHaveRead(offset int64) bool {
	for _, name := range c.tables.Live() {
		r, ok := c.remotes[name]
		if name != c.self && (!ok || r.heartbeat.Offset < offset) {
			return false
		}
	}
	return true
}
