package instance

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// heldLog holds appends up until they are let go.
type heldLog struct {
	*memoryLog
	appends  atomic.Int32
	released chan struct{}
}

func newHeldLog() *heldLog { return &heldLog{memoryLog: newMemoryLog(), released: make(chan struct{})} }

// hold counts an append and waits with it, as a cut does that the caller's patience does not end.
func (l *heldLog) hold() {
	l.appends.Add(1)
	<-l.released
}

func (l *heldLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	l.hold()
	return l.memoryLog.Append(ctx, t, records, w)
}

func (l *heldLog) AppendAt(ctx context.Context, t stream.Table, records []stream.Record, end int64) error {
	l.hold()
	return l.memoryLog.AppendAt(ctx, t, records, end)
}

// owner returns the newest owner of a unit.
func (l *heldLog) owner(unit string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner := ""
	for _, r := range l.records[ownerTable()] {
		if r.Key == unit {
			owner = string(r.Value)
		}
	}
	return owner
}

// fakeGroup lists members.
type fakeGroup struct {
	stream.Groups
	members []owners.Member
	err     error
}

func (g *fakeGroup) Owners(context.Context, string) ([]stream.Owner, error) {
	var rows []stream.Owner
	for _, m := range g.members {
		rows = append(rows, stream.Owner{Member: m.String()})
	}
	return rows, g.err
}

// Addresses at which nobody answers.
const (
	selfAddress  = "127.0.0.1:1"
	goneAddress  = "127.0.0.2:1"
	otherAddress = "127.0.0.3:1"
)

func asMember(address string) owners.Member {
	return owners.Member{Address: netip.MustParseAddrPort(address), Weight: 1}
}

// orphaned returns the membership of an instance that knows of two pools whose owner, by its list of who lives, is gone.
func orphaned(t *testing.T, log *heldLog, group *fakeGroup) *membership {
	t.Helper()
	n := New(Config{
		Settings: Settings{Peers: netip.MustParseAddrPort(selfAddress)}, Log: log, Conditional: log, Groups: group, Clock: steady.Clock{},
		Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(), Metrics: NewMetrics(),
	})
	for _, unit := range []string{"p", "q", fleetUnit} {
		record := stream.Record{Key: unit, Value: []byte(goneAddress)}
		if _, err := log.memoryLog.Append(t.Context(), ownerTable(), []stream.Record{record}, nil); err != nil {
			t.Fatal(err)
		}
	}
	n.catalog = &snapshot{&catalog.Config{Pools: []catalog.Pool{{Name: "p"}, {Name: "q"}}}}
	n.alive = []owners.Member{n.self()}
	go func() { _ = n.ownerFeed().loop(t.Context()) }()
	for {
		n.mu.Lock()
		if n.ownersKnown {
			for unit := range n.owners {
				n.ownedSince[unit] = -claimRest
			}
			n.mu.Unlock()
			return &membership{instance: n, joined: 1, quiet: map[string]time.Duration{}, asked: map[string]time.Duration{}}
		}
		n.mu.Unlock()
		sleep(t.Context(), time.Millisecond)
	}
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); sleep(t.Context(), time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(what)
		}
	}
}

// TestLateCandidacyLeavesUnitsToWhoTookThem holds back what an instance writes to take units over until another has taken
// some of them: those stay with it, and the rest are asked for anew.
func TestLateCandidacyLeavesUnitsToWhoTookThem(t *testing.T) {
	tests := []struct {
		name  string
		taken []string // by another instance meanwhile
		kept  []string // for this one
	}{
		{"all are taken", []string{"p", "q", fleetUnit}, nil},
		{"one is taken", []string{"p"}, []string{"q", fleetUnit}},
		{"none is taken", nil, []string{"p", "q", fleetUnit}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newHeldLog()
			m := orphaned(t, log, &fakeGroup{})
			m.assign(t.Context())
			eventually(t, "nothing is written", func() bool { return log.appends.Load() > 0 })
			for _, unit := range test.taken {
				record := stream.Record{Key: unit, Value: []byte(otherAddress)}
				if _, err := log.memoryLog.Append(t.Context(), ownerTable(), []stream.Record{record}, nil); err != nil {
					t.Fatal(err)
				}
			}
			close(log.released)
			for _, unit := range test.kept {
				eventually(t, unit+" is not asked for anew", func() bool { return log.owner(unit) == selfAddress })
			}
			sleep(t.Context(), handoverLimit+100*time.Millisecond)
			for _, unit := range test.taken {
				if owner := log.owner(unit); owner != otherAddress {
					t.Errorf("%s belongs to %s, not to who took it", unit, owner)
				}
			}
		})
	}
}

// TestUnitsAreAskedForByANewListOfWhoLives has an instance find units without an owner that lives by a list that is old.
func TestUnitsAreAskedForByANewListOfWhoLives(t *testing.T) {
	tests := []struct {
		name  string
		group fakeGroup
		asks  bool
	}{
		{"the owner lives", fakeGroup{members: []owners.Member{asMember(goneAddress)}}, false},
		{"the store does not tell", fakeGroup{err: errors.New("cut off")}, false},
		{"another is to have them", fakeGroup{members: []owners.Member{{Address: netip.MustParseAddrPort(otherAddress), Weight: 1000}}}, false},
		{"the owner is gone", fakeGroup{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			log := newHeldLog()
			close(log.released)
			m := orphaned(t, log, &test.group)
			m.assign(t.Context())
			sleep(t.Context(), handoverLimit+100*time.Millisecond)
			if asks := log.appends.Load() > 0; asks != test.asks {
				t.Errorf("the units are asked for: %v, want %v", asks, test.asks)
			}
		})
	}
}

// TestWhoIsCutOffKeepsItsUnits has an instance own more than another by a list of who lives that the store has not confirmed
// for a while: it could hand a unit over to nobody.
func TestWhoIsCutOffKeepsItsUnits(t *testing.T) {
	tests := []struct {
		name  string
		since time.Duration // since a renewal was answered
		keeps bool
	}{{"in touch", 300 * time.Millisecond, false}, {"cut off", 3 * time.Second, true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newHeldLog()
			close(log.released)
			m := orphaned(t, log, &fakeGroup{})
			n := m.instance
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, unit := range []string{"p", "q", fleetUnit} {
				n.owners[unit] = n.self().Address
				n.shards[unit] = &owned{cancel: func() {}, done: make(chan struct{})}
			}
			n.alive = append(n.alive, owners.Member{Address: netip.MustParseAddrPort(otherAddress), Weight: n.self().Weight})
			now := n.config.Clock.Moment().Steady
			m.confirmed = now - test.since
			m.level(t.Context(), now, []string{"p", "q", fleetUnit})
			if keeps := len(n.shards) == 3; keeps != test.keeps {
				t.Errorf("it owns %d of 3 units", len(n.shards))
			}
		})
	}
}
