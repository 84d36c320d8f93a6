package pool

import (
	"testing"
	"time"
)

// BenchmarkTickInFullPool measures Tick in a large pool during a surge.
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
