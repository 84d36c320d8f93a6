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
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// tableLog stores the records of the table of owners and shows them to the instances that follow it.
type tableLog struct {
	stream.Log
	mu        sync.Mutex
	records   []stream.Record
	followers []*Instance
	intake    []string // tables and keys of the other records
}

func (l *tableLog) Append(_ context.Context, t stream.Table, records []stream.Record, _ *stream.Writer) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != ownerTable() {
		l.intake = append(l.intake, t.Name+" "+records[0].Key)
		return 0, nil
	}
	l.records = append(l.records, records...)
	for _, n := range l.followers {
		n.replaceOwners(records)
	}
	return 0, nil
}

func (l *tableLog) Read(_ context.Context, _ stream.Table, from int64, _ time.Duration) (stream.Batch, error) {
	batch := stream.Batch{Next: from}
	for _, r := range l.all()[from:] {
		batch.Records = append(batch.Records, stream.StoredRecord{Record: r, Offset: batch.Next})
		batch.Next++
	}
	return batch, nil
}

func (l *tableLog) all() []stream.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

// poolOwner owns all pools. It keeps the accepted jobs and the seals as the owners of pools do.
type poolOwner struct {
	relay.Service
	mu       sync.Mutex
	accepted map[string][]job.ID // by pool
	silent   string              // pool whose owner does not answer
	seals    map[string]int64    // by pool
	onState  func(pool string)   // called for each question for the state of a job, may be nil
}

func (o *poolOwner) HandleSeal(_ context.Context, r relay.SealRequest) (relay.PresenceReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Contains(o.accepted[r.Pool], r.Job) {
		return relay.PresenceReply{Presence: job.Present}, nil
	}
	o.seals[r.Pool] = max(o.seals[r.Pool], r.Version)
	return relay.PresenceReply{}, nil
}

func (o *poolOwner) HandleState(_ context.Context, r relay.JobRequest) (relay.JobReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.onState != nil {
		o.onState(r.Pool)
	}
	if slices.Contains(o.accepted[r.Pool], r.Job) {
		return relay.JobReply{State: job.Running, Known: true}, nil
	}
	return relay.JobReply{}, nil
}

func (o *poolOwner) HandleCancel(_ context.Context, r relay.JobRequest) (relay.PresenceReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Pool == o.silent {
		return relay.PresenceReply{}, shard.NotOwnerError{Pool: r.Pool}
	}
	if slices.Contains(o.accepted[r.Pool], r.Job) {
		return relay.PresenceReply{Presence: job.Present}, nil
	}
	return relay.PresenceReply{}, nil
}

func (o *poolOwner) HandlePending(_ context.Context, r relay.PendingRequest) (relay.PendingReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return relay.PendingReply{Count: len(o.accepted[r.Pool])}, nil
}

func (o *poolOwner) HandleSubmit(_ context.Context, spec job.Spec) (relay.SubmitReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if spec.Version < o.seals[spec.Pool] {
		return relay.SubmitReply{Sealed: true}, nil
	}
	if !slices.Contains(o.accepted[spec.Pool], spec.ID) {
		o.accepted[spec.Pool] = append(o.accepted[spec.Pool], spec.ID)
	}
	return relay.SubmitReply{}, nil
}

// routeWorld is a table of owners, an owner of all pools, and instances.
type routeWorld struct {
	t     *testing.T
	log   *tableLog
	owner *poolOwner
	at    netip.AddrPort
}

func newRouteWorld(t *testing.T) *routeWorld {
	owner := &poolOwner{accepted: map[string][]job.ID{}, seals: map[string]int64{}}
	server := httptest.NewServer(relay.NewHandler(owner))
	t.Cleanup(server.Close)
	w := &routeWorld{t: t, log: &tableLog{}, owner: owner, at: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	for _, shardName := range []string{"old", "new", "third", fleetShard} {
		w.log.records = append(w.log.records, stream.Record{Key: shardName, Value: []byte(w.at.String())})
	}
	return w
}

// start starts an instance that has read the table of owners.
func (w *routeWorld) start(c *catalog.Config) *Instance {
	n := New(Config{
		Settings: Settings{Peers: netip.MustParseAddrPort("127.0.0.1:1")}, Log: w.log, Clock: steady.Clock{},
		Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(), Metrics: NewMetrics(),
	})
	all := w.log.all()
	n.replaceOwners(all)
	n.recordOwnersEnd(int64(len(all)))
	n.applyConfig(c)
	w.follow(n)
	return n
}

func (w *routeWorld) follow(n *Instance) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	w.log.followers = append(w.log.followers, n)
}

// freeze keeps an instance from seeing what is stored from now on.
func (w *routeWorld) freeze(n *Instance) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	w.log.followers = slices.DeleteFunc(w.log.followers, func(f *Instance) bool { return f == n })
}

func (w *routeWorld) submit(n *Instance, name job.ID) error {
	ctx, cancel := context.WithTimeout(w.t.Context(), 2*time.Second)
	defer cancel()
	q, _, err := n.Admit("host.example", "/path/"+string(name), "")
	if err != nil {
		return err
	}
	return n.Submit(ctx, q, job.Spec{ID: name, Steps: []job.Step{{Count: 1}}})
}

func (w *routeWorld) mustSubmit(n *Instance, name job.ID) {
	w.t.Helper()
	if err := w.submit(n, name); err != nil {
		w.t.Errorf("job %s: %v", name, err)
	}
}

// check checks that a job was accepted in one pool only.
func (w *routeWorld) check(name job.ID, want string) {
	w.t.Helper()
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	for _, pool := range []string{"old", "new", "third"} {
		if got := slices.Contains(w.owner.accepted[pool], name); got != (pool == want) {
			w.t.Errorf("job %s accepted in pool %s: %v, want it in %s alone", name, pool, got, want)
		}
	}
}

// routeConfig is a configuration with one queue.
func routeConfig(version int64, queue, pool string) *catalog.Config {
	return &catalog.Config{
		Version: version,
		Queues:  []catalog.Queue{{Name: queue, Host: "host.example", Prefix: "/path/", Pool: pool, Public: true}},
		Pools:   []catalog.Pool{{Name: "old"}, {Name: "new"}, {Name: "third"}},
	}
}

// TestRepeatAfterQueueMovedStaysInItsPool guards against issue 31, review/1: the request for an accepted job arrived again
// after its queue had moved to another pool, and the job ran a second time there.
func TestRepeatAfterQueueMovedStaysInItsPool(t *testing.T) {
	const first, second = job.ID("5c0e7a21d94b0001"), job.ID("5c0e7a21d94b0002")
	tests := []struct {
		name  string
		play  func(w *routeWorld, before *Instance) *Instance // returns the instance at which the repeat arrives
		wants string
	}{
		{"all instances are new and have never seen the queue in its former pool", func(w *routeWorld, before *Instance) *Instance {
			w.freeze(before)
			return w.start(routeConfig(5, "q", "new"))
		}, "old"},
		{"the queue has got another name", func(_ *routeWorld, before *Instance) *Instance {
			before.applyConfig(routeConfig(5, "renamed", "new"))
			return before
		}, "old"},
		{"the queue was removed for a time", func(_ *routeWorld, before *Instance) *Instance {
			before.applyConfig(&catalog.Config{Version: 4, Pools: routeConfig(4, "", "").Pools})
			before.applyConfig(routeConfig(5, "q", "new"))
			return before
		}, "old"},
		{"the queue has moved twice, and instances are new", func(w *routeWorld, before *Instance) *Instance {
			w.freeze(before)
			w.mustSubmit(w.start(routeConfig(5, "q", "third")), second)
			return w.start(routeConfig(7, "q", "new"))
		}, "old"},
		{"the queue is back in its pool", func(w *routeWorld, before *Instance) *Instance {
			before.applyConfig(routeConfig(5, "q", "new"))
			w.mustSubmit(before, second)
			before.applyConfig(routeConfig(7, "q", "old"))
			return before
		}, "old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newRouteWorld(t)
			before := w.start(routeConfig(3, "q", "old"))
			w.mustSubmit(before, first)
			w.check(first, "old")
			w.mustSubmit(test.play(w, before), first)
			w.check(first, test.wants)
		})
	}
}

// TestFrozenInstanceDoesNotUseFormerPool guards against issue 31, review/1 with VARIANT=frozen: an instance that had been
// frozen while a queue moved ran jobs again in the former pool, by the configuration that it had.
func TestFrozenInstanceDoesNotUseFormerPool(t *testing.T) {
	const first, second = job.ID("5c0e7a21d94b0001"), job.ID("5c0e7a21d94b0002")
	w := newRouteWorld(t)
	frozen := w.start(routeConfig(3, "q", "old"))
	w.mustSubmit(frozen, "5c0e7a21d94b0000")
	w.freeze(frozen)
	awake := w.start(routeConfig(5, "q", "new"))
	w.mustSubmit(awake, first)
	err := w.submit(frozen, first)
	if err == nil {
		t.Error("the frozen instance has accepted a job by an old configuration")
	}
	w.check(first, "new")
	time.AfterFunc(100*time.Millisecond, func() {
		frozen.replaceOwners(w.log.all())
		frozen.applyConfig(routeConfig(5, "q", "new"))
	})
	w.mustSubmit(frozen, second)
	w.check(second, "new")
}

// TestOlderConfigurationDoesNotTakeRouteBack submits jobs at instances that learn of the versions of a configuration in
// different orders: each job is accepted in one pool.
func TestOlderConfigurationDoesNotTakeRouteBack(t *testing.T) {
	const a, b = job.ID("5c0e7a21d94b0001"), job.ID("5c0e7a21d94b0002")
	w := newRouteWorld(t)
	newest := w.start(routeConfig(9, "q", "new"))
	w.mustSubmit(newest, a)
	late := w.start(routeConfig(8, "q", "third"))
	if err := w.submit(late, b); err == nil {
		t.Error("an older configuration has taken the route back")
	}
	w.mustSubmit(newest, b)
	w.check(a, "new")
	w.check(b, "new")
}

// TestCancelReachesFormerPoolWithoutOwner guards against scenario cancel of the review (issue 21): a cancellation was lost
// after its job's queue had moved, while the former pool had no owner: it was stored for the new pool only.
func TestCancelReachesFormerPoolWithoutOwner(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0001")
	w := newRouteWorld(t)
	n := w.start(routeConfig(3, "q", "old"))
	w.mustSubmit(n, name)
	n.applyConfig(routeConfig(5, "q", "new"))
	w.owner.silent = "old"
	q, _, err := n.Admit("host.example", "/path/"+string(name), "")
	if err == nil {
		err = n.Cancel(t.Context(), q, name)
	}
	if want := "jobs.old cancel/" + string(name); err != nil || !slices.Contains(w.log.intake, want) {
		t.Errorf("error %v; stored: %v, want %s", err, w.log.intake, want)
	}
}

// TestPendingCountsJobsInFormerPools guards against scenario pending of the review (issue 21): the pending jobs of a queue were
// not counted any more after it had moved, under a new name or not.
func TestPendingCountsJobsInFormerPools(t *testing.T) {
	for _, queue := range []string{"q", "renamed"} {
		w := newRouteWorld(t)
		n := w.start(routeConfig(3, "q", "old"))
		w.mustSubmit(n, "5c0e7a21d94b0001")
		w.mustSubmit(n, "5c0e7a21d94b0002")
		n.applyConfig(routeConfig(5, queue, "new"))
		w.mustSubmit(n, "5c0e7a21d94b0003")
		q, _, err := n.Admit("host.example", "/path/", "")
		if err != nil {
			t.Fatal(err)
		}
		if count, err := n.Pending(t.Context(), q); count != 3 || err != nil {
			t.Errorf("queue %s: %d jobs are pending, want 3; error %v", queue, count, err)
		}
	}
}
