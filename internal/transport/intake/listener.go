package intake

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// initialBuffer is the receive buffer of a connection until a long body arrives; the kernel reserves twice as much. In a burst of clients,
// this much is unread of each connection that waits to be accepted or was accepted just now. With 4 KB, some legal bodies took
// over a second on loopback.
const initialBuffer = 16 << 10

// longBody is the number of bytes of a body after which its connection gets a larger receive buffer.
const longBody = 32 << 10

// Listen listens on an address. Accepted sockets have receive buffers of a fixed size; by itself the kernel grows them to several MB for
// clients whose bytes the process is too busy to read. The queue of connections that are not accepted yet is bounded, since their
// unread bytes count as memory of the process, too.
func Listen(ctx context.Context, address netip.AddrPort, limits Limits) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, min(initialBuffer, limits.ReceiveBuffer))
		})
	}}
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if raw, ok := l.(syscall.Conn); ok {
		c, err := raw.SyscallConn()
		if err == nil {
			// The net package asks for the largest queue that the kernel allows; listening again only changes that.
			err = control(c, func(fd int) error { return unix.Listen(fd, limits.Backlog) })
		}
		if err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	return l, nil
}

// growBuffer gives a connection on which a long body arrives its receive buffer, once.
func (c *conn) growBuffer() {
	if c.grown {
		return
	}
	c.grown = true
	size := c.gate.limits.ReceiveBuffer
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || size <= initialBuffer {
		return
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return // closed
	}
	// Without the options the connection is only slower.
	_ = control(rc, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
			return err
		}
		// The window is still bounded by the buffer that the connection was established with.
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
}

func control(c syscall.RawConn, set func(fd int) error) error {
	var setErr error
	if err := c.Control(func(fd uintptr) { setErr = set(int(fd)) }); err != nil {
		return err
	}
	return setErr
}

// Listener returns a listener whose connections are subject to the Gate's limits.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.gate.admit(c); accepted != nil {
			return accepted, nil
		}
	}
}

// admit returns the connection if it is admitted, and closes it or another one where the limit is reached.
func (g *Gate) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, gate: g}
	c.active.Store(int64(g.now()))
	g.mu.Lock()
	decision := admit(len(g.connections), g.limits.Connections, g.connStates)
	var victim *conn
	switch d := decision.(type) {
	case refused:
		g.mu.Unlock()
		_ = raw.Close()
		g.observer.ConnectionClosed(TooMany)
		return nil
	case replacing:
		victim = g.connections[d.closed]
		delete(g.connections, d.closed)
	case admitted:
	}
	g.nextConn++
	c.id = g.nextConn
	g.connections[c.id] = c
	g.mu.Unlock()
	g.observer.ConnectionsOpen(1)
	if victim != nil {
		victim.abort()
		g.observer.ConnectionClosed(IdleForLongest)
	}
	return c
}

// connStates yields the open connections; the caller holds the lock.
func (g *Gate) connStates(yield func(connID, connState) bool) {
	for id, c := range g.connections {
		if !yield(id, connState{active: time.Duration(c.active.Load()), busy: c.busy.Load() > 0}) {
			return
		}
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	gate   *Gate
	id     connID
	active atomic.Int64 // when bytes last arrived or a response was finished, by the Gate's clock
	busy   atomic.Int32 // requests that are being handled and wait for nothing from their client
	closed sync.Once
	grown  bool // has its receive buffer for long bodies; used by the reader of a body
}

// Read reads and records that bytes arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.active.Store(int64(c.gate.now()))
	}
	return n, err
}

// Write writes within the time that a client has to take a part of a response.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.gate.limits.ProgressTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, for which net/http looks before it closes a connection with unread data.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.gate.mu.Lock()
		delete(c.gate.connections, c.id)
		c.gate.mu.Unlock()
		c.gate.observer.ConnectionsOpen(-1)
	})
	return c.Conn.Close()
}

// abort resets the connection, so that the kernel drops its unread bytes at once.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without the option the connection is still closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// holdBusy records that a request of the connection is being handled and waits for nothing from its client, until the returned function
// is called.
func (c *conn) holdBusy() (end func()) {
	c.busy.Add(1)
	c.active.Store(int64(c.gate.now()))
	return func() {
		c.active.Store(int64(c.gate.now()))
		c.busy.Add(-1)
	}
}

// expireReads ends a read that waits for the client, and lets later ones fail.
func (c *conn) expireReads() {
	// An error means that the connection is closed, which reads report, too.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// drain reads and drops what the client sends until it closes the connection or the time is over. A response that is followed by
// a close with unread data would be lost with the reset that this causes.
func (c *conn) drain(timeout time.Duration) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	buffer := make([]byte, drainBuffer)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

const drainBuffer = 4 << 10
