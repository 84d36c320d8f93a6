package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// answer writes the response to one request on a connection and reports whether the connection stays open.
type answer func(c net.Conn, request *http.Request) bool

// peer is a server that answers each request as its test says.
type peer struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
	answer   answer
}

func newPeer(t *testing.T, a answer) *peer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &peer{address: listener.Addr().String(), answer: a}
	go p.run(listener)
	return p
}

func (p *peer) run(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		p.conns.Add(1)
		go p.serve(c)
	}
}

func (p *peer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		p.requests.Add(1)
		if !p.answer(c, request) {
			return
		}
	}
}

// say returns an answer that writes a text and keeps the connection open.
func say(text string) answer {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newTransport(c Config) *Transport {
	c.Dial = (&net.Dialer{}).DialContext
	return New(c)
}

// post sends a request and returns the response's body.
func post(ctx context.Context, t *Transport, p *peer) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/x", strings.NewReader("body"))
	if err != nil {
		return "", err
	}
	response, err := (&http.Client{Transport: t}).Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func TestRoundTrip(t *testing.T) {
	tests := []struct {
		name   string
		answer answer
		config Config
		want   string
		fails  bool
		conns  int64 // after two requests
	}{
		{name: "connections are reused", answer: say(okResponse), want: "ok", conns: 1},
		{name: "no idle connections", answer: say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), want: "ok", conns: 2},
		{name: "informational response", answer: say("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse), want: "ok", conns: 1},
		{name: "chunks", answer: say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"), want: "ok", conns: 1},
		{name: "more than one response", answer: say(okResponse + okResponse), want: "ok", conns: 2},
		{name: "malformed response", answer: say("ready\r\n\r\n"), fails: true, conns: 2},
		{name: "closed without response", answer: func(net.Conn, *http.Request) bool { return false }, fails: true, conns: 2},
		{name: "closed within the response", answer: func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok")
			return false
		}, fails: true, conns: 2},
		{name: "body too large", answer: say(okResponse), config: Config{MaxBody: 1}, fails: true, conns: 2},
		{name: "body as large as allowed", answer: say(okResponse), config: Config{MaxBody: 2}, want: "ok", conns: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPeer(t, test.answer)
			transport := newTransport(test.config)
			defer transport.CloseIdleConnections()
			for range 2 {
				got, err := post(t.Context(), transport, p)
				if (err != nil) != test.fails || got != test.want {
					t.Errorf("got %q, %v", got, err)
				}
			}
			if n := p.requests.Load(); n != 2 {
				t.Errorf("the peer got %d requests, 2 were sent", n)
			}
			if n := p.conns.Load(); n != test.conns {
				t.Errorf("%d connections, want %d", n, test.conns)
			}
		})
	}
}

func TestBodyTooLarge(t *testing.T) {
	var tooLarge BodyTooLargeError
	_, err := post(t.Context(), newTransport(Config{MaxBody: 1}), newPeer(t, say(okResponse)))
	if !errors.As(err, &tooLarge) || tooLarge.Limit != 1 {
		t.Errorf("got %v", err)
	}
}

// TestConnectionClosedWhileIdle has the peer close each connection after its response: the next request must open
// another one.
func TestConnectionClosedWhileIdle(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r *http.Request) bool { say(okResponse)(c, r); return false })
	transport := newTransport(Config{})
	for range 3 {
		if got, err := post(t.Context(), transport, p); err != nil || got != "ok" {
			t.Fatalf("got %q, %v", got, err)
		}
		time.Sleep(checkAfter + 20*time.Millisecond)
	}
}

// TestContextEndsRequest checks that a request ends with its context, while it waits for a response and while it waits for
// a connection, and that its connection is not used again.
func TestContextEndsRequest(t *testing.T) {
	silent := make(chan struct{})
	p := newPeer(t, func(net.Conn, *http.Request) bool { <-silent; return false })
	defer close(silent)
	transport := newTransport(Config{MaxPerHost: 1})
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if _, err := post(ctx, transport, p); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got %v", err)
			}
		})
	}
	wait.Wait()
	if n := p.requests.Load(); n > 2 {
		t.Errorf("the peer got %d requests, 2 were sent", n)
	}
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if h := transport.hosts[p.address]; len(h.idle) != 0 || h.users != 0 || len(h.slots) != 0 {
		t.Errorf("%d idle connections, %d users, %d slots in use", len(h.idle), h.users, len(h.slots))
	}
}

// TestBounds checks the bounds on open and idle connections with 20 requests at the same time.
func TestBounds(t *testing.T) {
	var running, most atomic.Int64
	p := newPeer(t, func(c net.Conn, r *http.Request) bool {
		now := running.Add(1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		return say(okResponse)(c, r)
	})
	transport := newTransport(Config{MaxPerHost: 3, MaxIdle: 2})
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			if _, err := post(t.Context(), transport, p); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if most.Load() > 3 {
		t.Errorf("%d requests at the same time, 3 allowed", most.Load())
	}
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if n := len(transport.hosts[p.address].idle); n > 2 {
		t.Errorf("%d idle connections, 2 allowed", n)
	}
}

// TestIdleTimeout checks that connections of one address are closed by requests to another, and that their host is
// forgotten.
func TestIdleTimeout(t *testing.T) {
	first, second := newPeer(t, say(okResponse)), newPeer(t, say(okResponse))
	transport := newTransport(Config{IdleTimeout: 50 * time.Millisecond})
	for _, p := range []*peer{first, second} {
		if _, err := post(t.Context(), transport, p); err != nil {
			t.Fatal(err)
		}
		time.Sleep(70 * time.Millisecond)
	}
	if _, err := post(t.Context(), transport, second); err != nil {
		t.Fatal(err)
	}
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if _, known := transport.hosts[first.address]; known {
		t.Error("the address that nobody uses is still known")
	}
}

// TestTraceTellsWhatMayHaveBeenSent checks that a trace hears of a connection before a request that got no response, and of
// none if there was no connection.
func TestTraceTellsWhatMayHaveBeenSent(t *testing.T) {
	tests := []struct {
		name string
		peer *peer
		sent bool
	}{
		{"no response", newPeer(t, func(net.Conn, *http.Request) bool { return false }), true},
		{"nobody listens", &peer{address: "127.0.0.1:1"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := false
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
			if _, err := post(ctx, newTransport(Config{}), test.peer); err == nil || sent != test.sent {
				t.Errorf("sent: %v, want %v; error %v", sent, test.sent, err)
			}
		})
	}
}

// TestSilentConnectionsAreNotTriedOneByOne guards against a peer that stayed out of reach for as many timeouts as there
// were idle connections to it that had gone silent without a reset.
func TestSilentConnectionsAreNotTriedOneByOne(t *testing.T) {
	const (
		idle    = 5
		timeout = 400 * time.Millisecond
	)
	var silent atomic.Bool
	var opened sync.WaitGroup
	opened.Add(idle)
	silenced := sync.Map{}
	p := newPeer(t, func(c net.Conn, _ *http.Request) bool {
		if _, old := silenced.Load(c); old && silent.Load() {
			return true
		}
		if !silent.Load() {
			silenced.Store(c, struct{}{})
			opened.Done()
			opened.Wait()
		}
		_, err := io.WriteString(c, okResponse)
		return err == nil
	})
	transport := newTransport(Config{MaxIdle: idle})
	var requests sync.WaitGroup
	for range idle {
		requests.Go(func() {
			if _, err := post(t.Context(), transport, p); err != nil {
				t.Error(err)
			}
		})
	}
	requests.Wait()
	silent.Store(true)
	time.Sleep(silentIdle + 100*time.Millisecond)
	failed := 0
	for range idle {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		if _, err := post(ctx, transport, p); err != nil {
			failed++
		}
		cancel()
	}
	if failed != 1 {
		t.Errorf("%d requests got no answer, want 1", failed)
	}
}

// TestEndedContextSendsNothing guards against requests that were sent although their context had ended before.
func TestEndedContextSendsNothing(t *testing.T) {
	p := newPeer(t, say(okResponse))
	transport := newTransport(Config{MaxIdle: 1})
	if _, err := post(t.Context(), transport, p); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 200 {
		if _, err := post(ended, transport, p); !errors.Is(err, context.Canceled) {
			t.Fatalf("error %v, want %v", err, context.Canceled)
		}
	}
	if _, err := post(t.Context(), transport, p); err != nil {
		t.Fatal(err)
	}
	if requests, conns := p.requests.Load(), p.conns.Load(); requests != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", requests, conns)
	}
}

// TestInterruptedResponseIsToldApart checks that a response that had begun when its time was over is told from none at all.
func TestInterruptedResponseIsToldApart(t *testing.T) {
	tests := []struct {
		name  string
		text  string
		begun bool
	}{
		{"silence", "", false},
		{"a part of the head", "HTTP/1.1 200 OK\r\n", false},
		{"a part of the body", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", true},
	}
	for _, test := range tests {
		p := newPeer(t, say(test.text))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := post(ctx, newTransport(Config{}), p)
		cancel()
		var interrupted InterruptedResponseError
		if errors.As(err, &interrupted) != test.begun || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: error %v, want an InterruptedResponseError: %v", test.name, err, test.begun)
		}
	}
}
