package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestSurgeIsTurnedAway replays a surge of many times what the pool holds: what can still end in a useful
// time is taken, the rest is refused with the time that the work before it takes.
func TestSurgeIsTurnedAway(t *testing.T) {
	w, o := settled(t)
	p, at := o.pool, w.moment()
	first := shortJob(500)
	first.ID = "0000000000000fff"
	if err := p.Admit(at, &first); err != nil {
		t.Errorf("a job is refused before it is known what the pool can get: %v", err)
	}
	p.SetReach(at, 0, 0)
	taken := 0
	var full FullError
	for i := range 200 {
		spec := shortJob(8)
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		if err := p.Admit(at, &spec); err != nil {
			if !errors.As(err, &full) {
				t.Fatal(err)
			}
			continue
		}
		taken++
		p.Submit(at, spec)
	}
	// 8 cores hold 8 s of work a second; a job has 5.6 s of it and is useless after 8 s, its chain included.
	if taken < 8 || taken > 12 {
		t.Errorf("%d jobs of 200 are taken", taken)
	}
	if full.Wait < 4*time.Second || full.Wait > 10*time.Second {
		t.Errorf("a refused caller is told to come back after %v", full.Wait)
	}
	known := shortJob(8)
	known.ID = "0000000000000000"
	if err := p.Admit(at, &known); err != nil {
		t.Errorf("a job that was taken is refused when it comes again: %v", err)
	}
	p.SetReach(at, 64_000, 0)
	more := shortJob(8)
	more.ID = "00000000000000ff"
	if err := p.Admit(at, &more); err != nil {
		t.Errorf("a job is refused although instances are to be had: %v", err)
	}
}
