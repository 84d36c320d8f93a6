package pool

import (
	"testing"
	"time"
)

// TestLeaseOnAnIdleWorker starts a task on a worker that has done nothing for a while and whose clock is slow: its first
// lease ends when a successor takes it for ended, which doesn't know when the clock was last read.
func TestLeaseOnAnIdleWorker(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 25 * time.Second, time.Minute, 5 * time.Minute} {
		w := newWorld(1, 1)
		f := w.workers["w0"]
		f.slow = 1 - ClockDrift
		w.takeOver()
		w.run(idle)
		w.submit("0000000000000001", shortJob(1))
		for len(f.runs) == 0 && w.now < idle+time.Second {
			w.run(w.now + time.Millisecond)
		}
		left := time.Duration(float64(f.until-f.clock()) / f.slow)
		if most := time.Duration(float64(testLease) * (1 + 2*ClockDrift)); len(f.runs) == 0 || left > most || left < testLease/2 {
			t.Errorf("after %v: %d runs, a lease of %v, %v at most", idle, len(f.runs), left, most)
		}
	}
}
