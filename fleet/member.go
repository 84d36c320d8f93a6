package fleet

import (
	"fmt"
	"net/netip"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/quota"
)

// Member is one incarnation of an entry instance in the tables.
type Member struct {
	Entry      id.Entry          `json:"entry"`
	DataCentre id.DataCentre     `json:"dc"`
	Peer       netip.AddrPort    `json:"peer"`
	Joined     int64             `json:"joined"`          // offset of its Join record
	Seq        int               `json:"seq"`             // number of its newest lease renewal
	First      bool              `json:"first,omitempty"` // no member of its data centre joined before it
	Lapsed     bool              `json:"lapsed"`
	Settled    id.Set[id.Member] `json:"settled,omitempty"` // members that have settled with it
}

// Proofs that a member has ended.
const (
	ProofSilence  = "silence" // no renewal for longer than a member may work without one
	ProofRefused  = "refused" // its host refuses connections
	ProofOperator = "told"    // an operator declared the member ended
)

// MemberError reports a record that does not fit the state of its member.
type MemberError struct {
	Member id.Member
	Reason string
}

// Error returns the member and the reason.
func (e MemberError) Error() string { return fmt.Sprintf("member %s: %s", e.Member, e.Reason) }

// Live returns the members whose lease has not expired, in order.
func (t *Tables) Live() []id.Member {
	var live []id.Member
	for _, name := range sortedKeys(t.Members) {
		if !t.Members[name].Lapsed {
			live = append(live, name)
		}
	}
	return live
}

// IsLive reports whether a member has joined and its lease has not expired.
func (t *Tables) IsLive(name id.Member) bool {
	m, ok := t.Members[name]
	return ok && !m.Lapsed
}

func (t *Tables) liveMember(name id.Member) (*Member, error) {
	m, ok := t.Members[name]
	if !ok {
		return nil, MemberError{Member: name, Reason: "has not joined"}
	}
	if m.Lapsed {
		return nil, MemberError{Member: name, Reason: "has lapsed"}
	}
	return m, nil
}

func (t *Tables) join(offset int64, r Join) error {
	if _, ok := t.Members[r.Member]; ok {
		return MemberError{Member: r.Member, Reason: "has joined before"}
	}
	// A process that serves at an address proves that the previous process at this address has ended.
	for _, name := range sortedKeys(t.Members) {
		if t.Members[name].Peer == r.Peer {
			t.Members[name].Lapsed = true
		}
	}
	t.Members[r.Member] = &Member{
		Entry: r.Entry, DataCentre: r.DataCentre, Peer: r.Peer, Joined: offset, Settled: id.Set[id.Member]{},
		First: !t.SeenDataCentres[r.DataCentre],
	}
	t.SeenDataCentres[r.DataCentre] = true
	return nil
}

func (t *Tables) renew(r Renew) error {
	m, err := t.liveMember(r.Member)
	if err != nil {
		return err
	}
	if r.Seq > m.Seq {
		m.Seq = r.Seq
	}
	return nil
}

func (t *Tables) leave(r Leave) error {
	if _, err := t.liveMember(r.Member); err != nil {
		return err
	}
	t.Ledger.Move(t.withOpenAccounts(r.Moved))
	t.Ledger.Reclaim(r.Member)
	delete(t.Members, r.Member)
	t.assignSuccessor(r.Member)
	return nil
}

func (t *Tables) lapse(r Lapse) error {
	m, err := t.liveMember(r.Member)
	if err != nil {
		return err
	}
	if m.Seq != r.Seq {
		return MemberError{Member: r.Member, Reason: "has renewed its lease"}
	}
	// A minority of the members that can reach the log must not declare the majority ended on silence
	// alone, since the majority may still be working together.
	if r.Proof == ProofSilence && len(t.Live())-1 < len(t.Members)-len(t.Live())+1 {
		return MemberError{Member: r.Member, Reason: "too few live members would be left"}
	}
	m.Lapsed = true
	return nil
}

func (t *Tables) settle(r Settle) error {
	if _, err := t.liveMember(r.Member); err != nil {
		return err
	}
	lapsed, ok := t.Members[r.Lapsed]
	if !ok || !lapsed.Lapsed {
		return MemberError{Member: r.Lapsed, Reason: "has not lapsed"}
	}
	t.Ledger.Move(t.withOpenAccounts(r.Moved))
	if lapsed.Settled == nil {
		lapsed.Settled = id.Set[id.Member]{}
	}
	lapsed.Settled.Add(r.Member)
	return nil
}

func (t *Tables) exchange(r Exchange) error {
	if _, err := t.liveMember(r.Member); err != nil {
		return err
	}
	t.Ledger.Move(t.withOpenAccounts(r.Moved))
	for _, total := range r.Returned {
		t.Ledger.Return(total.Team, r.Member, total.Total)
	}
	return nil
}

// withOpenAccounts returns the transfers whose two members are both still in the tables: a report that arrives
// after a member's account is closed must not open the account again.
func (t *Tables) withOpenAccounts(transfers []quota.Transfer) []quota.Transfer {
	var open []quota.Transfer
	for _, transfer := range transfers {
		if t.Members[transfer.From] != nil && t.Members[transfer.To] != nil {
			open = append(open, transfer)
		}
	}
	return open
}

// Unsettled returns the lapsed members that a member has not settled with yet, in order.
func (t *Tables) Unsettled(by id.Member) []id.Member {
	var lapsed []id.Member
	for _, name := range sortedKeys(t.Members) {
		if t.Members[name].Lapsed && !t.Members[name].Settled.Has(by) {
			lapsed = append(lapsed, name)
		}
	}
	return lapsed
}

// settleAccounts frees the slots of lapsed members once every live member has settled with all of
// them, and issues free slots. Members that lapsed together may have exchanged slots with each other, so
// no member's slots are freed before all are settled.
func (t *Tables) settleAccounts() {
	live := t.Live()
	var lapsed []id.Member
	allSettled := len(live) > 0
	for _, name := range sortedKeys(t.Members) {
		if !t.Members[name].Lapsed {
			continue
		}
		lapsed = append(lapsed, name)
		for _, by := range live {
			allSettled = allSettled && t.Members[name].Settled.Has(by)
		}
	}
	if allSettled {
		for _, name := range lapsed {
			t.Ledger.Reclaim(name)
			delete(t.Members, name)
			t.assignSuccessor(name)
		}
	}
	for _, team := range t.rules.Teams {
		t.Ledger.Issue(team.Name, team.Limit, live)
	}
}
