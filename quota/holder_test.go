package quota

import (
	"errors"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"marigoldshed.example/marigoldshed/common/id"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result; -rapid.seed changes it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestAcquireFailsWithoutIdleSlot(t *testing.T) {
	l := NewLedger()
	l.Issue("red", 1, []id.Member{"a"})
	h := NewHolder("a")
	h.Sync(&l)
	if err := h.Acquire("red"); err != nil {
		t.Fatal(err)
	}
	var limit LimitError
	if err := h.Acquire("red"); !errors.As(err, &limit) || limit.Owned != 1 || limit.Running != 1 {
		t.Errorf("Acquire() = %v, want a LimitError with 1 slot owned and 1 running", err)
	}
}

func TestNoIdleSlotsWhileLoweredLimitIsExceeded(t *testing.T) {
	l := NewLedger()
	l.Issue("red", 10, []id.Member{"a", "b"})
	a, b := NewHolder("a"), NewHolder("b")
	a.Sync(&l)
	b.Sync(&l)
	for range 5 {
		if err := a.Acquire("red"); err != nil {
			t.Fatal(err)
		}
	}
	l.Issue("red", 6, []id.Member{"a", "b"})
	b.Sync(&l)
	if b.Idle("red") != 0 {
		t.Fatal("a slot is idle although members hold 10 slots and the limit is 6")
	}
	for _, returned := range b.ReturnExcess() {
		l.Return(returned.Team, "b", returned.Total)
	}
	b.Sync(&l)
	if got := b.Idle("red"); got != 1 {
		t.Errorf("after ReturnExcess %d slots are idle, want 1", got)
	}
}

// model simulates members that issue, use, transfer and report slots, leave and lapse in any order, with
// messages repeated, late or lost, and checks that no more slots are in use than the limit allows.
type model struct {
	ledger      Ledger
	limit       int
	holders     map[id.Member]*Holder
	names       []id.Member
	ended       map[id.Member]int // slots that an ended member still uses
	memberCount int
}

const team id.Team = "red"

func (m *model) live() []id.Member {
	var live []id.Member
	for _, name := range m.names {
		if m.holders[name] != nil {
			live = append(live, name)
		}
	}
	return live
}

func (m *model) sync() {
	m.ledger.Issue(team, m.limit, m.live())
	for _, h := range m.holders {
		h.Sync(&m.ledger)
	}
}

func (m *model) join() {
	m.memberCount++
	name := id.Member(rune('a' + m.memberCount))
	m.names = append(m.names, name)
	m.holders[name] = NewHolder(name)
	m.sync()
}

func (m *model) pick(t *rapid.T, label string) *Holder {
	return m.holders[rapid.SampledFrom(m.live()).Draw(t, label)]
}

func (m *model) running() int {
	sum := 0
	for _, h := range m.holders {
		sum += h.Running(team)
	}
	for _, n := range m.ended {
		sum += n
	}
	return sum
}

// leave ends a member that uses no slot; all other members receive its last report.
func (m *model) leave(h *Holder) {
	if h.Running(team) > 0 || len(m.live()) < 2 {
		return
	}
	lastReport := h.AllTransfers()
	m.ledger.Move(lastReport)
	m.ledger.Reclaim(h.self)
	delete(m.holders, h.self)
	for _, other := range m.holders {
		other.CloseLeft(h.self, lastReport)
	}
	m.sync()
}

// lapse ends a member without a report: its tasks end, all other members settle with it, and its slots are freed.
func (m *model) lapse(h *Holder) {
	if len(m.live()) < 2 {
		return
	}
	delete(m.holders, h.self)
	for _, other := range m.holders {
		m.ledger.Move(other.TransfersWith(h.self))
	}
	m.ledger.Reclaim(h.self)
	for _, other := range m.holders {
		other.CloseReclaimed(h.self)
	}
	m.sync()
}

func TestLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{ledger: NewLedger(), limit: rapid.IntRange(0, 12).Draw(t, "limit"), holders: map[id.Member]*Holder{}, ended: map[id.Member]int{}}
		for range rapid.IntRange(1, 4).Draw(t, "members") {
			m.join()
		}
		var messages [][]Transfer
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) { _ = m.pick(t, "taker").Acquire(team) },
			"put":  func(t *rapid.T) { m.pick(t, "putter").Release(team) },
			"give": func(t *rapid.T) {
				from, to := m.pick(t, "from"), m.pick(t, "to")
				from.Transfer(to.self, team, rapid.IntRange(1, 5).Draw(t, "n"), 0)
				messages = append(messages, from.Transferred(to.self))
			},
			"receive": func(t *rapid.T) {
				if len(messages) == 0 {
					return
				}
				transfers := rapid.SampledFrom(messages).Draw(t, "message")
				for _, s := range transfers {
					if to := m.holders[s.To]; to != nil && m.holders[s.From] != nil {
						to.Receive(transfers)
					}
				}
			},
			"report": func(t *rapid.T) {
				for _, s := range m.pick(t, "reporter").Received() {
					if m.holders[s.From] != nil {
						m.ledger.Move([]Transfer{s})
					}
				}
				m.sync()
			},
			"release": func(t *rapid.T) {
				h := m.pick(t, "releaser")
				for _, returned := range h.ReturnExcess() {
					m.ledger.Return(returned.Team, h.self, returned.Total)
				}
				m.sync()
			},
			"leave": func(t *rapid.T) { m.leave(m.pick(t, "leaver")) },
			"lapse": func(t *rapid.T) { m.lapse(m.pick(t, "lapsed")) },
			"join":  func(*rapid.T) { m.join() },
			"": func(t *rapid.T) {
				if got := m.running(); got > m.limit {
					t.Fatalf("%d slots are in use, the limit is %d", got, m.limit)
				}
				owned := 0
				for _, h := range m.holders {
					owned += h.Owned(team)
				}
				if owned > m.limit {
					t.Fatalf("members own %d slots, the limit is %d", owned, m.limit)
				}
			},
		})
	})
}
