package shard

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// fakeWorkers ends every task at once, records the starts, and rejects orders under an older fence.
type fakeWorkers struct {
	mu              sync.Mutex
	fence           int64
	starts          map[worker.Run]int
	ends            []worker.End
	number          int64
	log             *fakeLog
	startedUnstored []worker.Run // runs that were started before their job was stored
}

func (f *fakeWorkers) Start(_ context.Context, _ worker.Target, s worker.Start) (worker.Reply, error) {
	stored := f.log.stored(OutputTable("p"), progressPrefix+string(s.Task.Job))
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Fence < f.fence {
		return worker.Reply{}, worker.RefusedError{Reason: worker.Fenced}
	}
	f.fence = s.Fence
	if !stored {
		f.startedUnstored = append(f.startedUnstored, s.Run)
	}
	f.starts[s.Run]++
	f.number++
	f.ends = append(f.ends, worker.End{Run: s.Run, Number: f.number, Outcome: worker.Done})
	return worker.Reply{Clock: time.Second}, nil
}

func (l *fakeLog) stored(t stream.Table, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.table(t).records {
		if r.Key == key {
			return true
		}
	}
	return false
}

func (f *fakeWorkers) Stop(context.Context, worker.Target, worker.Run, int64) (worker.Reply, error) {
	return worker.Reply{Clock: time.Second}, nil
}

func (f *fakeWorkers) RenewLease(_ context.Context, _ worker.Target, renewal worker.LeaseRenewal) (worker.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if renewal.Fence < f.fence {
		return worker.Report{}, worker.RefusedError{Reason: worker.Fenced}
	}
	f.fence = renewal.Fence
	report := worker.Report{Reply: worker.Reply{Clock: time.Second}}
	for _, e := range f.ends {
		if e.Number > renewal.Acked {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, nil
}

func (f *fakeWorkers) Pace(context.Context, worker.Target, worker.Run, int, int64) (worker.Reply, error) {
	return worker.Reply{}, nil
}

func newShard(log *fakeLog, workers *fakeWorkers, holder string) *Shard {
	return New(Config{
		OperatorsSeen: alwaysSeen,
		Pool:          "p", Holder: holder, Log: log, ConditionalLog: log, Workers: workers, Clock: steady.Clock{}, Logger: zap.NewNop(),
		Settings: Settings{Lease: 4 * time.Second, Retention: time.Minute},
		View: func() View {
			return View{Workers: []catalog.Worker{{
				ID: "w", Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: catalog.Resources{CPU: 8000, MemoryMB: 8000},
			}}}
		},
	})
}

func someJob(i int) job.Spec {
	return job.Spec{
		ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "q", Pool: "p", Accepted: time.Now(),
		Policy: job.Policy{Attempts: 2, Stretch: 2, Target: time.Second},
		Steps:  []job.Step{{Count: 2, CPU: 100, Estimate: 10 * time.Millisecond}},
	}
}

// owner runs a shard in the background.
type owner struct {
	shard *Shard
	err   chan error
}

func (o *owner) run(ctx context.Context) { o.err <- o.shard.Run(ctx) }

func start(ctx context.Context, s *Shard) *owner {
	o := &owner{shard: s, err: make(chan error, 1)}
	go o.run(ctx)
	return o
}

// awaitCompleted waits until a job has completed.
func awaitCompleted(t *testing.T, s *Shard, name job.ID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		state, known, err := s.State(ctx, name)
		if err == nil && known && state == job.Completed {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("job %s is %v (known: %v, %v), not completed", name, state, known, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestJobsAreStoredBeforeTheyStart submits jobs twice while answers of the log get lost. Each job must be accepted once,
// and each of its tasks must start once, after the job's progress is in the log.
func TestJobsAreStoredBeforeTheyStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	o := start(ctx, newShard(log, workers, "a"))
	for i := range 10 {
		if i%3 == 1 {
			log.set(1, false)
		}
		if err := o.shard.Submit(ctx, someJob(i)); err != nil {
			t.Fatal(err)
		}
		if err := o.shard.Submit(ctx, someJob(i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 10 {
		awaitCompleted(t, o.shard, someJob(i).ID)
	}
	if len(workers.startedUnstored) > 0 {
		t.Errorf("%v started before they were stored", workers.startedUnstored)
	}
	if len(workers.starts) != 20 {
		t.Errorf("%d runs of 20 tasks, want 20", len(workers.starts))
	}
}

// TestSuccessorTakesOver checks that the first owner ends when a second one claims the pool, and that the second one knows
// all jobs, including one that only the intake holds, when they span several pages.
func TestSuccessorTakesOver(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	first := start(ctx, newShard(log, workers, "a"))
	for i := range 5 {
		if err := first.shard.Submit(ctx, someJob(i)); err != nil {
			t.Fatal(err)
		}
	}
	spec := someJob(5)
	record, err := SpecRecord(&spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(ctx, IntakeTable("p"), []stream.Record{record}, nil); err != nil {
		t.Fatal(err)
	}
	second := start(ctx, newShard(log, workers, "b"))
	for i := range 6 {
		awaitCompleted(t, second.shard, someJob(i).ID)
	}
	var fenced stream.FencedError
	select {
	case err := <-first.err:
		if !errors.As(err, &fenced) {
			t.Errorf("the first owner ended with %v, want a FencedError", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the first owner has not ended within 5 s")
	}
	if _, _, err := first.shard.State(ctx, spec.ID); !errors.As(err, new(NotOwnerError)) {
		t.Errorf("the first owner still answers: %v", err)
	}
	for run, n := range workers.starts {
		if n != 1 {
			t.Errorf("%v was started %d times", run, n)
		}
	}
}

// TestUnknownJobsAreCheckedInTheIntake checks that a job is reported as unknown only after reading the newest intake.
func TestUnknownJobsAreCheckedInTheIntake(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := newFakeLog()
	o := start(ctx, newShard(log, &fakeWorkers{starts: map[worker.Run]int{}, log: log}, "a"))
	if _, known, err := o.shard.State(ctx, "00000000000000aa"); known || err != nil {
		t.Errorf("state of a job that was never submitted: known %v, error %v", known, err)
	}
	spec := someJob(1)
	record, err := SpecRecord(&spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(ctx, IntakeTable("p"), []stream.Record{record}, nil); err != nil {
		t.Fatal(err)
	}
	if _, known, err := o.shard.State(ctx, spec.ID); !known || err != nil {
		t.Errorf("state of a job that another instance has just stored: known %v, error %v", known, err)
	}
	if presence, err := o.shard.Cancel(ctx, "00000000000000aa"); presence != job.Absent || err != nil {
		t.Errorf("cancellation of a job that was never submitted: %v, error %v", presence, err)
	}
}

// TestLogDown checks that no job is accepted while the log is down, and that work continues when the log is back.
func TestLogDown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	o := start(ctx, newShard(log, workers, "a"))
	if err := o.shard.Submit(ctx, someJob(1)); err != nil {
		t.Fatal(err)
	}
	log.set(0, true)
	short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	if err := o.shard.Submit(short, someJob(2)); err == nil {
		t.Error("a job was accepted while the log was down")
	}
	log.set(0, false)
	awaitCompleted(t, o.shard, someJob(1).ID)
	awaitCompleted(t, o.shard, someJob(2).ID)
}
