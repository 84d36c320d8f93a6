package shard

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
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

// Times of the network.
const (
	logWay   = 5 * time.Millisecond // of a call to the log
	orderWay = time.Millisecond     // of an order to its worker
)

// fakeClock reads the time of a synctest bubble.
type fakeClock struct{}

func (fakeClock) Moment() pool.Moment {
	now := time.Now()
	return pool.Moment{Steady: time.Duration(now.UnixNano()), Wall: now}
}

// leased is a worker whose tasks run until they are stopped or its lease runs out.
type leased struct {
	fence int64
	until time.Duration
	runs  id.Set[worker.Run]
	gone  bool // its machine has stopped
}

// places are workers that hold leases, in a bubble's time, and note tasks that run twice at one moment.
type places struct {
	mu      sync.Mutex
	workers map[string]*leased
	twice   []string
	starts  map[worker.Run]time.Duration // when, since the bubble began
	begun   time.Time
}

func newPlaces(names ...string) *places {
	p := &places{workers: map[string]*leased{}, starts: map[worker.Run]time.Duration{}, begun: time.Now()}
	for _, name := range names {
		p.workers[name] = &leased{runs: id.Set[worker.Run]{}}
	}
	return p
}

// lapse ends what runs on without a lease; the caller holds the lock.
func (p *places) lapse() {
	now := fakeClock{}.Moment().Steady
	for _, w := range p.workers {
		if w.gone || now >= w.until {
			w.runs = id.Set[worker.Run]{}
		}
	}
}

// stand is one owner's place in the network: the log and the workers as far as it reaches them.
type stand struct {
	*fakeLog
	places *places

	mu     sync.Mutex
	cut    bool // from the log
	refuse int  // appends that get lost on their way to the log
	reach  id.Set[string]
}

func newStand(log *fakeLog, p *places, reach ...string) *stand {
	s := &stand{fakeLog: log, places: p, reach: id.Set[string]{}}
	for _, name := range reach {
		s.reach.Add(name)
	}
	return s
}

func (s *stand) cutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = true
}

// kill stops what is sent from here, as the death of the process would.
func (s *stand) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.reach = true, id.Set[string]{}
}

// isCut reports whether the log is out of reach, after the time that a call takes.
func (s *stand) isCut() bool {
	time.Sleep(logWay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *stand) refuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = n
}

func (s *stand) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse--
	return s.refuse >= 0
}

func (s *stand) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if s.isCut() || s.refused() {
		return 0, errNoAnswer
	}
	return s.fakeLog.Append(ctx, t, records, w)
}

func (s *stand) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	if s.isCut() {
		return errNoAnswer
	}
	return s.fakeLog.Fence(ctx, t, epoch)
}

func (s *stand) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	if s.isCut() {
		return stream.Batch{}, errNoAnswer
	}
	return s.fakeLog.Read(ctx, t, from, wait)
}

// order finds a worker that is reached and takes its lock; the caller gives it back.
func (s *stand) order(ctx context.Context, name string, fence int64) (*leased, func(), error) {
	s.mu.Lock()
	reached := s.reach.Has(name)
	s.mu.Unlock()
	time.Sleep(orderWay)
	p := s.places
	p.mu.Lock()
	p.lapse()
	w := p.workers[name]
	switch {
	case ctx.Err() != nil || !reached || w.gone:
		p.mu.Unlock()
		return nil, nil, errNoAnswer
	case fence < w.fence:
		p.mu.Unlock()
		return nil, nil, worker.RefusedError{Reason: worker.Fenced, Answer: answerNow()}
	}
	w.fence = fence
	return w, p.mu.Unlock, nil
}

func answerNow() worker.Answer { return worker.Answer{Clock: fakeClock{}.Moment().Steady} }

func (s *stand) Start(ctx context.Context, to worker.Target, start worker.Start) (worker.Answer, error) {
	w, free, err := s.order(ctx, to.ID, start.Fence)
	if err != nil {
		return worker.Answer{}, err
	}
	defer free()
	if start.Until <= answerNow().Clock {
		return worker.Answer{}, worker.RefusedError{Reason: worker.Late, Answer: answerNow()}
	}
	for name, other := range s.places.workers {
		for run := range other.runs {
			if run.Task == start.Task && run != start.Run {
				s.places.twice = append(s.places.twice, fmt.Sprintf("%v starts on %s while %v runs on %s", start.Run, to.ID, run, name))
			}
		}
	}
	w.until = max(w.until, start.Until)
	w.runs.Add(start.Run)
	s.places.starts[start.Run] = time.Since(s.places.begun)
	return answerNow(), nil
}

func (s *stand) Stop(ctx context.Context, to worker.Target, run worker.Run, fence int64) (worker.Answer, error) {
	w, free, err := s.order(ctx, to.ID, fence)
	if err != nil {
		return worker.Answer{}, err
	}
	defer free()
	w.runs.Remove(run)
	return answerNow(), nil
}

func (s *stand) Hold(ctx context.Context, to worker.Target, h worker.Hold) (worker.Report, error) {
	w, free, err := s.order(ctx, to.ID, h.Fence)
	if err != nil {
		return worker.Report{}, err
	}
	w.until = max(w.until, h.Until)
	free()
	select {
	case <-ctx.Done():
		return worker.Report{}, ctx.Err()
	case <-time.After(h.Wait):
	}
	w, free, err = s.order(ctx, to.ID, h.Fence)
	if err != nil {
		return worker.Report{}, err
	}
	defer free()
	report := worker.Report{Answer: answerNow()}
	for run := range w.runs {
		report.Running = append(report.Running, worker.Running{Run: run, Percent: 100})
	}
	return report, nil
}

func (s *stand) Pace(context.Context, worker.Target, worker.Run, int, int64) (worker.Answer, error) {
	return worker.Answer{}, errNoAnswer
}

// shard returns a pool of the workers under an owner that stands here.
func (s *stand) shard(holder string) *Shard {
	var list []catalog.Worker
	for name := range s.places.workers {
		list = append(list, catalog.Worker{
			ID: name, Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: catalog.Amount{CPU: 8000, MemoryMB: 8000},
		})
	}
	return New(Config{
		Pool: "p", Holder: holder, Log: s, Workers: s, Clock: fakeClock{}, Logger: zap.NewNop(),
		Settings: Settings{Lease: 4 * time.Second, Retention: time.Minute}, View: func() View { return View{Workers: list} },
	})
}

// longJob is one task that goes on for longer than a test.
func longJob() job.Spec {
	spec := someJob(1)
	spec.Steps = []job.Step{{Count: 1, CPU: 100, Estimate: 2 * time.Minute}}
	return spec
}

// TestOwnerStopsSoonAfterItTookOver cuts the first owner and its worker off from the others. The second owner stops
// before the first one's leases can have run out: the third starts no task that may still run there.
func TestOwnerStopsSoonAfterItTookOver(t *testing.T) {
	tests := []struct {
		name  string
		third string                           // its name
		end   func(second *stand, stop func()) // of the second owner
	}{
		{"it hands the pool over", "c", func(_ *stand, stop func()) { stop() }},
		{"it is killed and starts again", "b", func(second *stand, stop func()) {
			second.kill()
			stop()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, p := newFakeLog(), newPlaces("near", "far")
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Second) // until all goroutines have ended
				defer cancel()
				first, second, third := newStand(log, p, "far"), newStand(log, p, "near"), newStand(log, p, "near")
				o := start(ctx, first.shard("a"))
				if err := o.shard.Submit(ctx, longJob()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2200 * time.Millisecond)
				first.cutOff()
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
				for _, what := range p.twice {
					t.Error(what)
				}
				if len(p.starts) != 2 || !p.workers["near"].runs.Has(worker.Run{Task: job.Name{Job: longJob().ID}, Number: 2}) {
					t.Errorf("the task does not run again: %v", p.starts)
				}
			})
		})
	}
}
