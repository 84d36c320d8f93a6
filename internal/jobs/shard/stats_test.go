package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestStatsResetAfterEachReport checks that the statistics cover the time since the last reset and hold the longest time
// of each part.
func TestStatsResetAfterEachReport(t *testing.T) {
	p := newLoopStats(nil)
	p.recordEvent(3 * time.Millisecond)
	p.recordEvent(time.Millisecond)
	p.recordIteration(2 * time.Millisecond)
	p.recordWrite(5 * time.Millisecond)
	p.recordOrder(true, time.Millisecond, 4*time.Millisecond)
	p.recordOrder(false, 7*time.Millisecond, time.Second)
	p.recordIntakeAge(9 * time.Millisecond)
	p.recordIntakeAge(8 * time.Millisecond)
	want := sample{
		iterations: 1, events: 2, batches: 1, starts: 1, orders: 2, busy: 2 * time.Millisecond, longestIteration: 2 * time.Millisecond,
		oldestEvent: 3 * time.Millisecond, longestWrite: 5 * time.Millisecond, longestSend: 7 * time.Millisecond, longestStart: 4 * time.Millisecond,
		oldestIntake: 9 * time.Millisecond,
	}
	if got := p.reset(); got != want {
		t.Errorf("measured %+v, want %+v", got, want)
	}
	if got := p.reset(); got != (sample{}) {
		t.Errorf("statistics are %+v after a reset, want none", got)
	}
}

// countingObserver is a TimingObserver that counts the measurements of each part.
type countingObserver struct {
	mu    sync.Mutex
	parts map[string]int
}

func (c *countingObserver) ObserveDuration(part string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[part]++
}

func (c *countingObserver) count(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts[part]
}

// TestIterationsDoNotGrowWithEvents floods an owner with events and checks that the number of iterations is bounded by
// time, not by the number of events.
func TestIterationsDoNotGrowWithEvents(t *testing.T) {
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	s := newShard(log, workers, "a")
	counted := &countingObserver{parts: map[string]int{}}
	s.stats.observer = counted
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start(ctx, s)
	if err := s.awaitStarted(ctx); err != nil {
		t.Fatal(err)
	}
	began, before := time.Now(), counted.count(iterationPart)
	const events = 400
	for range events {
		s.post(ctx, func(pool.Moment) {})
		time.Sleep(time.Millisecond / 2)
	}
	iterations, most := counted.count(iterationPart)-before, int(time.Since(began)/(4*time.Millisecond))+2
	if iterations > most {
		t.Errorf("%d events took %d iterations, want at most %d", events, iterations, most)
	}
}
