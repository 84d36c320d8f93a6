package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
)

// waitingReads is a service whose reads wait until they are released.
type waitingReads struct {
	Service
	begun   chan struct{}
	release chan struct{}
}

func (s waitingReads) HandleRead(context.Context, ReadRequest) (ReadReply, error) {
	s.begun <- struct{}{}
	<-s.release
	return ReadReply{}, nil
}

func (waitingReads) HandleAccepts(context.Context, PoolRequest) (AcceptsReply, error) {
	return AcceptsReply{Accepts: true}, nil
}

// TestReadsAreLimited guards against reads for other instances that exhaust the memory by replies that nobody takes, and against a limit that
// other requests meet or that a read leaves behind.
func TestReadsAreLimited(t *testing.T) {
	s := waitingReads{begun: make(chan struct{}, 8), release: make(chan struct{})}
	server := httptest.NewServer(LimitReads(NewHandler(s), 2))
	defer server.Close()
	client, to := NewClient(http.DefaultTransport), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := client.Read(t.Context(), to, ReadRequest{})
			ended <- err
		}()
		<-s.begun
	}
	if _, err := client.Read(t.Context(), to, ReadRequest{}); err == nil {
		t.Error("a third read is done, want an error")
	}
	if reply, err := client.Accepts(t.Context(), to, PoolRequest{}); err != nil || !reply.Accepts {
		t.Errorf("another request beside the reads: %+v, %v", reply, err)
	}
	close(s.release)
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("a read within the limit: %v", err)
		}
	}
	if _, err := client.Read(t.Context(), to, ReadRequest{}); err != nil {
		t.Errorf("a read after the others: %v", err)
	}
}

// TestMaxReads guards against a limit that instances which cannot reach the store meet among themselves.
func TestMaxReads(t *testing.T) {
	tests := []struct{ memory, want int64 }{{0, unlimitedReads}, {32 << 20, 4}, {160 << 20, 10}, {536 << 20, 33}}
	for _, test := range tests {
		if got := MaxReads(test.memory); got != test.want {
			t.Errorf("%d reads with %d bytes, want %d", got, test.memory, test.want)
		}
	}
}
