package machines

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// A list of instances is read page by page and may be old, so one that lacks an instance proves little. An instance has left
// once several lists in a row lack it that were all requested after the question came up, or once the service has answered
// that there is no such instance. A later list that has the instance again takes that back.

const (
	absentLists = 3               // lists in a row that must lack an instance
	listTTL     = 2 * time.Second // age above which the newest list proves no absence
	presenceTTL = time.Minute     // how long an instance that is missing is remembered
)

// presence records which instances the lists have shown.
type presence struct {
	lists []time.Duration          // when the newest lists were requested, at most absentLists
	seen  map[string]sighting      // by instance
	none  map[string]time.Duration // by instance, when the service answered that there is no such instance
}

// sighting is the newest entry of an instance.
type sighting struct {
	at    time.Duration // when the list was requested
	entry catalog.Instance
}

func newPresence() presence {
	return presence{seen: map[string]sighting{}, none: map[string]time.Duration{}}
}

// record records a list unless it is the newest one already.
func (p *presence) record(requested time.Duration, list []catalog.Instance) {
	if len(p.lists) > 0 && requested <= p.lists[len(p.lists)-1] {
		return
	}
	p.lists = append(p.lists, requested)
	p.lists = p.lists[max(0, len(p.lists)-absentLists):]
	for _, m := range list {
		p.seen[m.Name] = sighting{at: requested, entry: m}
	}
	for name, s := range p.seen {
		if requested-s.at > presenceTTL {
			delete(p.seen, name)
		}
	}
	for name, answered := range p.none {
		if requested-answered > presenceTTL {
			delete(p.none, name)
		}
	}
}

// recordNone records that the service has answered that there is no such instance.
func (p *presence) recordNone(now time.Duration, name string) { p.none[name] = now }

// isFresh reports whether the newest list is young enough to decide on an absence.
func (p *presence) isFresh(now time.Duration) bool {
	return len(p.lists) > 0 && now-p.lists[len(p.lists)-1] <= listTTL
}

// hasLeft reports whether it is known that an instance has left the fleet, from lists that were requested after the given
// time.
func (p *presence) hasLeft(now time.Duration, name string, since time.Duration) bool {
	if !p.isFresh(now) {
		return false
	}
	seen := p.seen[name].at
	if answered, known := p.none[name]; known && answered >= max(seen, since) {
		return true
	}
	return len(p.lists) == absentLists && p.lists[0] > max(seen, since)
}

// lastSeen returns the newest entry of an instance, or nil if no list has shown it.
func (p *presence) lastSeen(name string) *catalog.Instance {
	s, known := p.seen[name]
	if !known {
		return nil
	}
	return &s.entry
}

// forgetForbidden drops what the service has forbidden for instances that have left: they may come back as others.
func (r *round) forgetForbidden() {
	for move := range r.forbidden {
		if r.presence.hasLeft(r.Now, move[0], 0) {
			delete(r.forbidden, move)
		}
	}
}

// hasLeft reports whether it is known that an instance has left the fleet, from lists that were requested after the given
// time.
func (r *round) hasLeft(name string, since time.Duration) bool {
	return r.presence.hasLeft(r.Now, name, since)
}

// mayBeDown reports whether an instance that the list lacks may be in maintenance: it was when it was last seen, or it has
// not been seen at all and is not known to have left.
func (r *round) mayBeDown(w *wave, name string) bool {
	if r.hasLeft(name, w.began) {
		return false
	}
	last := r.presence.lastSeen(name)
	return last == nil || last.State == catalog.InMaintenance
}

// listsPending reports whether a fresh list has an instance that a wave has yet to maintain.
func (r *round) listsPending(w *wave) bool {
	return r.presence.isFresh(r.Now) && slices.ContainsFunc(w.pending(), func(name string) bool { return r.byName[name] != nil && !w.left.Has(name) })
}
