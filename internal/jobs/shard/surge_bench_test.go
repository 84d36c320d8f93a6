package shard

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// discardingLog stores nothing and answers appends after the time that a store takes.
type discardingLog struct{ *fakeLog }

func (discardingLog) Append(context.Context, stream.Table, []stream.Record, *stream.Writer) (int64, error) {
	time.Sleep(4 * time.Millisecond)
	return 0, nil
}

// timedWorkers run every task for benchTaskTime.
type timedWorkers struct {
	mu      sync.Mutex
	workers map[string]*timedWorker
	starts  atomic.Int64
}

type timedWorker struct {
	mu     sync.Mutex
	runs   map[worker.Run]struct{}
	ends   []worker.End
	number int64
	wake   chan struct{}
}

const benchTaskTime = 800 * time.Millisecond

func (b *timedWorkers) of(id string) *timedWorker {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.workers[id]
	if w == nil {
		w = &timedWorker{runs: map[worker.Run]struct{}{}, wake: make(chan struct{}, 1)}
		b.workers[id] = w
	}
	return w
}

func (b *timedWorkers) Start(_ context.Context, to worker.Target, s worker.Start) (worker.Reply, error) {
	b.starts.Add(1)
	w := b.of(to.ID)
	w.mu.Lock()
	w.runs[s.Run] = struct{}{}
	w.mu.Unlock()
	time.AfterFunc(benchTaskTime, func() {
		w.mu.Lock()
		w.number++
		delete(w.runs, s.Run)
		w.ends = append(w.ends, worker.End{Run: s.Run, Number: w.number, Outcome: worker.Done})
		w.mu.Unlock()
		select {
		case w.wake <- struct{}{}:
		default:
		}
	})
	return worker.Reply{Clock: time.Second}, nil
}

func (b *timedWorkers) RenewLease(ctx context.Context, to worker.Target, renewal worker.LeaseRenewal) (worker.Report, error) {
	w := b.of(to.ID)
	w.mu.Lock()
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Number > renewal.Acked {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	empty := len(kept) == 0
	w.mu.Unlock()
	if empty && renewal.Wait > 0 {
		select {
		case <-w.wake:
		case <-ctx.Done():
		case <-time.After(renewal.Wait):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	report := worker.Report{Reply: worker.Reply{Clock: time.Second}, Ended: append([]worker.End(nil), w.ends...)}
	for r := range w.runs {
		report.Running = append(report.Running, worker.Running{Run: r, Percent: 100})
	}
	return report, nil
}

func (b *timedWorkers) Stop(context.Context, worker.Target, worker.Run, int64) (worker.Reply, error) {
	return worker.Reply{Clock: time.Second}, nil
}

func (b *timedWorkers) Pace(context.Context, worker.Target, worker.Run, int, int64) (worker.Reply, error) {
	return worker.Reply{Clock: time.Second}, nil
}

// BenchmarkOwnerInSurge measures an owner's CPU time per started task, without the calls to the workers, while twice as
// much work arrives as a large pool can run.
func BenchmarkOwnerInSurge(b *testing.B) {
	benchmarkSurge(b, surge{workers: 200, teams: 20, taskCPU: 1400, interval: 2500 * time.Microsecond})
}

// BenchmarkOwnerInSurgeOfHundreds is BenchmarkOwnerInSurge with the pool that the large deployment has in the turn of
// one queue.
func BenchmarkOwnerInSurgeOfHundreds(b *testing.B) {
	benchmarkSurge(b, surge{workers: 700, teams: 60, taskCPU: 2100, interval: 2 * time.Millisecond})
}

// surge describes a pool and the work that arrives there.
type surge struct {
	workers  int
	teams    int
	taskCPU  int           // thousandths of a core of a worker's 16
	interval time.Duration // between jobs
}

func benchmarkSurge(b *testing.B, load surge) {
	busy := &timedWorkers{workers: map[string]*timedWorker{}}
	s := New(Config{
		OperatorsSeen: alwaysSeen,
		Pool:          "p", Holder: "a", Log: discardingLog{newFakeLog()}, Workers: busy, Clock: steady.Clock{}, Logger: zap.NewNop(),
		Settings: Settings{Lease: 4 * time.Second, Retention: time.Minute},
		View: func() View {
			var v View
			for i := range load.workers {
				v.Workers = append(v.Workers, catalog.Worker{
					ID: fmt.Sprintf("w%d", i), Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: catalog.Resources{CPU: 16000, MemoryMB: 64000},
				})
			}
			return v
		},
	})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	start(ctx, s)
	var before unix.Rusage
	submit := func(i int) {
		spec := job.Spec{
			ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "q", Pool: "p", Accepted: time.Now(), Team: fmt.Sprint(i % load.teams),
			Policy: job.Policy{Attempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond},
			Steps:  []job.Step{{Count: 8, CPU: load.taskCPU, Estimate: benchTaskTime}, {Count: 5, CPU: load.taskCPU, Estimate: benchTaskTime, After: []int{0}}},
		}
		go func() { _ = s.Submit(ctx, spec) }()
	}
	_ = unix.Getrusage(unix.RUSAGE_SELF, &before)
	for i := range b.N {
		submit(i)
		time.Sleep(load.interval)
	}
	var after unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &after)
	spent := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(spent.Microseconds())/float64(max(1, busy.starts.Load())), "cpu-us/start")
	b.ReportMetric(float64(busy.starts.Load()), "starts")
}
