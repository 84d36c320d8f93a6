package entry

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/peer"
)

// link sends heartbeats to one address. It sends one at a time and skips to the newest.
type link struct {
	to                 netip.AddrPort
	pending            chan peer.Heartbeat // the newest heartbeat to send
	refusedConnections int
	control            *Control
}

// links holds one link for every known member address.
type links struct {
	control *Control
	mu      sync.Mutex
	table   map[netip.AddrPort]*link
	ctx     context.Context
	group   *errgroup.Group
	sent    time.Time
	sendNow bool // the next heartbeat should be sent without delay
}

func newLinks(c *Control) links { return links{control: c, table: map[netip.AddrPort]*link{}} }

// start lets links run in a group until the context ends, and starts the links to the seeds.
func (l *links) start(ctx context.Context, group *errgroup.Group) {
	l.mu.Lock()
	l.ctx = ctx
	l.group = group
	l.mu.Unlock()
	for _, seed := range l.control.config.Seeds {
		l.get(seed)
	}
}

// sendSoon requests that the next heartbeat is sent without waiting for the regular interval.
func (l *links) sendSoon() { l.sendNow = true }

// get returns the link to an address and starts it if necessary. It returns nil for this instance's own address, for
// an invalid address and before start.
func (l *links) get(to netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to == l.control.config.Peer || !to.IsValid() || l.group == nil {
		return nil
	}
	found, ok := l.table[to]
	if !ok {
		found = &link{to: to, pending: make(chan peer.Heartbeat, 1), control: l.control}
		l.table[to] = found
		l.group.Go(func() error { return found.loop(l.ctx) })
	}
	return found
}

// addresses returns all known member addresses, sorted.
func (l *links) addresses() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(l.table))
	for to := range l.table {
		list = append(list, to)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Compare(list[j]) < 0 })
	return list
}

// loop sends heartbeats until the context ends.
func (l *link) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case heartbeat := <-l.pending:
			l.send(ctx, heartbeat)
		}
	}
}

func (l *link) send(ctx context.Context, heartbeat peer.Heartbeat) {
	c := l.control
	callCtx, cancel := context.WithTimeout(ctx, c.contact()/2)
	defer cancel()
	sentAt := time.Now()
	err := c.config.Peers.Heartbeat(callCtx, l.to, heartbeat)
	switch {
	case err == nil:
		l.refusedConnections = 0
	case isRefusal(err):
		l.refusedConnections++
	default:
		l.refusedConnections = 0
	}
	count := l.refusedConnections
	c.post(func() { c.recordHeartbeatResult(l.to, sentAt, err == nil, count) })
}

// offer replaces the pending heartbeat of the link.
func (l *link) offer(heartbeat peer.Heartbeat) {
	select {
	case <-l.pending:
	default:
	}
	select {
	case l.pending <- heartbeat:
	default:
	}
}
