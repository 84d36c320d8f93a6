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

// Holder is one member's part of every team's upper limit.
type Holder struct {
	self   id.Member
	slices map[id.Team]*slice
}

// slice is one member's part of one team's limit; its sums only grow.
type slice struct {
	issued   int
	returned int
	running  int
	excess   int
	given    map[id.Member]int
	received map[id.Member]int
	closed   int // what members that have gone left behind
}

// NewHolder returns a holder without slots.
func NewHolder(self id.Member) *Holder {
	return &Holder{self: self, slices: map[id.Team]*slice{}}
}

func (h *Holder) slice(team id.Team) *slice {
	s, ok := h.slices[team]
	if !ok {
		s = &slice{given: map[id.Member]int{}, received: map[id.Member]int{}}
		h.slices[team] = s
	}
	return s
}

func (s *slice) own() int {
	own := s.issued - s.returned + s.closed
	for _, n := range s.given {
		own -= n
	}
	for _, n := range s.received {
		own += n
	}
	return own
}

// Own returns how many slots of a team the member owns.
func (h *Holder) Own(team id.Team) int { return h.slice(team).own() }

// Running returns how many slots of a team are in use here.
func (h *Holder) Running(team id.Team) int { return h.slice(team).running }

// Idle returns how many slots of a team could be put to use here.
func (h *Holder) Idle(team id.Team) int {
	s := h.slice(team)
	if s.excess > 0 {
		return 0
	}
	return max(0, s.own()-s.running)
}

// Take puts one slot to use; it fails with LimitError when none is idle.
func (h *Holder) Take(team id.Team) error {
	s := h.slice(team)
	if h.Idle(team) == 0 {
		return LimitError{Team: team, Own: s.own(), Running: s.running}
	}
	s.running++
	return nil
}

// Put ends the use of one slot.
func (h *Holder) Put(team id.Team) {
	s := h.slice(team)
	if s.running > 0 {
		s.running--
	}
}

// Sync takes over what the ledger issued to this member and by how much a lowered limit is passed.
func (h *Holder) Sync(l *Ledger) {
	for team, account := range l.Teams {
		s := h.slice(team)
		s.issued = max(s.issued, account.Issued[h.self])
		s.excess = account.Excess()
	}
}

// Release gives back idle slots of every team whose limit was lowered below what members hold, and
// returns the sums ever given back.
func (h *Holder) Release() []Tokens {
	var sums []Tokens
	for _, team := range h.teams() {
		s := h.slices[team]
		n := min(s.excess, s.own()-s.running)
		if n > 0 {
			s.returned += n
		}
		if s.returned > 0 {
			sums = append(sums, Tokens{Team: team, Total: s.returned})
		}
	}
	return sums
}

// Give hands up to n idle slots to another member, and keeps as many for itself as it hands over
// besides those that its own waiting work will use.
func (h *Holder) Give(to id.Member, team id.Team, n, waiting int) int {
	spare := h.Idle(team) - waiting
	n = min(n, (spare+1)/2)
	if n <= 0 || to == h.self {
		return 0
	}
	h.slice(team).given[to] += n
	return n
}

// Given returns the sums ever handed to a member.
func (h *Holder) Given(to id.Member) []Moved {
	var sums []Moved
	for _, team := range h.teams() {
		if n := h.slices[team].given[to]; n > 0 {
			sums = append(sums, Moved{From: h.self, To: to, Team: team, Total: n})
		}
	}
	return sums
}

// Received returns the sums ever received from every member.
func (h *Holder) Received() []Moved {
	var sums []Moved
	for _, team := range h.teams() {
		for _, from := range members(h.slices[team].received) {
			sums = append(sums, Moved{From: from, To: h.self, Team: team, Total: h.slices[team].received[from]})
		}
	}
	return sums
}

// Receive takes sums that a member says it handed over; a sum that is not newer changes nothing.
func (h *Holder) Receive(sums []Moved) {
	for _, m := range sums {
		if m.To != h.self || m.From == h.self {
			continue
		}
		s := h.slice(m.Team)
		s.received[m.From] = max(s.received[m.From], m.Total)
	}
}

// Exchanged returns every sum handed to or received from one member.
func (h *Holder) Exchanged(with id.Member) []Moved {
	sums := h.Given(with)
	for _, m := range h.Received() {
		if m.From == with {
			sums = append(sums, m)
		}
	}
	return sums
}

// All returns every sum handed to or received from anybody.
func (h *Holder) All() []Moved {
	sums := h.Received()
	for _, team := range h.teams() {
		for _, to := range members(h.slices[team].given) {
			sums = append(sums, Moved{From: h.self, To: to, Team: team, Total: h.slices[team].given[to]})
		}
	}
	return sums
}

// Left closes the account with a member that left: what it never received comes back, and what it
// handed over last arrives with its last word.
func (h *Holder) Left(member id.Member, last []Moved) {
	h.Receive(last)
	for team, s := range h.slices {
		kept := 0
		for _, m := range last {
			if m.From == h.self && m.To == member && m.Team == team {
				kept = m.Total
			}
		}
		s.closed += s.received[member] - min(s.given[member], kept)
		delete(s.given, member)
		delete(s.received, member)
	}
}

// Reclaimed closes the account with a lapsed member whose slots the ledger has freed.
func (h *Holder) Reclaimed(member id.Member) {
	for _, s := range h.slices {
		s.closed += s.received[member] - s.given[member]
		delete(s.given, member)
		delete(s.received, member)
	}
}

// TakeBack restores what was handed to a member that the ledger never came to know.
func (h *Holder) TakeBack(member id.Member) {
	for _, s := range h.slices {
		delete(s.given, member)
	}
}

// Partners returns every member that slots were exchanged with, in order.
func (h *Holder) Partners() []id.Member {
	set := map[id.Member]int{}
	for _, s := range h.slices {
		for member := range s.given {
			set[member]++
		}
		for member := range s.received {
			set[member]++
		}
	}
	return members(set)
}

func (h *Holder) teams() []id.Team {
	teams := make([]id.Team, 0, len(h.slices))
	for team := range h.slices {
		teams = append(teams, team)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i] < teams[j] })
	return teams
}

func members(sums map[id.Member]int) []id.Member {
	names := make([]id.Member, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
