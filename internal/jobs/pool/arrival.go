package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// arrivalWindow is how long new work counts for the rate at which it comes.
const arrivalWindow = 600 * time.Millisecond

// arrivals measures how much work comes in, so that the room for a surge is asked for before its
// backlog has built up.
type arrivals struct{ recent []arrival }

type arrival struct {
	at   time.Duration
	work time.Duration // processor time of one core
}

// add notes a job.
func (a *arrivals) add(now time.Duration, spec *job.Spec) {
	var work time.Duration
	for _, step := range spec.Steps {
		work += time.Duration(step.Count*step.CPU) * step.Estimate / coreUnits
	}
	if work > 0 {
		a.recent = append(a.recent, arrival{at: now, work: work})
	}
}

// coreUnits is the parts that one core is counted in.
const coreUnits = 1000

// rate returns the thousandths of a core that the work of the window keeps busy.
func (a *arrivals) rate(now time.Duration) int {
	first := 0
	for first < len(a.recent) && a.recent[first].at < now-arrivalWindow {
		first++
	}
	a.recent = a.recent[first:]
	var sum time.Duration
	for _, r := range a.recent {
		sum += r.work
	}
	return int(sum * coreUnits / arrivalWindow)
}
