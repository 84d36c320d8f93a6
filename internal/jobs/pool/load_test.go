package pool

import (
	"fmt"
	"testing"
	"time"
)

// TestLateWorkIsNoNeed fills a pool with a backlog that nobody waits for any more. While it is worked off it must not
// count like work that is in time, or the pool keeps instances that other pools need.
func TestLateWorkIsNoNeed(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // since the jobs were handed in
		fresh int           // jobs that come after that
		late  bool          // nothing else is there
	}{{"in time", 500 * time.Millisecond, 0, false}, {"late", 8 * time.Second, 0, true}, {"late beside new work", 8 * time.Second, 3, false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, o := settled(t)
			for i := range 60 {
				w.submit(fmt.Sprintf("%016x", i), shortJob(6))
			}
			w.run(w.now + test.after)
			for i := range test.fresh {
				w.submit(fmt.Sprintf("f%015x", i), shortJob(6))
			}
			load := o.pool.Load(w.moment())
			used := 0
			for _, h := range load.Hosts {
				used += h.Used
			}
			if used == 0 {
				t.Fatal("nothing runs")
			}
			if test.late && (load.Demand >= used/4 || load.Memory > 0 || load.Late < used) {
				t.Errorf("demand %d, memory %d, late %d while %d is used by late work", load.Demand, load.Memory, load.Late, used)
			}
			if !test.late && (load.Demand < used || load.Memory == 0) {
				t.Errorf("demand %d, memory %d, late %d while %d is used by work in time", load.Demand, load.Memory, load.Late, used)
			}
			if ready := test.fresh * 6 * 500; test.fresh > 0 && load.Memory < ready+ready/3 {
				t.Errorf("memory %d for new work of %d beside late work that holds the workers", load.Memory, ready)
			}
		})
	}
}
