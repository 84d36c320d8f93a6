package trial

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
)

// platformSite is the place of the platform among data centres.
const platformSite id.DataCentre = "platform"

// errCut is the fault of a connection across a cut.
var errCut = errors.New("the network between the two is cut")

// Network knows where every listener stands and which sites are cut off from each other.
type Network struct {
	mu    sync.Mutex
	sites map[netip.AddrPort]id.DataCentre
	cuts  map[pair]bool
	conns map[*conn]struct{}
}

// pair is a direction between two sites.
type pair struct{ from, to id.DataCentre }

// conn is a connection that breaks when its sites are cut off from each other.
type conn struct {
	net.Conn
	network *Network
	pair    pair
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{sites: map[netip.AddrPort]id.DataCentre{}, cuts: map[pair]bool{}, conns: map[*conn]struct{}{}}
}

// Place notes the site of a listener.
func (n *Network) Place(address netip.AddrPort, site id.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = site
}

// Cut parts two sites in both directions, or joins them again.
func (n *Network) Cut(a, b id.DataCentre, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []pair{{a, b}, {b, a}} {
		n.cuts[p] = cut
		for c := range n.conns {
			if cut && c.pair == p {
				_ = c.Conn.Close()
			}
		}
	}
}

// Dialer returns the way connections are made from a site.
func (n *Network) Dialer(from id.DataCentre) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Annotatef(err, "reading address %s", address)
		}
		n.mu.Lock()
		p := pair{from: from, to: n.sites[to]}
		cut := n.cuts[p]
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, network: n, pair: p}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
