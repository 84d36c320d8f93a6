package shard

import (
	"testing"
	"time"
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
