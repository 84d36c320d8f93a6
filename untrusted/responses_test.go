package untrusted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Responses that nobody takes.
const (
	largeTable   = "large"
	largeRecords = 40
	recordBytes  = 100_000
	readsAhead   = 20 // requests that a client sends without taking a response
)

// TestResponsesThatNobodyTakes guards against clients of the peers' address that ask for long responses and take none of them.
func TestResponsesThatNobodyTakes(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	s := newJobStore()
	for n := range largeRecords {
		s.put(largeTable, fmt.Sprintf("key-%d", n), strings.Repeat("x", recordBytes))
	}
	p := startInstance(t, buildBinary(t), s, limits{memoryMB: memoryMB, descriptors: maxDescriptors})
	p.await(t, question(1, apiKey), "before the load")
	body, err := cbor.Marshal(relay.ReadRequest{Table: stream.Table{Name: largeTable}})
	if err != nil {
		t.Fatal(err)
	}
	request := fmt.Sprintf("POST /jobs.Relay/Read HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n%s", host, len(body), body)
	connections := crowd{
		address: fmt.Sprintf("%s:%d", instanceIP, peerPort), message: strings.Repeat(request, readsAhead), write: maxClientWrite,
	}.connect()
	time.Sleep(holdTime)
	p.awaitOrdinaryRequest(t, "beside the open connections")
	p.awaitAnswer(t, listener{name: "peers", port: peerPort, path: "/"})
	p.check(t)
	for _, c := range connections {
		_ = c.Close()
	}
	p.awaitOrdinaryRequest(t, "after the load")
	p.check(t)
}
