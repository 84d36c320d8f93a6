package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// surge returns a large pool whose owner has just got many jobs.
func surge(jobs int) (*world, *fakeOwner) {
	w := newWorld(1, 260)
	o := w.takeOver()
	w.run(time.Second)
	for i := range jobs {
		spec := shortJob(8)
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		w.submit(string(spec.ID), spec)
	}
	return w, o
}

// BenchmarkPlaceInFullPool is one round of placing in a large pool in a surge: every worker is full and many jobs wait.
func BenchmarkPlaceInFullPool(b *testing.B) {
	w, o := surge(800)
	w.run(1300 * time.Millisecond)
	at := w.moment()
	for b.Loop() {
		at.Steady += 8 * time.Millisecond
		o.pool.Place(at)
	}
}
