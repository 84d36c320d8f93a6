package shard

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Latencies of the simulated network.
const (
	logLatency   = 5 * time.Millisecond // of a call to the log
	orderLatency = time.Millisecond     // of an order to its worker
)

// fakeClock reads the time of a synctest bubble.
type fakeClock struct{}

func (fakeClock) Moment() pool.Moment {
	now := time.Now()
	return pool.Moment{Steady: time.Duration(now.UnixNano()), Wall: now}
}

// jumpingClock is a fakeClock ahead by the time for which the process was frozen.
type jumpingClock struct{ frozen *atomic.Int64 }

func (c jumpingClock) Moment() pool.Moment {
	at, frozen := fakeClock{}.Moment(), time.Duration(c.frozen.Load())
	return pool.Moment{Steady: at.Steady + frozen, Wall: at.Wall.Add(frozen)}
}

// leasedWorker is a worker whose tasks run until they are stopped or its lease expires.
type leasedWorker struct {
	fence    int64
	leaseEnd time.Duration
	runs     id.Set[worker.Run]
	gone     bool // whether its machine has stopped
}

// fakeCluster simulates workers with leases on the clock of a synctest bubble and records tasks that run twice at one
// time.
type fakeCluster struct {
	mu         sync.Mutex
	workers    map[string]*leasedWorker
	duplicates []string
	starts     map[worker.Run]time.Duration // time of each start since startedAt
	startedAt  time.Time
}

func newFakeCluster(names ...string) *fakeCluster {
	p := &fakeCluster{workers: map[string]*leasedWorker{}, starts: map[worker.Run]time.Duration{}, startedAt: time.Now()}
	for _, name := range names {
		p.workers[name] = &leasedWorker{runs: id.Set[worker.Run]{}}
	}
	return p
}

// expireLeases ends the runs on workers without a lease. The caller holds the lock.
func (p *fakeCluster) expireLeases() {
	now := fakeClock{}.Moment().Steady
	for _, w := range p.workers {
		if w.gone || now >= w.leaseEnd {
			w.runs = id.Set[worker.Run]{}
		}
	}
}

// ownerNetwork is the network as seen by one owner: the log and the workers that the owner can reach.
type ownerNetwork struct {
	*fakeLog
	cluster *fakeCluster

	mu          sync.Mutex
	logDown     bool          // whether the log is unreachable
	logAnswer   time.Duration // time from an append or a fence until it is answered
	dropAppends int           // number of next appends that get lost before they reach the log
	reachable   id.Set[string]
}

func newOwnerNetwork(log *fakeLog, p *fakeCluster, reach ...string) *ownerNetwork {
	s := &ownerNetwork{fakeLog: log, cluster: p, reachable: id.Set[string]{}}
	for _, name := range reach {
		s.reachable.Add(name)
	}
	return s
}

func (s *ownerNetwork) disconnectLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = true
}

// kill disconnects the owner from the log and all workers, as the end of its process would.
func (s *ownerNetwork) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown, s.reachable = true, id.Set[string]{}
}

// logUnreachable waits for logLatency and reports whether the log is unreachable.
func (s *ownerNetwork) logUnreachable() bool {
	time.Sleep(logLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logDown
}

func (s *ownerNetwork) dropNextAppends(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAppends = n
}

func (s *ownerNetwork) dropsAppend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAppends--
	return s.dropAppends >= 0
}

func (s *ownerNetwork) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if s.logUnreachable() || s.dropsAppend() {
		return 0, errNoAnswer
	}
	offset, err := s.fakeLog.Append(ctx, t, records, w)
	time.Sleep(s.answerTime())
	return offset, err
}

func (s *ownerNetwork) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	if s.logUnreachable() {
		return errNoAnswer
	}
	err := s.fakeLog.Fence(ctx, t, epoch)
	time.Sleep(s.answerTime())
	return err
}

func (s *ownerNetwork) setAnswerTime(takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logAnswer = takes
}

func (s *ownerNetwork) answerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logAnswer
}

func (s *ownerNetwork) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	if s.logUnreachable() {
		return stream.Batch{}, errNoAnswer
	}
	return s.fakeLog.Read(ctx, t, from, wait)
}

// lockWorker delivers an order to a worker and returns the worker with the cluster locked and a function that unlocks it.
// It fails when the worker is unreachable or the fence is older than the worker's.
func (s *ownerNetwork) lockWorker(ctx context.Context, name string, fence int64) (*leasedWorker, func(), error) {
	s.mu.Lock()
	reached := s.reachable.Has(name)
	s.mu.Unlock()
	time.Sleep(orderLatency)
	p := s.cluster
	p.mu.Lock()
	p.expireLeases()
	w := p.workers[name]
	switch {
	case ctx.Err() != nil || !reached || w.gone:
		p.mu.Unlock()
		return nil, nil, errNoAnswer
	case fence < w.fence:
		p.mu.Unlock()
		return nil, nil, worker.RefusedError{Reason: worker.Fenced, Reply: answerNow()}
	}
	w.fence = fence
	return w, p.mu.Unlock, nil
}

func answerNow() worker.Reply { return worker.Reply{Clock: fakeClock{}.Moment().Steady} }

func (s *ownerNetwork) Start(ctx context.Context, to worker.Target, start worker.Start) (worker.Reply, error) {
	w, free, err := s.lockWorker(ctx, to.ID, start.Fence)
	if err != nil {
		return worker.Reply{}, err
	}
	defer free()
	if start.Until <= answerNow().Clock {
		return worker.Reply{}, worker.RefusedError{Reason: worker.Late, Reply: answerNow()}
	}
	for name, other := range s.cluster.workers {
		for run := range other.runs {
			if run.Task == start.Task && run != start.Run {
				s.cluster.duplicates = append(s.cluster.duplicates, fmt.Sprintf("%v starts on %s while %v runs on %s", start.Run, to.ID, run, name))
			}
		}
	}
	w.leaseEnd = max(w.leaseEnd, start.Until)
	w.runs.Add(start.Run)
	s.cluster.starts[start.Run] = time.Since(s.cluster.startedAt)
	return answerNow(), nil
}

func (s *ownerNetwork) Stop(ctx context.Context, to worker.Target, run worker.Run, fence int64) (worker.Reply, error) {
	w, free, err := s.lockWorker(ctx, to.ID, fence)
	if err != nil {
		return worker.Reply{}, err
	}
	defer free()
	w.runs.Remove(run)
	return answerNow(), nil
}

func (s *ownerNetwork) RenewLease(ctx context.Context, to worker.Target, renewal worker.LeaseRenewal) (worker.Report, error) {
	w, free, err := s.lockWorker(ctx, to.ID, renewal.Fence)
	if err != nil {
		return worker.Report{}, err
	}
	w.leaseEnd = max(w.leaseEnd, renewal.Until)
	free()
	select {
	case <-ctx.Done():
		return worker.Report{}, ctx.Err()
	case <-time.After(renewal.Wait):
	}
	w, free, err = s.lockWorker(ctx, to.ID, renewal.Fence)
	if err != nil {
		return worker.Report{}, err
	}
	defer free()
	report := worker.Report{Reply: answerNow()}
	for run := range w.runs {
		report.Running = append(report.Running, worker.Running{Run: run, Percent: 100})
	}
	return report, nil
}

func (s *ownerNetwork) Pace(context.Context, worker.Target, worker.Run, int, int64) (worker.Reply, error) {
	return worker.Reply{}, errNoAnswer
}

// shard returns a shard for a pool of all workers whose owner uses this network.
func (s *ownerNetwork) shard(holder string) *Shard {
	var list []catalog.Worker
	for name := range s.cluster.workers {
		list = append(list, catalog.Worker{
			ID: name, Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: catalog.Resources{CPU: 8000, MemoryMB: 8000},
		})
	}
	return New(Config{
		OperatorsSeen: alwaysSeen,
		Pool:          "p", Holder: holder, Log: s, Workers: s, Clock: fakeClock{}, Logger: zap.NewNop(),
		Settings: Settings{Lease: 4 * time.Second, Retention: time.Minute}, View: func() View { return View{Workers: list} },
	})
}

// longJob returns a job with one task that runs for longer than a test.
func longJob() job.Spec {
	spec := someJob(1)
	spec.Steps = []job.Step{{Count: 1, CPU: 100, Estimate: 2 * time.Minute}}
	return spec
}

// TestOwnerStopsSoonAfterTakeover disconnects the first owner from the log, and its worker from the other owners. The
// second owner stops before the first one's leases can have expired. The third owner must not start a task that may
// still run on the first one's worker.
func TestOwnerStopsSoonAfterTakeover(t *testing.T) {
	tests := []struct {
		name  string
		third string                                  // name of the third owner
		end   func(second *ownerNetwork, stop func()) // ends the second owner
	}{
		{"it hands the pool over", "c", func(_ *ownerNetwork, stop func()) { stop() }},
		{"it is killed and starts again", "b", func(second *ownerNetwork, stop func()) {
			second.kill()
			stop()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, p := newFakeLog(), newFakeCluster("near", "far")
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Second) // until all goroutines have ended
				defer cancel()
				first, second, third := newOwnerNetwork(log, p, "far"), newOwnerNetwork(log, p, "near"), newOwnerNetwork(log, p, "near")
				o := start(ctx, first.shard("a"))
				if err := o.shard.Submit(ctx, longJob()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2200 * time.Millisecond)
				first.disconnectLog()
				time.Sleep(1200 * time.Millisecond)
				during, stop := context.WithCancel(ctx)
				o = start(during, second.shard("b"))
				time.Sleep(300 * time.Millisecond)
				test.end(second, stop)
				t.Log(<-o.err)
				start(ctx, third.shard(test.third))
				time.Sleep(20 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, what := range p.duplicates {
					t.Error(what)
				}
				if len(p.starts) != 2 || !p.workers["near"].runs.Has(worker.Run{Task: job.Name{Job: longJob().ID}, Number: 2}) {
					t.Errorf("the starts are %v, want 2 with the second run on worker near", p.starts)
				}
			})
		})
	}
}
