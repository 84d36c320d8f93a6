package fleet

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"marigoldshed.example/marigoldshed/common/id"
)

// maxHeirs bounds the ended members whose tasks the tables can still trace.
const maxHeirs = 256

// Heir says which member answers for the tasks of one that has ended.
type Heir struct {
	Ended id.Member `json:"ended"`
	Heir  id.Member `json:"heir"`
}

// Owner returns the member that answers for tasks which a member took, and whether there is one.
func (t *Tables) Owner(member id.Member) (id.Member, bool) {
	if t.IsLive(member) {
		return member, true
	}
	for _, h := range t.Heirs {
		if h.Ended == member {
			return h.Heir, t.IsLive(h.Heir)
		}
	}
	return "", false
}

// HasEnded reports whether a member has left or lapsed and its accounts are closed.
func (t *Tables) HasEnded(member id.Member) bool {
	for _, h := range t.Heirs {
		if h.Ended == member {
			return true
		}
	}
	return false
}

// Inherited returns the ended members whose tasks fall to a member.
func (t *Tables) Inherited(heir id.Member) []id.Member {
	var ended []id.Member
	for _, h := range t.Heirs {
		if h.Heir == heir {
			ended = append(ended, h.Ended)
		}
	}
	return ended
}

// bequeath gives the tasks of a member that has ended, and those that it had inherited, to a live
// one; with none alive they wait for the next that joins.
func (t *Tables) bequeath(ended id.Member) {
	t.Heirs = append(t.Heirs, Heir{Ended: ended})
	if len(t.Heirs) > maxHeirs {
		t.Heirs = t.Heirs[len(t.Heirs)-maxHeirs:]
	}
	t.settleHeirs()
}

// settleHeirs finds a live heir for every ended member that has none.
func (t *Tables) settleHeirs() {
	live := t.Live()
	if len(live) == 0 {
		return
	}
	names := make([]string, 0, len(live))
	for _, name := range live {
		names = append(names, string(name))
	}
	var ring *rendezvous.Rendezvous
	for i, h := range t.Heirs {
		if t.Members[h.Heir] != nil {
			continue
		}
		if ring == nil {
			ring = rendezvous.New(names, xxhash.Sum64String)
		}
		t.Heirs[i].Heir = id.Member(ring.Lookup(string(h.Ended)))
	}
}
