package pool

import (
	"testing"
	"time"
)

// TestEndsOfANewLifeAreNotAcknowledgedUnseen has an idle worker start again under its id, unheard. The look that goes with
// its next start is carried out late, when the run has ended done and no answer has come yet.
func TestEndsOfANewLifeAreNotAcknowledgedUnseen(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 1)
		w.delay = 20 * time.Second
		w.takeOver()
		w.run(time.Second)
		w.submit("0000000000000001", shortJob(4))
		w.run(20 * time.Second)
		if left := w.unfinished(); len(left) > 0 {
			t.Fatalf("seed %d: %v are not done", seed, left)
		}
		w.kill("w0")
		w.restart("w0")
		w.run(21 * time.Second)
		w.faults = faults{late: 0.5, lostAfter: 0.5}
		spec := shortJob(1)
		spec.Steps[0].Estimate = 200 * time.Millisecond
		w.submit("0000000000000002", spec)
		w.run(21015 * time.Millisecond)
		w.faults = faults{lostAfter: 1}
		w.run(24500 * time.Millisecond)
		w.faults = faults{}
		w.run(60 * time.Second)
		if left := w.unfinished(); len(left) > 0 {
			t.Errorf("seed %d: %v are not done", seed, left)
		}
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %v", seed, w.broken)
		}
	}
}
