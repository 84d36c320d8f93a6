package instance

import (
	"fmt"
	"net/netip"
	"testing"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestProxyingSpreadsAcrossPeers has many instances choose a peer at once. They must choose several peers, and only
// those with the highest CPU limit.
func TestProxyingSpreadsAcrossPeers(t *testing.T) {
	const heavy, light = 6, 30
	var alive []owners.Member
	for i := range heavy + light {
		m := owners.Member{Address: netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7000", i+1)), Weight: 190}
		if i%heavy == heavy-1 {
			m.Weight = 800
		}
		alive = append(alive, m)
	}
	asked := map[netip.AddrPort]int{}
	for _, m := range alive {
		n := New(Config{
			Settings: Settings{Peers: m.Address, MilliCores: m.Weight}, Clock: steady.Clock{}, Logger: zap.NewNop(), Metrics: NewMetrics(),
		})
		n.alive = alive
		to, ok := n.proxiedLog.nextPeer()
		if !ok || to == m.Address {
			t.Fatalf("%v chose %v, %v", m.Address, to, ok)
		}
		asked[to]++
	}
	for _, m := range alive {
		if m.Weight < 800 && asked[m.Address] > 0 {
			t.Errorf("%d instances chose %v, which has a low CPU limit", asked[m.Address], m.Address)
		}
		if asked[m.Address] > (heavy+light)/2 {
			t.Errorf("%d of %d instances chose %v", asked[m.Address], len(alive), m.Address)
		}
	}
}
