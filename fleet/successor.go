package fleet

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"marigoldshed.example/marigoldshed/common/id"
)

// maxSuccessors limits for how many ended members the tables keep the successor of their tasks.
const maxSuccessors = 256

// Successor names the live member that is responsible for the tasks of an ended member.
type Successor struct {
	Ended     id.Member `json:"ended"`
	Successor id.Member `json:"successor"`
}

// Owner returns the live member that is responsible for the tasks that a member accepted, and whether there is one.
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

// HasEnded reports whether a member has left or its lease has expired, and its accounts are closed.
func (t *Tables) HasEnded(member id.Member) bool {
	for _, s := range t.Successors {
		if s.Ended == member {
			return true
		}
	}
	return false
}

// Predecessors returns the ended members whose tasks a member is responsible for.
func (t *Tables) Predecessors(successor id.Member) []id.Member {
	var ended []id.Member
	for _, s := range t.Successors {
		if s.Successor == successor {
			ended = append(ended, s.Ended)
		}
	}
	return ended
}

// assignSuccessor assigns the tasks of an ended member, and those that it had inherited, to a live
// member; if no member is live, they stay unassigned until the next member joins.
func (t *Tables) assignSuccessor(ended id.Member) {
	t.Successors = append(t.Successors, Successor{Ended: ended})
	if len(t.Successors) > maxSuccessors {
		t.Successors = t.Successors[len(t.Successors)-maxSuccessors:]
	}
	t.assignMissingSuccessors()
}

// assignMissingSuccessors assigns a live successor to every ended member that has none.
func (t *Tables) assignMissingSuccessors() {
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
