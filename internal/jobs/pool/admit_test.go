package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestAdmitRejectsSurge replays a surge far beyond the pool's capacity. Jobs that can still end in a useful time are
// admitted, the others are rejected with the estimated wait.
func TestAdmitRejectsSurge(t *testing.T) {
	w, o := newSettledSimulation(t)
	p, at := o.pool, w.moment()
	first := shortJob(500)
	first.ID = "0000000000000fff"
	if err := p.Admit(at, &first); err != nil {
		t.Errorf("job rejected before the obtainable capacity is known: %v", err)
	}
	p.SetObtainable(at, 0, 0)
	admitted := 0
	var full OverloadedError
	for i := range 200 {
		spec := shortJob(8)
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		if err := p.Admit(at, &spec); err != nil {
			if !errors.As(err, &full) {
				t.Fatal(err)
			}
			continue
		}
		admitted++
		p.Submit(at, spec)
	}
	// 8 cores do 8 s of work per second; a job has 5.6 s of work and is useless after 8 s, including its chain.
	if admitted < 8 || admitted > 12 {
		t.Errorf("%d jobs of 200 were admitted, want 8 to 12", admitted)
	}
	if full.Wait < 4*time.Second || full.Wait > 10*time.Second {
		t.Errorf("estimated wait of the last rejected job is %v, want 4s to 10s", full.Wait)
	}
	known := shortJob(8)
	known.ID = "0000000000000000"
	if err := p.Admit(at, &known); err != nil {
		t.Errorf("job that was admitted is rejected when it is submitted again: %v", err)
	}
	p.SetObtainable(at, 64_000, 0)
	more := shortJob(8)
	more.ID = "00000000000000ff"
	if err := p.Admit(at, &more); err != nil {
		t.Errorf("job rejected although more instances can be obtained: %v", err)
	}
}
