package instance

import (
	"net/netip"
	"testing"

	"go.uber.org/zap"

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
