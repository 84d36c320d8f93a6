package pool

import (
	"testing"
	"time"
)

// TestLeaseOnAnIdleWorker starts a task on a worker that has been idle and whose clock is slow. The first lease must
// end by the time at which a successor, which does not know when the clock was last read, assumes that it has expired.
func TestLeaseOnAnIdleWorker(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 25 * time.Second, time.Minute, 5 * time.Minute} {
		w := newSimulation(1, 1)
		f := w.workers["w0"]
		f.clockRate = 1 - ClockDrift
		w.takeOver()
		w.run(idle)
		w.submit("0000000000000001", shortJob(1))
		for len(f.runs) == 0 && w.now < idle+time.Second {
			w.run(w.now + time.Millisecond)
		}
		left := time.Duration(float64(f.leaseEnd-f.clock()) / f.clockRate)
		if most := time.Duration(float64(testLease) * (1 + 2*ClockDrift)); len(f.runs) == 0 || left > most || left < testLease/2 {
			t.Errorf("after %v idle: %d runs, lease of %v, want at most %v", idle, len(f.runs), left, most)
		}
	}
}
