package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// tableLog stores the records of the table of owners.
type tableLog struct {
	stream.Log
	mu      sync.Mutex
	records []stream.Record
}

func (l *tableLog) Append(_ context.Context, _ stream.Table, records []stream.Record, _ *stream.Writer) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, records...)
	return 0, nil
}

func (l *tableLog) all() []stream.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

// fakeHolder owns all pools and knows every job in the pool old. It records the pools of submitted jobs.
type fakeHolder struct {
	relay.Service
	mu        sync.Mutex
	submitted []string
}

func (h *fakeHolder) HandleState(_ context.Context, q relay.JobRequest) (relay.JobReply, error) {
	return relay.JobReply{Known: q.Pool == "old", State: job.Running}, nil
}

func (h *fakeHolder) HandleSubmit(_ context.Context, spec job.Spec) (relay.SubmitReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submitted = append(h.submitted, spec.Pool)
	return relay.SubmitReply{}, nil
}

// TestRetryAfterQueueMoved submits a job again at an instance that started after the queue had moved to another pool.
// The job must stay in the pool that holds it.
func TestRetryAfterQueueMoved(t *testing.T) {
	holder := &fakeHolder{}
	server := httptest.NewServer(relay.NewHandler(holder))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	log := &tableLog{}
	start := func(all []stream.Record) *Instance {
		n := New(Config{
			Settings: Settings{Peers: netip.MustParseAddrPort("127.0.0.1:1")}, Log: log, Clock: steady.Clock{},
			Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(),
		})
		for _, shardName := range []string{"old", "new", fleetShard} {
			all = append(all, stream.Record{Key: shardName, Value: []byte(address.String())})
		}
		n.replaceOwners(all)
		n.recordOwnersEnd(int64(len(all)))
		return n
	}
	config := func(version int64, pool string) *catalog.Config {
		return &catalog.Config{Version: version, Queues: []catalog.Queue{{Name: "q", Pool: pool}}}
	}
	seen := start(nil)
	seen.applyConfig(config(1, "old"))
	seen.applyConfig(config(2, "new"))
	seen.owners["other"] = seen.self().Address
	seen.shards["other"] = &owned{done: make(chan struct{}), cancel: func() {}}
	m := &membership{instance: seen, joinedAt: 1}
	m.assign(t.Context())
	for until := time.Now().Add(time.Second); len(log.all()) == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	later := start(log.all())
	later.applyConfig(config(2, "new"))
	spec := job.Spec{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Count: 1}}}
	if err := later.Submit(t.Context(), later.catalog.Queues[0], spec); err != nil {
		t.Fatal(err)
	}
	if len(holder.submitted) > 0 {
		t.Errorf("the job was submitted again, to the pools %v", holder.submitted)
	}
}
