package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// surge returns a large pool to which many jobs have just been submitted.
func surge(jobs int) (*simulation, *fakeOwner) {
	w := newSimulation(1, 260)
	o := w.takeOver()
	w.run(time.Second)
	for i := range jobs {
		spec := shortJob(8)
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		w.submit(string(spec.ID), spec)
	}
	return w, o
}

// BenchmarkPlaceInFullPool measures one placing round in a large pool during a surge, in which every worker is full and
// many jobs wait.
func BenchmarkPlaceInFullPool(b *testing.B) {
	w, o := surge(800)
	w.run(1300 * time.Millisecond)
	at := w.moment()
	for b.Loop() {
		at.Steady += 8 * time.Millisecond
		o.pool.Place(at)
	}
}
