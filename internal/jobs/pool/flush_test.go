package pool

import (
	"fmt"
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestLargeBatches stores more jobs than fit into one batch and checks that no run is ordered before its job is stored.
func TestLargeBatches(t *testing.T) {
	w, o := newSettledSimulation(t)
	p, at := o.pool, w.moment()
	p.Actions()
	for i := range maxBatchJobs + 50 {
		spec := shortJob(1)
		spec.Steps[0].CPU, spec.Steps[0].MemoryMB = 1, 1
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		p.Submit(at, spec)
	}
	p.Place(at)
	stored := map[job.ID]bool{}
	for _, want := range []int{maxBatchJobs, 50, 0} {
		b := p.Flush()
		if len(b.Jobs) != want {
			t.Fatalf("batch of %d jobs, want %d", len(b.Jobs), want)
		}
		for _, s := range b.Jobs {
			stored[s.ID] = true
		}
		p.RecordStored(at, b)
		p.SendStarts(at)
		for _, a := range p.Actions() {
			if start, ok := a.(StartAction); ok && !stored[start.Start.Task.Job] {
				t.Fatalf("%v was ordered before it was stored", start.Start.Run)
			}
		}
	}
}
