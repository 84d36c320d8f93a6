package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// BenchmarkTickInFullPool is one look at what is due in a large pool in a surge, which remembers many ended jobs.
func BenchmarkTickInFullPool(b *testing.B) {
	w := newWorld(1, 260)
	o := w.takeOver()
	w.run(time.Second)
	for i := range 3000 {
		spec := shortJob(8)
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		w.submit(string(spec.ID), spec)
	}
	w.run(1300 * time.Millisecond)
	at := w.moment()
	for b.Loop() {
		at.Steady += time.Microsecond
		o.pool.Tick(at)
		o.pool.Actions()
	}
}
