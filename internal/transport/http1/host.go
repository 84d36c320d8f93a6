package http1

import (
	"context"
	"slices"
	"time"
)

// host holds the idle connections to one address and bounds the number of requests to it. The lock of its Transport
// guards idle and users.
type host struct {
	transport *Transport
	address   string
	idle      []*conn // the one used last comes last
	users     int     // requests that use or wait for a connection
	slots     chan struct{}
}

// host returns the host of an address for one request, which must release it.
func (t *Transport) host(address string) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		h = &host{transport: t, address: address}
		if t.config.MaxPerHost > 0 {
			h.slots = make(chan struct{}, t.config.MaxPerHost)
		}
		t.hosts[address] = h
	}
	h.users++
	return h
}

// acquire waits until the bound on connections allows one more.
func (h *host) acquire(ctx context.Context) error {
	if h.slots == nil {
		return nil
	}
	select {
	case h.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		h.leave()
		return context.Cause(ctx)
	}
}

// release ends the use of the host by a request that acquired it.
func (h *host) release() {
	if h.slots != nil {
		<-h.slots
	}
	h.leave()
}

func (h *host) leave() {
	h.transport.mu.Lock()
	h.users--
	h.transport.mu.Unlock()
}

// takeIdle removes and returns the connection used last, or nil if there is none.
func (h *host) takeIdle() *conn {
	if len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// removeIdle removes and returns the connections that were last used before a time.
func (h *host) removeIdle(before time.Time) []*conn {
	n := slices.IndexFunc(h.idle, func(c *conn) bool { return c.idleSince.After(before) })
	if n < 0 {
		n = len(h.idle)
	}
	removed := slices.Clone(h.idle[:n])
	h.idle = slices.Delete(h.idle, 0, n)
	return removed
}
