package fleet

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"marigoldshed.example/marigoldshed/common/id"
)

// maxSuccessors bounds the ended members whose tasks the tables can still trace.
const maxSuccessors = 256

// Successor says which member answers for the tasks of one that has ended.
type Successor struct {
	Ended     id.Member `json:"ended"`
	Successor id.Member `json:"successor"`
}

// Owner returns the member that answers for tasks which a member took, and whether there is one.
func (t *Tables) Owner(member id.Member) (id.Member, bool) {
	if t.IsLive(member) {
		return member, true
	}
	for _, s := range t.Successors {
		if s.Ended == member {
			return s.Successor, t.IsLive(s.Successor)
		}
	}
	return "", false
}

// HasEnded reports whether a member has left or lapsed and its accounts are closed.
func (t *Tables) HasEnded(member id.Member) bool {
	for _, s := range t.Successors {
		if s.Ended == member {
			return true
		}
	}
	return false
}

// Inherited returns the ended members whose tasks fall to a member.
func (t *Tables) Inherited(successor id.Member) []id.Member {
	var ended []id.Member
	for _, s := range t.Successors {
		if s.Successor == successor {
			ended = append(ended, s.Ended)
		}
	}
	return ended
}

// assignSuccessor gives the tasks of a member that has ended, and those that it had inherited, to a live
// one; with none alive they wait for the next that joins.
func (t *Tables) assignSuccessor(ended id.Member) {
	t.Successors = append(t.Successors, Successor{Ended: ended})
	if len(t.Successors) > maxSuccessors {
		t.Successors = t.Successors[len(t.Successors)-maxSuccessors:]
	}
	t.settleSuccessors()
}

// settleSuccessors finds a live successor for every ended member that has none.
func (t *Tables) settleSuccessors() {
	live := t.Live()
	if len(live) == 0 {
		return
	}
	names := make([]string, 0, len(live))
	for _, name := range live {
		names = append(names, string(name))
	}
	var ring *rendezvous.Rendezvous
	for i, s := range t.Successors {
		if t.Members[s.Successor] != nil {
			continue
		}
		if ring == nil {
			ring = rendezvous.New(names, xxhash.Sum64String)
		}
		t.Successors[i].Successor = id.Member(ring.Lookup(string(s.Ended)))
	}
}
