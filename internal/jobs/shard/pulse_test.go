package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestPulseForgetsWhatWasSaid checks that a line covers what came since the one before, and the longest of each part.
func TestPulseForgetsWhatWasSaid(t *testing.T) {
	p := newPulse(nil)
	p.event(3 * time.Millisecond)
	p.event(time.Millisecond)
	p.turn(2 * time.Millisecond)
	p.stored(5 * time.Millisecond)
	p.order(true, time.Millisecond, 4*time.Millisecond)
	p.order(false, 7*time.Millisecond, time.Second)
	want := beat{
		turns: 1, events: 2, batches: 1, starts: 1, orders: 2, busy: 2 * time.Millisecond, longest: 2 * time.Millisecond,
		oldest: 3 * time.Millisecond, log: 5 * time.Millisecond, send: 7 * time.Millisecond, answer: 4 * time.Millisecond,
	}
	if got := p.take(); got != want {
		t.Errorf("measured %+v, want %+v", got, want)
	}
	if got := p.take(); got != (beat{}) {
		t.Errorf("still %+v after it was said", got)
	}
}

// countedParts counts what an owner's Watch is told of.
type countedParts struct {
	mu    sync.Mutex
	parts map[string]int
}

func (c *countedParts) Took(part string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[part]++
}

func (c *countedParts) count(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts[part]
}

// TestEventsOfASurgeShareTurns floods an owner with events: the rounds of decisions go by time, not by events.
func TestEventsOfASurgeShareTurns(t *testing.T) {
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	s := newShard(log, workers, "a")
	counted := &countedParts{parts: map[string]int{}}
	s.pulse.watch = counted
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start(ctx, s)
	if err := s.ready(ctx); err != nil {
		t.Fatal(err)
	}
	began, before := time.Now(), counted.count(turnPart)
	const events = 400
	for range events {
		s.post(ctx, func(pool.Moment) {})
		time.Sleep(time.Millisecond / 2)
	}
	turns, most := counted.count(turnPart)-before, int(time.Since(began)/(4*time.Millisecond))+2
	if turns > most {
		t.Errorf("%d events have taken %d turns, %d at most", events, turns, most)
	}
}
