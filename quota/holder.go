package quota

import (
	"fmt"
	"sort"

	"marigoldshed.example/marigoldshed/common/id"
)

// LimitError reports that a member has no free slot of a team's upper limit.
type LimitError struct {
	Team         id.Team
	Own, Running int // slots
}

// Error returns the team and its numbers.
func (e LimitError) Error() string {
	return fmt.Sprintf("team %s: %d of %d slots of this instance are in use", e.Team, e.Running, e.Own)
}

// Holder keeps one member's slots of every team's upper limit.
type Holder struct {
	self   id.Member
	slices map[id.Team]*slice
}

// slice is one member's part of one team's limit; its issued, returned, transferred and received totals only grow.
type slice struct {
	issued        int
	returned      int
	running       int
	excess        int
	transferred   map[id.Member]int
	received      map[id.Member]int
	closedBalance int // net slots received from members whose accounts are closed
}

// NewHolder returns a holder without slots.
func NewHolder(self id.Member) *Holder {
	return &Holder{self: self, slices: map[id.Team]*slice{}}
}

func (h *Holder) slice(team id.Team) *slice {
	s, ok := h.slices[team]
	if !ok {
		s = &slice{transferred: map[id.Member]int{}, received: map[id.Member]int{}}
		h.slices[team] = s
	}
	return s
}

func (s *slice) owned() int {
	own := s.issued - s.returned + s.closedBalance
	for _, n := range s.transferred {
		own -= n
	}
	for _, n := range s.received {
		own += n
	}
	return own
}

// Own returns how many slots of a team the member owns.
func (h *Holder) Own(team id.Team) int { return h.slice(team).owned() }

// Running returns how many slots of a team are in use here.
func (h *Holder) Running(team id.Team) int { return h.slice(team).running }

// Idle returns how many free slots of a team this member may use; it is 0 while the limit is exceeded.
func (h *Holder) Idle(team id.Team) int {
	s := h.slice(team)
	if s.excess > 0 {
		return 0
	}
	return max(0, s.owned()-s.running)
}

// Acquire marks one slot as in use; it fails with LimitError when no slot is idle.
func (h *Holder) Acquire(team id.Team) error {
	s := h.slice(team)
	if h.Idle(team) == 0 {
		return LimitError{Team: team, Own: s.owned(), Running: s.running}
	}
	s.running++
	return nil
}

// Release releases one slot that was in use.
func (h *Holder) Release(team id.Team) {
	s := h.slice(team)
	if s.running > 0 {
		s.running--
	}
}

// Sync copies from the ledger the slots issued to this member and the slots above a lowered limit.
func (h *Holder) Sync(l *Ledger) {
	for team, account := range l.Teams {
		s := h.slice(team)
		s.issued = max(s.issued, account.Issued[h.self])
		s.excess = account.Excess()
	}
}

// ReturnExcess returns idle slots of every team whose limit was lowered below what members hold to the
// ledger; its result is the totals ever returned.
func (h *Holder) ReturnExcess() []ReturnedTotal {
	var sums []ReturnedTotal
	for _, team := range h.teams() {
		s := h.slices[team]
		n := min(s.excess, s.owned()-s.running)
		if n > 0 {
			s.returned += n
		}
		if s.returned > 0 {
			sums = append(sums, ReturnedTotal{Team: team, Total: s.returned})
		}
	}
	return sums
}

// Transfer moves up to n idle slots to another member and returns their number. It transfers at most half,
// rounded up, of the idle slots that this member's own waiting work does not need.
func (h *Holder) Transfer(to id.Member, team id.Team, n, waiting int) int {
	spare := h.Idle(team) - waiting
	n = min(n, (spare+1)/2)
	if n <= 0 || to == h.self {
		return 0
	}
	h.slice(team).transferred[to] += n
	return n
}

// Transferred returns the totals ever transferred to a member.
func (h *Holder) Transferred(to id.Member) []Transfer {
	var sums []Transfer
	for _, team := range h.teams() {
		if n := h.slices[team].transferred[to]; n > 0 {
			sums = append(sums, Transfer{From: h.self, To: to, Team: team, Total: n})
		}
	}
	return sums
}

// Received returns the totals ever received from each member.
func (h *Holder) Received() []Transfer {
	var sums []Transfer
	for _, team := range h.teams() {
		for _, from := range sortedMembers(h.slices[team].received) {
			sums = append(sums, Transfer{From: from, To: h.self, Team: team, Total: h.slices[team].received[from]})
		}
	}
	return sums
}

// Receive applies totals that a member reports to have transferred; a total that is not larger changes nothing.
func (h *Holder) Receive(sums []Transfer) {
	for _, m := range sums {
		if m.To != h.self || m.From == h.self {
			continue
		}
		s := h.slice(m.Team)
		s.received[m.From] = max(s.received[m.From], m.Total)
	}
}

// Exchanged returns every total transferred to or received from one member.
func (h *Holder) Exchanged(with id.Member) []Transfer {
	sums := h.Transferred(with)
	for _, m := range h.Received() {
		if m.From == with {
			sums = append(sums, m)
		}
	}
	return sums
}

// AllTransfers returns every total transferred to or received from any member.
func (h *Holder) AllTransfers() []Transfer {
	sums := h.Received()
	for _, team := range h.teams() {
		for _, to := range sortedMembers(h.slices[team].transferred) {
			sums = append(sums, Transfer{From: h.self, To: to, Team: team, Total: h.slices[team].transferred[to]})
		}
	}
	return sums
}

// CloseLeft closes the account with a member that left. Slots that the member never received return to this
// member, and the member's last report adds the slots that it transferred to this member.
func (h *Holder) CloseLeft(member id.Member, last []Transfer) {
	h.Receive(last)
	for team, s := range h.slices {
		receivedByMember := 0
		for _, m := range last {
			if m.From == h.self && m.To == member && m.Team == team {
				receivedByMember = m.Total
			}
		}
		s.closedBalance += s.received[member] - min(s.transferred[member], receivedByMember)
		delete(s.transferred, member)
		delete(s.received, member)
	}
}

// CloseReclaimed closes the account with a lapsed member whose slots the ledger has freed.
func (h *Holder) CloseReclaimed(member id.Member) {
	for _, s := range h.slices {
		s.closedBalance += s.received[member] - s.transferred[member]
		delete(s.transferred, member)
		delete(s.received, member)
	}
}

// RevertTransfers restores the slots transferred to a member that the ledger never recorded.
func (h *Holder) RevertTransfers(member id.Member) {
	for _, s := range h.slices {
		delete(s.transferred, member)
	}
}

// Partners returns every member with which slots were exchanged, in order.
func (h *Holder) Partners() []id.Member {
	set := map[id.Member]int{}
	for _, s := range h.slices {
		for member := range s.transferred {
			set[member]++
		}
		for member := range s.received {
			set[member]++
		}
	}
	return sortedMembers(set)
}

func (h *Holder) teams() []id.Team {
	teams := make([]id.Team, 0, len(h.slices))
	for team := range h.slices {
		teams = append(teams, team)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i] < teams[j] })
	return teams
}

func sortedMembers(sums map[id.Member]int) []id.Member {
	names := make([]id.Member, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
