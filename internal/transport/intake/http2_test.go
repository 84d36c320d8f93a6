package intake

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newHTTP2Server returns a server for HTTP/2 without TLS behind a Gate.
func newHTTP2Server(t *testing.T, limits Limits, handler http.HandlerFunc) *server {
	t.Helper()
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return newServerWith(t, limits, handler, func(s *http.Server) { s.Protocols = protocols })
}

// streamClient sends requests in the streams of one connection.
type streamClient struct {
	*server
	transport *http.Transport
}

func (s *server) streams() *streamClient {
	s.t.Helper()
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	c := &streamClient{server: s, transport: &http.Transport{Protocols: protocols}}
	s.t.Cleanup(c.transport.CloseIdleConnections)
	return c
}

// status sends a request and returns the status of its response, 0 if there is none.
func (c *streamClient) status(ctx context.Context, body io.Reader) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/", body)
	if err != nil {
		return 0
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// stall sends a body of a length that never ends, and returns a channel with the status of its response.
func (c *streamClient) stall(ctx context.Context, length int) <-chan int {
	reader, writer := io.Pipe()
	status := make(chan int, 1)
	go func() { status <- c.status(ctx, reader) }()
	_, _ = writer.Write([]byte(strings.Repeat("x", length)))
	return status
}

// readWhole answers 200 if the body could be read to its end.
func readWhole(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// TestStalledStreams guards against bodies in the streams of one connection that hold more than the budget, or more places than there are
// connections, and against a rejection that takes the other streams of the connection with it.
func TestStalledStreams(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*Limits)
		streams int
		length  int // a multiple of the unit that is charged
		fitting int // streams whose bytes fit
	}{
		{"the budget is exhausted", func(l *Limits) { l.BodyBytes = 64 << 10 }, 4, 20 << 10, 3},
		{"the places are exhausted", func(l *Limits) { l.Connections = 4 }, 4, chargeUnit, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limits := testLimits()
			test.change(&limits)
			s := newHTTP2Server(t, limits, readWhole)
			c := s.streams()
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			var stalled []<-chan int
			for n := range test.streams {
				stalled = append(stalled, c.stall(ctx, test.length))
				if n < test.fitting { // so that the first one has stalled for longest at the server, too
					s.await(t, "the bytes of a stalled body arrive", func() bool { return s.held == int64((n+1)*test.length) })
				}
			}
			if status := c.status(ctx, strings.NewReader("whole")); status != http.StatusOK {
				t.Errorf("status %d for a whole body beside stalled ones, want 200", status)
			}
			select {
			case status := <-stalled[0]:
				if status != http.StatusServiceUnavailable && status != 0 {
					t.Errorf("status %d for the body that has stalled for longest, want 503 or a reset stream", status)
				}
			case <-ctx.Done():
				t.Error("the body that has stalled for longest was not evicted")
			}
			if status := c.status(ctx, strings.NewReader("whole")); status != http.StatusOK {
				t.Errorf("status %d for a whole body after the rejection, want 200", status)
			}
		})
	}
}

// TestStreamsThatMakeNoProgress guards against bodies in streams that are held for as long as their connection is open.
func TestStreamsThatMakeNoProgress(t *testing.T) {
	limits := testLimits()
	limits.ProgressTimeout = 50 * time.Millisecond
	s := newHTTP2Server(t, limits, readWhole)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if status := <-s.streams().stall(ctx, 100); status != http.StatusServiceUnavailable && status != 0 {
		t.Errorf("status %d, want 503 or a reset stream", status)
	}
	s.await(t, "rejecting the body", func() bool { return s.rejected[Stalled] == 1 })
}

// TestResponsesInStreamsThatNobodyTakes guards against handlers that wait for ever for a client that takes nothing of its stream.
func TestResponsesInStreamsThatNobodyTakes(t *testing.T) {
	limits := testLimits()
	limits.ProgressTimeout = 50 * time.Millisecond
	returned := make(chan struct{})
	s := newHTTP2Server(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		part := make([]byte, 64<<10)
		for range 1000 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	c := s.streams()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	select {
	case <-returned:
	case <-time.After(patience):
		t.Error("the handler still writes")
	}
}
