package soak

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// harm is what a proxy does to the connections through it.
type harm int

const (
	none    harm = iota
	delayed      // every piece waits
	mute         // nothing passes, and nobody is told
	oneWay       // only what the store answers is held back
	reset        // connections are broken, new ones too
)

// proxy stands between one instance and the store.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	harm  harm
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
	go p.loop()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(h harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
	if h == reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) now() harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *proxy) loop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == reset {
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
		go p.carry(in, out, mute)
		go p.carry(out, in, oneWay)
	}
}

// carry copies one direction, which a harm of that direction or a mute proxy holds back.
func (p *proxy) carry(from, to net.Conn, held harm) {
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
		for h := p.now(); h == mute || h == held; h = p.now() {
			time.Sleep(10 * time.Millisecond)
		}
		if p.now() == delayed {
			time.Sleep(60 * time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
