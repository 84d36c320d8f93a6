package pool

import (
	"fmt"
	"testing"
	"time"
)

// TestLateWorkIsNotDemand fills a pool with a backlog that nobody waits for any more. It must not count like work that
// can be on time, or the pool would keep instances that other pools need.
func TestLateWorkIsNotDemand(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration // time since the jobs were submitted
		fresh int           // jobs submitted after that
		late  bool          // all work is late
	}{{"in time", 500 * time.Millisecond, 0, false}, {"late", 8 * time.Second, 0, true}, {"late beside new work", 8 * time.Second, 3, false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, o := newSettledSimulation(t)
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
				t.Errorf("demand %d, memory %d, late %d while late work uses %d", load.Demand, load.Memory, load.Late, used)
			}
			if !test.late && (load.Demand < used || load.Memory == 0) {
				t.Errorf("demand %d, memory %d, late %d while work that can be on time uses %d", load.Demand, load.Memory, load.Late, used)
			}
			if ready := test.fresh * 6 * 500; test.fresh > 0 && load.Memory < ready+ready/3 {
				t.Errorf("memory %d while new work needs %d and late work occupies the workers", load.Memory, ready)
			}
		})
	}
}
