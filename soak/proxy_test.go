package soak

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// fault is what a proxy does to its connections.
type fault int

const (
	noFault      fault = iota
	delayed            // every read is forwarded 60 ms late
	blackhole          // nothing is forwarded; the connections stay open
	blockReplies       // only the replies of the store are held back
	reset              // connections are closed, new ones too
)

// proxy forwards the connections of one instance to the store and injects faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { _ = listener.Close() })
	go p.acceptLoop()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == reset {
			_ = in.Close()
			continue
		}
		out, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in] = struct{}{}
		p.mu.Unlock()
		go p.forward(in, out, blackhole)
		go p.forward(out, in, blockReplies)
	}
}

// forward copies one direction of a connection; it holds data back during blackhole and during the fault blocking.
func (p *proxy) forward(from, to net.Conn, blocking fault) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for f := p.currentFault(); f == blackhole || f == blocking; f = p.currentFault() {
			time.Sleep(10 * time.Millisecond)
		}
		if p.currentFault() == delayed {
			time.Sleep(60 * time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
