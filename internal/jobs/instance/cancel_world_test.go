package instance

import (
	"context"
	"errors"
	"math"
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
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// pollingLog is a memoryLog whose reads return as soon as there are records, and whose pages hold each key once.
type pollingLog struct{ *memoryLog }

func (l pollingLog) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	for until := time.Now().Add(wait); ; sleep(ctx, 2*time.Millisecond) {
		batch, err := l.memoryLog.Read(ctx, t, from, 0)
		if err != nil || len(batch.Records) > 0 || !time.Now().Before(until) {
			return batch, err
		}
	}
}

func (l pollingLog) Newest(ctx context.Context, t stream.Table, after string) (stream.Page, error) {
	page, err := l.memoryLog.Newest(ctx, t, after)
	newest := map[string]stream.StoredRecord{}
	for _, r := range page.Items {
		newest[r.Key] = r
	}
	page.Items = nil
	for _, r := range newest {
		if len(r.Value) > 0 {
			page.Items = append(page.Items, r)
		}
	}
	return page, err
}

// endlessRuns is a worker whose runs go on until they are stopped. It keeps the jobs that have started.
type endlessRuns struct {
	mu      sync.Mutex
	running []worker.Run
	started []job.ID
}

func (f *endlessRuns) Start(_ context.Context, _ worker.Target, s worker.Start) (worker.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, s.Run)
	f.started = append(f.started, s.Task.Job)
	return worker.Reply{Clock: time.Second}, nil
}

func (f *endlessRuns) Stop(_ context.Context, _ worker.Target, r worker.Run, _ int64) (worker.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = slices.DeleteFunc(f.running, func(k worker.Run) bool { return k == r })
	return worker.Reply{Clock: time.Second}, nil
}

func (f *endlessRuns) RenewLease(context.Context, worker.Target, worker.LeaseRenewal) (worker.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := worker.Report{Reply: worker.Reply{Clock: time.Second}}
	for _, r := range f.running {
		report.Running = append(report.Running, worker.Running{Run: r})
	}
	return report, nil
}

func (f *endlessRuns) Pace(context.Context, worker.Target, worker.Run, int, int64) (worker.Reply, error) {
	return worker.Reply{}, nil
}

func (f *endlessRuns) hasStarted(name job.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.started, name)
}

// cancelWorld is an instance that owns pools, with the owners of pools themselves, and instances that callers reach.
type cancelWorld struct {
	t     *testing.T
	log   pollingLog
	runs  *endlessRuns
	owner *Instance
	stop  map[string]context.CancelFunc // ends the owner of a pool

	mu       sync.Mutex
	answered func(pool string) // called once the owner of a pool has answered about a job
}

// answers are those of the owners of pools.
type answers struct {
	*Instance
	world *cancelWorld
}

func (a *answers) HandleState(ctx context.Context, q relay.JobRequest) (relay.JobReply, error) {
	defer a.world.recordAnswer(q.Pool)
	return a.Instance.HandleState(ctx, q)
}

func (a *answers) HandleCancel(ctx context.Context, q relay.JobRequest) (relay.PresenceReply, error) {
	defer a.world.recordAnswer(q.Pool)
	return a.Instance.HandleCancel(ctx, q)
}

func (w *cancelWorld) recordAnswer(pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered != nil {
		w.answered(pool)
	}
}

// onAnswer has a function called after each answer.
func (w *cancelWorld) onAnswer(f func(pool string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = f
}

var unreachable = netip.MustParseAddrPort("127.0.0.1:1")

func newCancelWorld(t *testing.T, c *catalog.Config, pools ...string) *cancelWorld {
	w := &cancelWorld{t: t, log: pollingLog{newMemoryLog()}, runs: &endlessRuns{}, stop: map[string]context.CancelFunc{}}
	w.owner = w.newInstance(unreachable)
	w.owner.recordOperatorsSeen(math.MaxInt64) // it gets its configuration directly
	server := httptest.NewServer(relay.NewHandler(&answers{Instance: w.owner, world: w}))
	t.Cleanup(server.Close)
	at := strings.TrimPrefix(server.URL, "http://")
	w.append(ownerTable(), stream.Record{Key: "old", Value: []byte(at)}, stream.Record{Key: "new", Value: []byte(at)}, stream.Record{Key: "third", Value: []byte(at)})
	w.follow(w.owner, c)
	for _, pool := range []string{"old", "new", "third"} {
		w.owner.workers[pool] = catalog.Worker{
			ID: "w-" + pool, Pool: pool, Address: netip.MustParseAddrPort("127.0.0.1:2"), Capacity: catalog.Resources{CPU: 8000, MemoryMB: 8000},
		}
	}
	for _, pool := range pools {
		w.own(pool)
	}
	return w
}

func (w *cancelWorld) newInstance(peers netip.AddrPort) *Instance {
	return New(Config{
		Settings: Settings{Name: "i", Peers: peers, Retention: time.Minute}, Log: w.log, ConditionalLog: w.log, Clock: steady.Clock{}, Workers: w.runs,
		Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(), Metrics: NewMetrics(),
	})
}

// own starts the owner of a pool, after the earlier one if there is one.
func (w *cancelWorld) own(pool string) {
	ctx, cancel := context.WithCancel(w.t.Context())
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	w.owner.start(ctx, pool)
	w.stop[pool] = cancel
}

// disown ends the owner of a pool.
func (w *cancelWorld) disown(pool string) {
	w.owner.mu.Lock()
	ending := w.owner.shards[pool]
	delete(w.owner.shards, pool)
	w.owner.mu.Unlock()
	w.stop[pool]()
	<-ending.done
}

// follow makes an instance follow the table of owners under a configuration, and returns a function that keeps it from
// seeing what is stored from then on.
func (w *cancelWorld) follow(n *Instance, c *catalog.Config) (freeze func()) {
	ctx, cancel := context.WithCancel(w.t.Context())
	ended := make(chan struct{})
	f := n.ownerFeed()
	go func() { _ = f.loop(ctx); close(ended) }()
	n.applyConfig(c)
	eventually(w.t, "the table of owners is read", func() bool {
		n.mu.RLock()
		defer n.mu.RUnlock()
		return n.ownersKnown
	})
	return func() {
		cancel()
		<-ended
	}
}

func (w *cancelWorld) start(c *catalog.Config) *Instance {
	n := w.newInstance(unreachable)
	w.follow(n, c)
	return n
}

func (w *cancelWorld) append(t stream.Table, records ...stream.Record) {
	w.t.Helper()
	if _, err := w.log.Append(w.t.Context(), t, records, nil); err != nil {
		w.t.Fatal(err)
	}
}

func (w *cancelWorld) queue(n *Instance, name job.ID) catalog.Queue {
	w.t.Helper()
	q, _, err := n.Admit("host.example", "/path/"+string(name), "")
	if err != nil {
		w.t.Fatal(err)
	}
	return q
}

func (w *cancelWorld) spec(name job.ID) job.Spec {
	return job.Spec{ID: name, Steps: []job.Step{{Count: 1, CPU: 100, Estimate: time.Second}}}
}

func (w *cancelWorld) submit(n *Instance, name job.ID) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 2*time.Second)
	defer cancel()
	if err := n.Submit(ctx, w.queue(n, name), w.spec(name)); err != nil {
		w.t.Errorf("job %s: %v", name, err)
	}
}

// submittedSpec returns a job as an instance submits it under the configuration that it has.
func (w *cancelWorld) submittedSpec(n *Instance, name job.ID) job.Spec {
	w.t.Helper()
	q := w.queue(n, name)
	spec := w.spec(name)
	spec.Queue, spec.Pool, spec.Route, spec.Version, spec.Accepted = q.Name, q.Pool, q.Route(), q.Version, time.Now()
	return spec
}

// submitToIntake writes a job to the intake of its pool, as an instance does that gets no answer of the owner.
func (w *cancelWorld) submitToIntake(spec job.Spec) {
	w.t.Helper()
	record, err := shard.SpecRecord(&spec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.append(shard.IntakeTable(spec.Pool), record)
}

// cancel cancels a job and reports whether it was answered that there is no such job.
func (w *cancelWorld) cancel(n *Instance, name job.ID) bool {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 2*time.Second)
	defer cancel()
	err := n.Cancel(ctx, w.queue(n, name), name)
	var none NoJobError
	if err != nil && !errors.As(err, &none) {
		w.t.Errorf("cancelling job %s: %v", name, err)
	}
	return err != nil
}

// checkCancelled waits until a job is shown as cancelled, and checks that it has not started.
func (w *cancelWorld) checkCancelled(n *Instance, name job.ID) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 3*time.Second)
	defer cancel()
	shown := "not shown"
	for ; shown != job.Cancelled.String() && ctx.Err() == nil; sleep(ctx, 5*time.Millisecond) {
		if state, err := n.State(ctx, w.queue(n, name), name); err == nil {
			shown = state.String()
		}
	}
	if shown != job.Cancelled.String() {
		w.t.Errorf("job %s is %s, want it cancelled", name, shown)
	}
	time.Sleep(200 * time.Millisecond) // a start would have been sent
	if w.runs.hasStarted(name) {
		w.t.Errorf("job %s has started", name)
	}
}

// forwardSlowly submits a job under an earlier configuration, at the first of two instances, and returns when it is being
// forwarded from pool old to pool new. It is on its way until pool third has an owner. Only the second instance knows the
// newer configuration and the newer holders.
func (w *cancelWorld) forwardSlowly(name job.ID) (before, after *Instance) {
	w.t.Helper()
	before = w.newInstance(unreachable)
	freeze := w.follow(before, routeConfig(3, "q", "old"))
	w.submit(before, "5c0e7a21d94b000a")
	freeze()
	after = w.start(routeConfig(5, "q", "new"))
	w.submit(after, "5c0e7a21d94b000b")
	q := w.queue(after, name)
	third := holder{route: q.Route(), pool: "third", version: 4}
	w.append(ownerTable(), third.record())
	eventually(w.t, "the third holder is known", func() bool { return after.hasHolder(third) && w.owner.hasHolder(third) })
	spec := w.submittedSpec(before, name)
	w.submitToIntake(spec)
	eventually(w.t, "the job is being forwarded", func() bool {
		return w.owner.shards["old"].shard.Submit(w.t.Context(), spec) == nil // else it is sealed
	})
	return before, after
}
