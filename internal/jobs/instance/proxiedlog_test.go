package instance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// memoryLog is a log in memory that checks epochs and sequence numbers.
type memoryLog struct {
	mu      sync.Mutex
	records map[stream.Table][]stream.Record
	writers map[stream.Table]stream.Writer // newest writer by table
}

func newMemoryLog() *memoryLog {
	return &memoryLog{records: map[stream.Table][]stream.Record{}, writers: map[stream.Table]stream.Writer{}}
}

func (l *memoryLog) Append(_ context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w != nil {
		switch newest := l.writers[t]; {
		case w.Epoch < newest.Epoch:
			return 0, stream.FencedError{Epoch: w.Epoch}
		case w.Epoch == newest.Epoch && w.Sequence <= newest.Sequence:
			return int64(len(l.records[t])), nil // a repeat
		case w.Epoch == newest.Epoch && w.Sequence != newest.Sequence+1:
			return 0, stream.SequenceError{Expected: newest.Sequence + 1}
		}
		l.writers[t] = *w
	}
	l.records[t] = append(l.records[t], records...)
	return int64(len(l.records[t]) - len(records)), nil
}

func (l *memoryLog) AppendAt(_ context.Context, t stream.Table, records []stream.Record, end int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := int64(len(l.records[t])); now != end {
		return stream.ChangedError{End: now}
	}
	l.records[t] = append(l.records[t], records...)
	return nil
}

func (l *memoryLog) Fence(_ context.Context, t stream.Table, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.writers[t]
	if epoch < newest.Epoch {
		return stream.FencedError{Epoch: epoch}
	}
	if epoch > newest.Epoch {
		l.writers[t] = stream.Writer{Epoch: epoch, Sequence: -1}
	}
	return nil
}

func (l *memoryLog) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	l.mu.Lock()
	batch := stream.Batch{Next: from, End: int64(len(l.records[t]))}
	for _, r := range l.records[t][from:] {
		batch.Records = append(batch.Records, stream.StoredRecord{Record: r, Offset: batch.Next})
		batch.Next++
	}
	l.mu.Unlock()
	if len(batch.Records) == 0 {
		sleep(ctx, wait)
	}
	return batch, ctx.Err()
}

func (l *memoryLog) Newest(_ context.Context, t stream.Table, _ string) (stream.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := stream.Page{End: int64(len(l.records[t]))}
	for i, r := range l.records[t] {
		page.Items = append(page.Items, stream.StoredRecord{Record: r, Offset: int64(i)})
	}
	return page, nil
}

// clientLog is the connection of one instance to a log; it can refuse calls or leave them without a reply.
type clientLog struct {
	stream.Log
	refuses, silent atomic.Bool
	appends         atomic.Int32
}

func (r *clientLog) check(ctx context.Context) error {
	if r.refuses.Load() {
		return stream.NotDoneError{Reason: "refused here"}
	}
	if r.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (r *clientLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	r.appends.Add(1)
	if err := r.check(ctx); err != nil {
		return 0, err
	}
	return r.Log.Append(ctx, t, records, w)
}

func (r *clientLog) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	if err := r.check(ctx); err != nil {
		return err
	}
	return r.Log.Fence(ctx, t, epoch)
}

func (r *clientLog) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	if err := r.check(ctx); err != nil {
		return stream.Batch{}, err
	}
	return r.Log.Read(ctx, t, from, wait)
}

// newPair returns the first of two instances that know each other, and the log connections of both. Only the second one
// serves calls of its peer.
func newPair(t *testing.T, log stream.Log) (first *Instance, logs [2]*clientLog) {
	t.Helper()
	instances := [2]*Instance{}
	for i := range instances {
		logs[i] = &clientLog{Log: log}
		instances[i] = New(Config{
			Settings: Settings{Name: fmt.Sprint(i), Peers: netip.MustParseAddrPort("127.0.0.1:1")}, Log: logs[i], Clock: steady.Clock{},
			Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(), Metrics: NewMetrics(),
		})
	}
	server := httptest.NewServer(relay.NewHandler(instances[1]))
	t.Cleanup(server.Close)
	other := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	instances[0].alive = []owners.Member{instances[0].self(), {Address: other, Weight: 1}}
	return instances[0], logs
}

// TestOwnerContinuesWhileStoreIsUnreachable has the store serve all instances but the owner of a pool. The owner must
// still accept jobs and renew its proof of ownership.
func TestOwnerContinuesWhileStoreIsUnreachable(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(r *clientLog)
	}{
		{"it refuses", func(r *clientLog) { r.refuses.Store(true) }},
		{"it is silent", func(r *clientLog) { r.silent.Store(true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			n, logs := newPair(t, newMemoryLog())
			s := n.shard("p")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			o := &owned{runner: s, cancel: func() {}, done: make(chan struct{})}
			go o.run(ctx, "p", zap.NewNop())
			for i := range 5 {
				if i == 1 {
					test.injectFault(logs[0])
				}
				asked, stop := context.WithTimeout(ctx, ownerTimeout)
				spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", i)), Pool: "p", Accepted: time.Now(), Steps: []job.Step{{Count: 1}}}
				if err := s.Submit(asked, spec); err != nil {
					t.Errorf("job %d: %v", i, err)
				}
				stop()
				sleep(ctx, 700*time.Millisecond)
			}
			if fresh, err := s.HasRecentProof(ctx); err != nil || !fresh {
				t.Errorf("the owner has no fresh proof of ownership (%v)", err)
			}
		})
	}
}

// TestProxyingReturnsStoreReply makes proxied appends that the store accepts or rejects, and an unnumbered append,
// which must not be proxied.
func TestProxyingReturnsStoreReply(t *testing.T) {
	table := stream.Table{Name: "jobs.p", Part: 1}
	one := []stream.Record{{Key: "a", Value: []byte{1}}}
	tests := []struct {
		name   string
		down   bool // whether the store refuses the other instance as well
		writer *stream.Writer
		want   any // type of the error, nil for none
		other  int32
	}{
		{"the next in order", false, &stream.Writer{Epoch: 5, Sequence: 1}, nil, 1},
		{"a repeat", false, &stream.Writer{Epoch: 5, Sequence: 0}, nil, 1},
		{"out of order", false, &stream.Writer{Epoch: 5, Sequence: 4}, &stream.SequenceError{}, 1},
		{"below the epoch", false, &stream.Writer{Epoch: 4, Sequence: 9}, &stream.FencedError{}, 1},
		{"nobody reaches the store", true, &stream.Writer{Epoch: 5, Sequence: 1}, &stream.NotDoneError{}, 1},
		{"not numbered", false, nil, &stream.NotDoneError{}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newMemoryLog()
			if _, err := log.Append(t.Context(), table, one, &stream.Writer{Epoch: 5}); err != nil {
				t.Fatal(err)
			}
			n, logs := newPair(t, log)
			logs[0].refuses.Store(true)
			logs[1].refuses.Store(test.down)
			_, err := n.proxiedLog.Append(t.Context(), table, one, test.writer)
			if test.want == nil && err != nil || test.want != nil && !errors.As(err, test.want) {
				t.Errorf("the outcome is %v, want %T", err, test.want)
			}
			if got := logs[1].appends.Load(); got != test.other {
				t.Errorf("%d appends through the other instance, want %d", got, test.other)
			}
		})
	}
}
