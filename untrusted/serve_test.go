package untrusted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	controlstore "marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/standin"
)

// Addresses and secrets of an entry instance.
const (
	callersPort    = 8001
	operatorsPort  = 8002
	membersPort    = 8003
	memberSecret   = "a-secret-of-the-peers"
	operatorSecret = "a-secret-of-operators"
	entryRules     = "pool web size=1 budget=1 # Maria\nteam red share=1 limit=100000 # Maria\nqueue visitors pool=web open for=red # Maria\n"
)

// Crowds of an entry instance.
const (
	entryBodyBytes  = 1 << 20 // the longest body of a caller
	tinyChunk       = 1
	tinyChunkBytes  = 200_000 // of a body in tiny chunks
	endlessHeader   = 4_000   // bytes of a header that never ends
	http2Conns      = 20
	streamsPerConn  = clients / http2Conns
	entrySlots      = 8
	shortWork       = time.Millisecond
	operatorTimeout = 30 * time.Second
)

// entryListener is an address of an entry instance, a request that reads bodies there, and one that has none.
type entryListener struct {
	name          string
	port          int
	path          string
	contentType   string
	authorization string
	get           string
	ordinary      call
}

// entryListeners returns the addresses of an entry instance.
func entryListeners() []entryListener {
	url := func(port int, path string) string { return fmt.Sprintf("http://%s:%d%s", instanceIP, port, path) }
	return []entryListener{
		{
			name: "callers", port: callersPort, path: "/v1/queues/visitors", contentType: "text/plain", get: "/live",
			ordinary: call{method: http.MethodPost, url: url(callersPort, "/v1/queues/visitors"), body: "x", status: http.StatusOK},
		},
		{
			name: "operators", port: operatorsPort, path: "/v1/rules", contentType: "application/json", authorization: "Bearer " + operatorSecret, get: "/metrics",
			ordinary: call{method: http.MethodGet, url: url(operatorsPort, "/v1/status"), authorization: "Bearer " + operatorSecret, status: http.StatusOK},
		},
		{
			name: "peers", port: membersPort, path: "/peer/relay", contentType: "application/cbor", authorization: "Bearer " + memberSecret, get: "/peer/relay",
			ordinary: call{
				method: http.MethodPost, url: url(membersPort, "/peer/recall"), authorization: "Bearer " + memberSecret,
				contentType: "application/cbor", body: "\xa0", status: http.StatusOK,
			},
		},
	}
}

// startEntry starts an entry instance with a platform and one worker, and waits until it serves callers.
func startEntry(t *testing.T, binary string) *process {
	t.Helper()
	platform := standin.NewPlatform(time.Second)
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.CloseClientConnections)
	worker := standin.NewEndpoint(standin.EndpointConfig{
		Instance: "w1", DataCentre: "dc1", Slots: entrySlots, Journal: &standin.Journal{}, Work: func(string) time.Duration { return shortWork },
	})
	workerServer := httptest.NewServer(worker)
	t.Cleanup(workerServer.CloseClientConnections)
	platform.Add(controlstore.ListedInstance{
		Instance: "w1", Address: netip.MustParseAddrPort(workerServer.Listener.Addr().String()), DataCentre: "dc1", Rack: "r1", Pool: "web", Slots: entrySlots,
	}, worker)
	settings := fmt.Sprintf("[entry]\nname = a\ndc = dc1\n[listen]\ncallers = %[1]s:%[2]d\noperators = %[1]s:%[3]d\npeers = %[1]s:%[4]d\n"+
		"[limits]\nmemory = %[8]dMB\ndescriptors = %[9]d\n[platform]\naddress = %[5]s\n[peers]\nsecret = %[6]s\n[operators]\nsecret = %[7]s\n",
		instanceIP, callersPort, operatorsPort, membersPort, platformServer.Listener.Addr(), memberSecret, operatorSecret, memoryMB, maxDescriptors)
	p := startProgram(t, program{
		binary: binary, args: []string{"serve", "--settings", writeSettings(t, []byte(settings))},
		ordinary: call{method: http.MethodGet, url: fmt.Sprintf("http://%s:%d/live", instanceIP, callersPort), status: http.StatusOK},
	})
	applyRules(t)
	p.ordinary = entryListeners()[0].ordinary
	p.awaitOrdinaryRequest(t, "before the load")
	return p
}

// applyRules has an entry instance put the rules into force.
func applyRules(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), operatorTimeout)
	defer cancel()
	client := operator.NewClient(operator.ClientConfig{
		Address: netip.AddrPortFrom(netip.MustParseAddr(instanceIP), operatorsPort), Secret: operatorSecret, Transport: &http.Transport{DisableKeepAlives: true},
	})
	for {
		_, err := client.Apply(ctx, operator.Apply{Text: entryRules + waitingQueues + otherTeam, By: "Maria"})
		var refused operator.RefusedError
		if err == nil || errors.As(err, &refused) && strings.Contains(refused.Reason, "is in force") {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("applying the rules: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// entryForm is what the clients of an entry instance do. It returns their connections, which stay open.
type entryForm struct {
	name string
	load func(t *testing.T, l entryListener) []io.Closer
}

var entryForms = []entryForm{
	{"whole bodies", func(_ *testing.T, l entryListener) []io.Closer { return l.sendBodies(forms[0], entryBodyBytes) }},
	{"bodies in pieces", func(_ *testing.T, l entryListener) []io.Closer { return l.sendBodies(forms[1], entryBodyBytes) }},
	{"large chunks", func(_ *testing.T, l entryListener) []io.Closer { return l.sendBodies(forms[2], entryBodyBytes) }},
	{"tiny chunks", func(_ *testing.T, l entryListener) []io.Closer {
		return l.sendBodies(form{chunk: tinyChunk, write: maxClientWrite}, tinyChunkBytes)
	}},
	{"bodies in streams of HTTP/2", func(t *testing.T, l entryListener) []io.Closer { return l.openStreams(t) }},
	{"headers that never end", func(_ *testing.T, l entryListener) []io.Closer {
		header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX: %s", l.path, host, strings.Repeat("x", endlessHeader))
		return closers(crowd{address: l.address(), message: header, write: maxClientWrite}.connect())
	}},
	{"connections that stay idle", func(_ *testing.T, l entryListener) []io.Closer {
		return closers(crowd{address: l.address(), message: fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", l.get, host), write: maxClientWrite}.connect())
	}},
}

func (l entryListener) address() string { return fmt.Sprintf("%s:%d", instanceIP, l.port) }

// sendBodies has all clients send a body of a size, most of them all but its last bytes.
func (l entryListener) sendBodies(f form, size int) []io.Closer {
	length := fmt.Sprintf("Content-Length: %d", size)
	if f.chunk > 0 {
		length = "Transfer-Encoding: chunked"
	}
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nContent-Type: %s\r\nDeadline: 2m\r\n%s\r\n\r\n", l.path, host, l.authorization, l.contentType, length)
	if l.authorization == "" {
		header = strings.Replace(header, "Authorization: \r\n", "", 1)
	}
	return closers(crowd{
		address: l.address(), header: func(int) string { return header }, message: f.encode(size), write: f.write, missing: missing,
	}.connect())
}

func closers(connections []net.Conn) []io.Closer {
	var list []io.Closer
	for _, c := range connections {
		list = append(list, c)
	}
	return list
}

// openStreams has clients send bodies in the streams of a few connections of HTTP/2, most of them all but their last bytes.
func (l entryListener) openStreams(t *testing.T) []io.Closer {
	ctx, cancel := context.WithCancel(t.Context())
	open := []io.Closer{closerFunc(cancel)}
	var sent sync.WaitGroup
	for range http2Conns {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		open = append(open, closerFunc(transport.CloseIdleConnections))
		for n := range streamsPerConn {
			b := &stalledBody{left: entryBodyBytes, ctx: ctx, sent: sync.OnceFunc(sent.Done)}
			if n%completeShare != 0 {
				b.left -= missing
				b.stalls = true
			}
			sent.Add(1)
			go (&streamRequest{listener: l, transport: transport, body: b}).run(ctx)
		}
	}
	sent.Wait()
	return open
}

// closerFunc makes a function an io.Closer.
type closerFunc func()

// Close calls the function.
func (f closerFunc) Close() error { f(); return nil }

// streamRequest is one request of a connection of HTTP/2.
type streamRequest struct {
	listener  entryListener
	transport *http.Transport
	body      *stalledBody
}

func (s *streamRequest) run(ctx context.Context) {
	defer s.body.sent()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.listener.address()+s.listener.path, s.body)
	if err != nil {
		return
	}
	request.ContentLength = entryBodyBytes
	request.Header.Set("Content-Type", s.listener.contentType)
	request.Header.Set("Deadline", "2m")
	if s.listener.authorization != "" {
		request.Header.Set("Authorization", s.listener.authorization)
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return // rejected
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// stalledBody is a body that yields its bytes and then, if it stalls, nothing until its context ends.
type stalledBody struct {
	left   int
	stalls bool
	ctx    context.Context
	sent   func() // called when all bytes have been taken, or the body is closed
}

// Read yields the next bytes.
func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.sent()
		if b.stalls {
			<-b.ctx.Done()
		}
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// Close ends the body.
func (b *stalledBody) Close() error {
	b.sent()
	return nil
}

// TestEntryInstance guards against clients of an entry instance that exhaust its memory or its descriptors, or that keep others from
// being served at any of its addresses.
func TestEntryInstance(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	binary := buildBinary(t)
	for _, l := range entryListeners() {
		for _, f := range entryForms {
			t.Run(l.name+"/"+f.name, func(t *testing.T) {
				p := startEntry(t, binary)
				open := f.load(t, l)
				time.Sleep(holdTime)
				p.awaitAll(t, "beside the open connections")
				p.check(t)
				for _, c := range open {
					_ = c.Close()
				}
				p.awaitAll(t, "after the load")
				p.check(t)
			})
		}
	}
}

// awaitAll makes an ordinary request to each address of an entry instance.
func (p *process) awaitAll(t *testing.T, when string) {
	t.Helper()
	for _, l := range entryListeners() {
		p.await(t, l.ordinary, "by the listener of "+l.name+" "+when)
	}
}
