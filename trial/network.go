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

// platformSite is the site of the platform, which is outside all data centres.
const platformSite id.DataCentre = "platform"

// errCut is the error of a connection between two sites that are cut off from each other.
var errCut = errors.New("network between the two sites is cut")

// Network simulates the network between sites. It records the site of every listener and which sites are cut off from
// each other.
type Network struct {
	mu    sync.Mutex
	sites map[netip.AddrPort]id.DataCentre
	cuts  map[link]bool
	conns map[*conn]struct{}
}

// link is one direction between two sites.
type link struct{ from, to id.DataCentre }

// conn is a connection that is closed when its sites are cut off from each other.
type conn struct {
	net.Conn
	network *Network
	link    link
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{sites: map[netip.AddrPort]id.DataCentre{}, cuts: map[link]bool{}, conns: map[*conn]struct{}{}}
}

// SetSite records the site of a listener.
func (n *Network) SetSite(address netip.AddrPort, site id.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = site
}

// Cut cuts the network between two sites in both directions, or restores it if cut is false.
func (n *Network) Cut(a, b id.DataCentre, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []link{{a, b}, {b, a}} {
		n.cuts[p] = cut
		for c := range n.conns {
			if cut && c.link == p {
				_ = c.Conn.Close()
			}
		}
	}
}

// Dialer returns a dial function for connections from a site.
func (n *Network) Dialer(from id.DataCentre) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Annotatef(err, "reading address %s", address)
		}
		n.mu.Lock()
		p := link{from: from, to: n.sites[to]}
		cut := n.cuts[p]
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, network: n, link: p}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// Close closes the connection and removes it from the network.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
