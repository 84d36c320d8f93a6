package quota

import (
	"fmt"
	"sort"

	"marigoldshed.example/marigoldshed/common/id"
)

// LimitError reports that a member has no idle slot of a team's upper limit.
type LimitError struct {
	Team           id.Team
	Owned, Running int // slots
}

// Error returns the team and its numbers.
func (e LimitError) Error() string {
	return fmt.Sprintf("team %s: %d of %d slots of this instance are in use", e.Team, e.Running, e.Owned)
}

// Holder keeps one member's slots of every team's upper limit.
type Holder struct {
	self   id.Member
	byTeam map[id.Team]*teamSlots
}

// teamSlots is one member's part of one team's limit; its issued, returned, transferred and received totals only grow.
type teamSlots struct {
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
	return &Holder{self: self, byTeam: map[id.Team]*teamSlots{}}
}

func (h *Holder) slotsOf(team id.Team) *teamSlots {
	s, ok := h.byTeam[team]
	if !ok {
		s = &teamSlots{transferred: map[id.Member]int{}, received: map[id.Member]int{}}
		h.byTeam[team] = s
	}
	return s
}

func (s *teamSlots) owned() int {
	owned := s.issued - s.returned + s.closedBalance
	for _, n := range s.transferred {
		owned -= n
	}
	for _, n := range s.received {
		owned += n
	}
	return owned
}

// Owned returns how many slots of a team the member owns.
func (h *Holder) Owned(team id.Team) int { return h.slotsOf(team).owned() }

// Running returns how many slots of a team are in use here.
func (h *Holder) Running(team id.Team) int { return h.slotsOf(team).running }

// Idle returns how many free slots of a team this member may use; it is 0 while members hold more slots than
// the team's limit.
func (h *Holder) Idle(team id.Team) int {
	s := h.slotsOf(team)
	if s.excess > 0 {
		return 0
	}
	return max(0, s.owned()-s.running)
}

// Acquire marks one slot as in use; it fails with LimitError when no slot is idle.
func (h *Holder) Acquire(team id.Team) error {
	s := h.slotsOf(team)
	if h.Idle(team) == 0 {
		return LimitError{Team: team, Owned: s.owned(), Running: s.running}
	}
	s.running++
	return nil
}

// Release releases one slot that was in use.
func (h *Holder) Release(team id.Team) {
	s := h.slotsOf(team)
	if s.running > 0 {
		s.running--
	}
}

// Sync copies from the ledger the slots issued to this member and the slots above a lowered limit.
func (h *Holder) Sync(l *Ledger) {
	for team, account := range l.Teams {
		s := h.slotsOf(team)
		s.issued = max(s.issued, account.Issued[h.self])
		s.excess = account.Excess()
	}
}

// ReturnExcess gives slots that are not in use back to the ledger, for every team whose limit was lowered
// below what members hold. It returns the totals ever given back.
func (h *Holder) ReturnExcess() []ReturnedTotal {
	var totals []ReturnedTotal
	for _, team := range h.teams() {
		s := h.byTeam[team]
		n := min(s.excess, s.owned()-s.running)
		if n > 0 {
			s.returned += n
		}
		if s.returned > 0 {
			totals = append(totals, ReturnedTotal{Team: team, Total: s.returned})
		}
	}
	return totals
}

// Transfer moves up to n idle slots to another member and returns their number. It transfers at most half,
// rounded up, of the idle slots that this member's own waiting work does not need.
func (h *Holder) Transfer(to id.Member, team id.Team, n, waiting int) int {
	spare := h.Idle(team) - waiting
	n = min(n, (spare+1)/2)
	if n <= 0 || to == h.self {
		return 0
	}
	h.slotsOf(team).transferred[to] += n
	return n
}

// Transferred returns the totals ever transferred to a member.
func (h *Holder) Transferred(to id.Member) []Transfer {
	var transfers []Transfer
	for _, team := range h.teams() {
		if n := h.byTeam[team].transferred[to]; n > 0 {
			transfers = append(transfers, Transfer{From: h.self, To: to, Team: team, Total: n})
		}
	}
	return transfers
}

// Received returns the totals ever received from each member.
func (h *Holder) Received() []Transfer {
	var transfers []Transfer
	for _, team := range h.teams() {
		for _, from := range sortedMembers(h.byTeam[team].received) {
			transfers = append(transfers, Transfer{From: from, To: h.self, Team: team, Total: h.byTeam[team].received[from]})
		}
	}
	return transfers
}

// Receive applies totals that a member reports to have transferred; a total that is not larger changes nothing.
func (h *Holder) Receive(transfers []Transfer) {
	for _, t := range transfers {
		if t.To != h.self || t.From == h.self {
			continue
		}
		s := h.slotsOf(t.Team)
		s.received[t.From] = max(s.received[t.From], t.Total)
	}
}

// TransfersWith returns every total transferred to or received from one member.
func (h *Holder) TransfersWith(member id.Member) []Transfer {
	transfers := h.Transferred(member)
	for _, t := range h.Received() {
		if t.From == member {
			transfers = append(transfers, t)
		}
	}
	return transfers
}

// AllTransfers returns every total transferred to or received from any member.
func (h *Holder) AllTransfers() []Transfer {
	transfers := h.Received()
	for _, team := range h.teams() {
		for _, to := range sortedMembers(h.byTeam[team].transferred) {
			transfers = append(transfers, Transfer{From: h.self, To: to, Team: team, Total: h.byTeam[team].transferred[to]})
		}
	}
	return transfers
}

// CloseLeft closes the account with a member that left. Slots that the member never received return to this
// member, and the member's last report adds the slots that it transferred to this member.
func (h *Holder) CloseLeft(member id.Member, lastReport []Transfer) {
	h.Receive(lastReport)
	for team, s := range h.byTeam {
		receivedByMember := 0
		for _, t := range lastReport {
			if t.From == h.self && t.To == member && t.Team == team {
				receivedByMember = t.Total
			}
		}
		s.closedBalance += s.received[member] - min(s.transferred[member], receivedByMember)
		delete(s.transferred, member)
		delete(s.received, member)
	}
}

// CloseReclaimed closes the account with a lapsed member whose slots the ledger has freed.
func (h *Holder) CloseReclaimed(member id.Member) {
	for _, s := range h.byTeam {
		s.closedBalance += s.received[member] - s.transferred[member]
		delete(s.transferred, member)
		delete(s.received, member)
	}
}

// RevertTransfers takes back the slots transferred to a member that never joined, so that the ledger never
// recorded the transfers.
func (h *Holder) RevertTransfers(member id.Member) {
	for _, s := range h.byTeam {
		delete(s.transferred, member)
	}
}

// Partners returns every member with which slots were exchanged, in order.
func (h *Holder) Partners() []id.Member {
	partners := map[id.Member]int{}
	for _, s := range h.byTeam {
		for member := range s.transferred {
			partners[member]++
		}
		for member := range s.received {
			partners[member]++
		}
	}
	return sortedMembers(partners)
}

func (h *Holder) teams() []id.Team {
	teams := make([]id.Team, 0, len(h.byTeam))
	for team := range h.byTeam {
		teams = append(teams, team)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i] < teams[j] })
	return teams
}

func sortedMembers(totals map[id.Member]int) []id.Member {
	names := make([]id.Member, 0, len(totals))
	for name := range totals {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
