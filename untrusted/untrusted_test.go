package untrusted

import (
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

var enabled = flag.Bool("untrusted", false, "run the tests of untrusted clients, which need a machine without other load")

const (
	clients        = 600
	bodyBytes      = 262_144 // max_body_bytes of the operators' configuration
	completeShare  = 10      // one of so many clients sends its whole body; the others stop just short of the end
	missing        = 16      // bytes that the others keep back
	piece          = 4 << 10
	largeChunk     = 32 << 10
	smallChunk     = 4
	holdTime       = time.Second // how long the clients stay after the last one has sent all that it sends
	clientsAtOnce  = 100         // clients that connect and send at the same time; all of them stay connected
	maxClientWrite = 64 << 10
)

// form is how a client sends its body.
type form struct {
	name  string
	chunk int // size of chunks, 0 for a body of declared length
	write int // largest number of bytes in one write
}

var forms = []form{
	{name: "whole bodies", write: 2 * bodyBytes},
	{name: "bodies in pieces", write: piece},
	{name: "large chunks", chunk: largeChunk, write: maxClientWrite},
	{name: "very small chunks", chunk: smallChunk, write: maxClientWrite},
}

// listener is an address of the instance and a path that reads bodies there.
type listener struct {
	name        string
	port        int
	path        string
	contentType string
}

var listeners = []listener{
	{name: "callers", port: frontPort, path: pathPrefix, contentType: "application/json"},
	{name: "peers", port: peerPort, path: "/jobs.Relay/Submit", contentType: "application/cbor"},
}

// TestUntrustedClients guards against clients that terminate or block a process by bodies that they send nearly whole and never
// end: held in memory, they exceed the memory of the instance, and their connections its descriptors.
func TestUntrustedClients(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	binary := buildBinary(t)
	for _, l := range listeners {
		for _, f := range forms {
			t.Run(l.name+"/"+f.name, func(t *testing.T) {
				p := startProcess(t, binary, limits{memoryMB: memoryMB, descriptors: maxDescriptors})
				connections := load(l, f)
				time.Sleep(holdTime)
				p.awaitOrdinaryRequest(t, "beside the open connections")
				p.check(t)
				for _, c := range connections {
					_ = c.Close()
				}
				p.awaitOrdinaryRequest(t, "after the load")
				p.check(t)
			})
		}
	}
}

// crowd is many clients that connect and send the same. Most of them stop just short of the end of the message and stay connected.
type crowd struct {
	address string
	header  func(n int) string // of one client, sent in one write; may be nil
	message string
	write   int // largest number of bytes in one write
	missing int // bytes of the message that all clients but one in completeShare keep back
}

// load connects all clients, sends their bodies and returns the connections, which stay open.
func load(l listener, f form) []net.Conn {
	return crowd{
		address: fmt.Sprintf("%s:%d", instanceIP, l.port), header: func(n int) string { return header(l, f, n) },
		message: f.encode(bodyBytes), write: f.write, missing: missing,
	}.connect()
}

// connect connects all clients, has them send and returns the connections, which stay open.
func (c crowd) connect() []net.Conn {
	var mu sync.Mutex
	var connections []net.Conn
	var wait sync.WaitGroup
	slots := make(chan struct{}, clientsAtOnce)
	for n := range clients {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			client, err := net.DialTimeout("tcp", c.address, requestTimeout)
			if err != nil {
				return // rejected
			}
			mu.Lock()
			connections = append(connections, client)
			mu.Unlock()
			c.send(client, n)
		})
	}
	wait.Wait()
	return connections
}

// encode returns a body of a size as it is sent, a JSON object that is no job.
func (f form) encode(size int) string {
	const start, end = `{"phases":[],"spec":"`, `"}`
	body := start + strings.Repeat("x", size-len(start)-len(end)) + end
	if f.chunk == 0 {
		return body
	}
	var b strings.Builder
	for at := 0; at < len(body); at += f.chunk {
		part := body[at:min(len(body), at+f.chunk)]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// header returns the header of one client's request.
func header(l listener, f form, n int) string {
	path := l.path
	if l.port == frontPort {
		path += fmt.Sprintf("%016x", 1000+n)
	}
	length := fmt.Sprintf("Content-Length: %d", bodyBytes)
	if f.chunk > 0 {
		length = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nContent-Type: %s\r\nMarigoldshed-Deadline-Ms: 120000\r\n%s\r\n\r\n",
		path, host, apiKey, l.contentType, length)
}

// send sends one client's request. It stops at the first error, since the process may reject a body and close its connection.
func (c crowd) send(client net.Conn, n int) {
	_ = client.SetDeadline(time.Now().Add(patience))
	if c.header != nil {
		if _, err := client.Write([]byte(c.header(n))); err != nil {
			return
		}
	}
	message := c.message
	if n%completeShare != 0 {
		message = message[:len(message)-c.missing]
	}
	for message != "" {
		part := message[:min(len(message), c.write)]
		if _, err := client.Write([]byte(part)); err != nil {
			return
		}
		message = message[len(part):]
	}
}

// TestListenersAreIndependent guards against clients of one listener that keep those of another from being served, and against
// listeners whose handlers read no bodies and that have no limits.
func TestListenersAreIndependent(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	binary := buildBinary(t)
	others := []listener{{name: "ready", port: readyPort, path: "/ready"}, {name: "metrics", port: metricsPort, path: "/metrics"}}
	for _, l := range append(others, listeners...) {
		t.Run(l.name, func(t *testing.T) {
			p := startProcess(t, binary, limits{memoryMB: memoryMB, descriptors: maxDescriptors})
			connections := load(l, forms[0])
			for _, other := range append(others, listener{name: "peers", port: peerPort, path: "/"}) {
				if other.port != l.port {
					p.awaitAnswer(t, other)
				}
			}
			p.awaitOrdinaryRequest(t, "beside the open connections")
			p.check(t)
			for _, c := range connections {
				_ = c.Close()
			}
			p.awaitAnswer(t, l)
			p.check(t)
		})
	}
}
