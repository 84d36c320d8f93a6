package pool

import (
	"testing"
	"time"
)

// BenchmarkTickInFullPool is one look at what is due in a large pool in a surge, which remembers many ended jobs.
func BenchmarkTickInFullPool(b *testing.B) {
	w, o := surge(3000)
	w.run(1300 * time.Millisecond)
	at := w.moment()
	for b.Loop() {
		at.Steady += time.Microsecond
		o.pool.Tick(at)
		o.pool.Actions()
	}
}
