package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience bounds how long a test waits for what must happen.
const patience = 20 * time.Second

// recorder is an Observer that keeps sums.
type recorder struct {
	mu       sync.Mutex
	held     int64
	open     int
	rejected map[Reason]int
	closed   map[Reason]int
}

func (r *recorder) BytesHeld(change int64)         { r.do(func() { r.held += change }) }
func (r *recorder) ConnectionsOpen(change int)     { r.do(func() { r.open += change }) }
func (r *recorder) BodyRejected(reason Reason)     { r.do(func() { r.rejected[reason]++ }) }
func (r *recorder) ConnectionClosed(reason Reason) { r.do(func() { r.closed[reason]++ }) }

func (r *recorder) do(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// rejections returns how many bodies were rejected, by reason.
func (r *recorder) rejections() map[Reason]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.rejected)
}

// closes returns how many connections were closed at the limit, by reason.
func (r *recorder) closes() map[Reason]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.closed)
}

// await waits until a condition on the sums holds.
func (r *recorder) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		ok := condition()
		r.mu.Unlock()
		if ok {
			return
		}
	}
	t.Errorf("%s: never; %d bytes held, %d connections, rejected %v, closed %v", what, r.held, r.open, r.rejected, r.closed)
}

// server is an HTTP server behind a Gate.
type server struct {
	*recorder
	t       *testing.T
	address string
}

func testLimits() Limits {
	return Limits{Connections: 100, BodyBytes: 1 << 20, BodyTimeout: patience, ProgressTimeout: patience, ReceiveBuffer: 32 << 10, Backlog: 100}
}

func newServer(t *testing.T, limits Limits, handler http.HandlerFunc) *server {
	t.Helper()
	return newServerWith(t, limits, handler, func(*http.Server) {})
}

// newServerWith returns a server whose settings are changed before it starts.
func newServerWith(t *testing.T, limits Limits, handler http.HandlerFunc, change func(*http.Server)) *server {
	t.Helper()
	r := &recorder{rejected: map[Reason]int{}, closed: map[Reason]int{}}
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), limits)
	if err != nil {
		t.Fatal(err)
	}
	gate := NewGate(limits, r)
	s := &http.Server{
		Handler: gate.Handler(handler, func(*http.Request) time.Duration { return patience }), ConnContext: gate.ConnContext,
		ErrorLog: newDiscardLog(), ReadHeaderTimeout: patience,
	}
	change(s)
	go func() { _ = s.Serve(gate.Listener(l)) }()
	t.Cleanup(func() {
		_ = s.Close()
		r.await(t, "releasing everything at the end", func() bool { return r.held == 0 && r.open == 0 })
	})
	return &server{recorder: r, t: t, address: l.Addr().String()}
}

// client is a connection to a server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{Conn: c, t: s.t, reader: bufio.NewReader(c)}
}

// begin sends the header of a request and the first bytes of its body.
func (c *client) begin(length int, body string, header ...string) *client {
	c.t.Helper()
	if length >= 0 {
		header = append(header, fmt.Sprintf("Content-Length: %d", length))
	}
	c.write("POST / HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(header, "", ""), "\r\n") + body)
	return c
}

func (c *client) write(data string) {
	c.t.Helper()
	if _, err := c.Write([]byte(data)); err != nil {
		c.t.Errorf("sending: %v", err)
	}
}

// answer reads a response and fails the test if it does not have the status, or says other than wanted that the connection will be closed.
func (c *client) answer(status int, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("no response: %v", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Errorf("reading the response: %v", err)
	}
	if response.StatusCode != status || response.Close != closes {
		c.t.Errorf("the response is %s, closing the connection: %v; want %d, %v", response.Status, response.Close, status, closes)
	}
}

// count answers with 200 if a body can be read, and else with 400.
func count(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

const quarter = 256 << 10

// TestStalledBodiesMakeRoom guards against stalled bodies that exhaust the memory or keep others from being read, and against
// a budget that does not recover.
func TestStalledBodiesMakeRoom(t *testing.T) {
	s := newServer(t, testLimits(), count)
	var stalled []*client
	for n := range 4 {
		stalled = append(stalled, s.dial().begin(quarter, strings.Repeat("x", quarter-1)))
		s.await(t, "holding a stalled body", func() bool { return s.held == int64(n+1)*quarter })
	}
	s.dial().begin(5, "small").answer(http.StatusOK, false)
	stalled[0].answer(http.StatusServiceUnavailable, true)
	s.dial().begin(quarter, strings.Repeat("x", quarter)).answer(http.StatusOK, false)
	stalled[2].write("x")
	stalled[2].answer(http.StatusOK, false)
	for _, c := range stalled {
		_ = c.Close()
	}
	s.await(t, "releasing the bodies", func() bool { return s.held == 0 })
	s.dial().begin(quarter, strings.Repeat("x", quarter)).answer(http.StatusOK, false)
	if s.rejections()[NoMemory] != 1 {
		t.Errorf("%d bodies were rejected for want of memory, want 1", s.rejections()[NoMemory])
	}
}

// TestDeclaredLengthIsNotCharged guards against clients that exhaust the budget by the length that they declare.
func TestDeclaredLengthIsNotCharged(t *testing.T) {
	s := newServer(t, testLimits(), count)
	for range 20 {
		s.dial().begin(quarter, "x")
	}
	s.await(t, "holding all bodies", func() bool { return s.held == 20*chargeUnit })
	s.dial().begin(quarter, strings.Repeat("x", quarter)).answer(http.StatusOK, false)
	if len(s.rejections()) > 0 {
		t.Errorf("bodies were rejected: %v", s.rejections())
	}
}

// TestBodiesOfRunningCallsAreKept guards against a rejection of a call that may have taken effect: where all that is held belongs to
// calls that wait for something else, the new body is rejected.
func TestBodiesOfRunningCallsAreKept(t *testing.T) {
	store := make(chan struct{})
	s := newServer(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		count(w, r)
		<-store
	})
	var waiting []*client
	for n := range 4 {
		waiting = append(waiting, s.dial().begin(quarter, strings.Repeat("x", quarter)))
		s.await(t, "holding a body", func() bool { return s.held == int64(n+1)*quarter })
	}
	rejected := s.dial().begin(5, "small")
	s.await(t, "rejecting a body", func() bool { return s.rejected[NoMemory] == 1 })
	close(store)
	rejected.answer(http.StatusServiceUnavailable, true)
	for _, c := range waiting {
		c.answer(http.StatusOK, false)
	}
}

// TestTimeoutsOfBodies guards against bodies that are never complete, and against timeouts that meet bodies which are slow but in time.
func TestTimeoutsOfBodies(t *testing.T) {
	const short, gap = 2 * time.Second, 500 * time.Millisecond
	tests := []struct {
		name    string
		limits  func(*Limits)
		header  string
		pieces  int
		missing int
		status  int
		reason  Reason
	}{
		{"slow, in time", func(l *Limits) { l.ProgressTimeout = short }, "Content-Length: 6", 6, 0, http.StatusOK, 0},
		{"slow in chunks, in time", func(l *Limits) { l.ProgressTimeout = short }, "Transfer-Encoding: chunked", 6, 0, http.StatusOK, 0},
		{"stalled", func(l *Limits) { l.ProgressTimeout = gap }, "Content-Length: 3", 1, 2, http.StatusServiceUnavailable, Stalled},
		{"stalled in chunks", func(l *Limits) { l.ProgressTimeout = gap }, "Transfer-Encoding: chunked", 1, 1, http.StatusServiceUnavailable, Stalled},
		{"too slow", func(l *Limits) { l.BodyTimeout = gap }, "Content-Length: 3", 1, 2, http.StatusServiceUnavailable, TooSlow},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			limits := testLimits()
			test.limits(&limits)
			s := newServer(t, limits, count)
			c := s.dial().begin(-1, "", test.header)
			for range test.pieces {
				if strings.HasPrefix(test.header, "Transfer") {
					c.write("1\r\nx\r\n")
				} else {
					c.write("x")
				}
				if test.pieces > 1 {
					time.Sleep(gap)
				}
			}
			if strings.HasPrefix(test.header, "Transfer") && test.missing == 0 {
				c.write("0\r\n\r\n")
			}
			c.answer(test.status, test.status != http.StatusOK)
			if test.status == http.StatusOK && len(s.rejections()) > 0 || test.status != http.StatusOK && s.rejections()[test.reason] != 1 {
				t.Errorf("rejected: %v", s.rejections())
			}
		})
	}
}

// TestEveryEndReleases guards against a budget that shrinks with each call that ends in an unusual way.
func TestEveryEndReleases(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		body    string // of 4 declared bytes
		leave   bool   // the client closes the connection
	}{
		{"a panic before the body is read", func(http.ResponseWriter, *http.Request) { panic("test") }, "x", false},
		{"a panic after the body was read", func(w http.ResponseWriter, r *http.Request) { count(w, r); panic("test") }, "xxxx", false},
		{"a closed connection", count, "x", true},
		{"a handler that reads nothing", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }, "xxxx", true},
		{"a handler that reads a part", func(_ http.ResponseWriter, r *http.Request) { _, _ = r.Body.Read(make([]byte, 1)) }, "xxxx", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t, testLimits(), test.handler)
			c := s.dial().begin(4, test.body)
			if test.leave {
				_ = c.Close()
			} else if _, err := http.ReadResponse(c.reader, nil); err == nil {
				t.Error("a handler that panics gives a response")
			}
			s.await(t, "releasing the body and the connection", func() bool { return s.held == 0 && s.open == 0 })
		})
	}
}

// TestUnreadBodiesEnd guards against connections that stay open since net/http waits for the rest of a body that the handler does not read.
func TestUnreadBodiesEnd(t *testing.T) {
	limits := testLimits()
	limits.ProgressTimeout = 200 * time.Millisecond
	s := newServer(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	s.dial().begin(4, "x").answer(http.StatusUnauthorized, true)
	s.await(t, "closing the connection", func() bool { return s.open == 0 })
}

// TestRejectionIsTruthful guards against a response that says a call had effect though its body was not read to its end.
func TestRejectionIsTruthful(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"the handler ignores the error", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			_, _ = w.Write([]byte("done"))
		}},
		{"the handler gives no response", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }},
		{"the handler gives another status", count},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limits := testLimits()
			limits.ProgressTimeout = 200 * time.Millisecond
			s := newServer(t, limits, test.handler)
			s.dial().begin(4, "x").answer(http.StatusServiceUnavailable, true)
		})
	}
}

// TestTooLargeBodyClosesTheConnection guards against reading the rest of a body that is rejected for its size.
func TestTooLargeBodyClosesTheConnection(t *testing.T) {
	s := newServer(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 8))
		if errors.As(err, new(*http.MaxBytesError)) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	s.dial().begin(1000, "more than 8 bytes").answer(http.StatusRequestEntityTooLarge, true)
	s.await(t, "closing the connection", func() bool { return s.open == 0 })
}

// TestExpectContinue guards against clients that wait for "100 Continue" in vain, and against asking for a body that is not read.
func TestExpectContinue(t *testing.T) {
	s := newServer(t, testLimits(), count)
	c := s.dial().begin(4, "", "Expect: 100-continue")
	if line, err := c.reader.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatalf("got %q, error %v, want 100 Continue", line, err)
	}
	if _, err := c.reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	c.write("body")
	c.answer(http.StatusOK, false)

	rejecting := newServer(t, testLimits(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	rejecting.dial().begin(4, "", "Expect: 100-continue").answer(http.StatusUnauthorized, true)

	limits := testLimits()
	limits.ProgressTimeout = 200 * time.Millisecond
	silent := newServer(t, limits, count)
	c = silent.dial().begin(4, "", "Expect: 100-continue")
	c.answer(http.StatusContinue, false)
	c.answer(http.StatusServiceUnavailable, true)
}

// TestIdleConnectionMakesRoom guards against a limit at which new clients get no answer while others hold idle connections.
func TestIdleConnectionMakesRoom(t *testing.T) {
	limits := testLimits()
	limits.Connections = 3
	release := make(chan struct{})
	s := newServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
		count(w, r)
		if r.Header.Get("Wait") != "" {
			<-release
		}
	})
	busy := s.dial().begin(4, "body", "Wait: 1")
	s.await(t, "holding a body", func() bool { return s.held == chargeUnit })
	idle := s.dial().begin(0, "")
	idle.answer(http.StatusOK, false)
	stalled := s.dial().begin(4, "x")
	s.await(t, "holding two bodies", func() bool { return s.held == 2*chargeUnit })
	s.dial().begin(4, "body").answer(http.StatusOK, false)
	if _, err := idle.reader.ReadByte(); err == nil {
		t.Error("the idle connection is open, want it closed for a new one")
	}
	stalled.write("xxx")
	stalled.answer(http.StatusOK, false)
	close(release)
	busy.answer(http.StatusOK, false)
	if s.closes()[IdleForLongest] != 1 {
		t.Errorf("closed %v, want one that was idle", s.closes())
	}
}

// TestConnectionsAreRefusedWhileAllAreServed guards against exceeding the limit, or closing a call that is being handled.
func TestConnectionsAreRefusedWhileAllAreServed(t *testing.T) {
	limits := testLimits()
	limits.Connections = 1
	release := make(chan struct{})
	s := newServer(t, limits, func(w http.ResponseWriter, r *http.Request) { count(w, r); <-release })
	busy := s.dial().begin(4, "body")
	s.await(t, "holding a body", func() bool { return s.held == chargeUnit })
	refusedOne := s.dial()
	if _, err := refusedOne.reader.ReadByte(); err == nil {
		t.Error("a second connection is served")
	}
	close(release)
	busy.answer(http.StatusOK, false)
	if s.closes()[TooMany] != 1 {
		t.Errorf("closed %v, want one that was refused", s.closes())
	}
}

// TestKeepAliveConnectionsStay guards against closing connections of ordinary clients below the limit.
func TestKeepAliveConnectionsStay(t *testing.T) {
	limits := testLimits()
	limits.Connections = 400
	s := newServer(t, limits, count)
	var clients []*client
	for range limits.Connections {
		clients = append(clients, s.dial())
	}
	for range 3 {
		for _, c := range clients {
			c.begin(4, "body").answer(http.StatusOK, false)
		}
	}
	if len(s.closes()) > 0 || len(s.rejections()) > 0 {
		t.Errorf("closed %v, rejected %v, want none", s.closes(), s.rejections())
	}
}

func newDiscardLog() *log.Logger { return log.New(io.Discard, "", 0) }
