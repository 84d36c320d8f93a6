package instance

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// TestProxyingTriesNextPeerWhenFirstCannotReachStore has the store not reply to an owner and refuse the peers that the
// owner tries first. The append must succeed before the owner's proof is no longer fresh.
func TestProxyingTriesNextPeerWhenFirstCannotReachStore(t *testing.T) {
	log := newMemoryLog()
	n, logs := newPair(t, log)
	logs[0].silent.Store(true)
	for i := range 3 {
		peer, peerLogs := newPair(t, log)
		peer.config.Log = peerLogs[0]
		peerLogs[0].refuses.Store(i > 0)
		server := httptest.NewServer(relay.NewHandler(peer))
		t.Cleanup(server.Close)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		if i == 0 {
			n.alive = []owners.Member{n.self()}
		}
		n.alive = append(n.alive, owners.Member{Address: address, Weight: 1 + i}) // tried in descending order of weight
	}
	ctx, cancel := context.WithTimeout(t.Context(), 1400*time.Millisecond)
	defer cancel()
	one := []stream.Record{{Key: "a", Value: []byte{1}}}
	if _, err := n.proxiedLog.Append(ctx, stream.Table{Name: "jobs.p", Part: 1}, one, &stream.Writer{Epoch: 5}); err != nil {
		t.Error(err)
	}
}
