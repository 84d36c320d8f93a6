package instance

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestReleased tells handed over units, whose earlier owner has stopped, from claimed ones.
func TestReleased(t *testing.T) {
	self, other := "127.0.0.1:7000", "127.0.0.2:7000"
	tests := []struct {
		name  string
		first []string // read at the start
		later []string // followed afterwards
		want  bool
	}{
		{"handed over", nil, []string{other, self + releasedMark}, true},
		{"claimed", nil, []string{other, self}, false},
		{"its own before it started", []string{self}, nil, true},
		{"another's before it started", []string{other}, []string{self}, false},
		{"claimed back", []string{self}, []string{other, self}, false},
		{"read again", nil, []string{other, self + releasedMark, self + releasedMark}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := New(Config{Settings: Settings{Peers: netip.MustParseAddrPort(self)}, Clock: steady.Clock{}, Logger: zap.NewNop()})
			var all []stream.Record
			for _, value := range test.first {
				all = append(all, stream.Record{Key: "p", Value: []byte(value)})
			}
			n.replaceOwners(all)
			for _, value := range test.later {
				n.takeOwner(stream.Record{Key: "p", Value: []byte(value)})
			}
			if n.released["p"] != test.want || n.owners["p"].String() != self {
				t.Errorf("released is %v, the owner %v", n.released["p"], n.owners["p"])
			}
		})
	}
}

// TestWhoIsCutOffClaimsNothing has an instance that the store has not answered for a while, and that holds the owner of a
// pool for gone by the list of before: what it asks for then could land once it is back.
func TestWhoIsCutOffClaimsNothing(t *testing.T) {
	tests := []struct {
		name  string
		since time.Duration // since the store has confirmed who lives
		asks  bool
	}{{"in touch", 300 * time.Millisecond, true}, {"cut off", 3 * time.Second, false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := New(Config{
				Settings: Settings{Peers: netip.MustParseAddrPort("127.0.0.1:1")}, Log: &downLog{}, Clock: steady.Clock{},
				Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(),
			})
			n.catalog = &snapshot{&catalog.Config{Pools: []catalog.Pool{{Name: "p"}}}}
			n.owners["p"] = netip.MustParseAddrPort("127.0.0.1:2")
			n.alive = []owners.Member{n.self()}
			now := n.config.Clock.Moment().Steady
			m := &membership{instance: n, joined: now - time.Minute, known: now - test.since, quiet: map[string]time.Duration{}, asked: map[string]time.Duration{}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m.takeOver(ctx, now, []string{"p"})
			if _, asked := m.asked["p"]; asked != test.asks {
				t.Errorf("it asks for the pool: %v, want %v", asked, test.asks)
			}
		})
	}
}
