package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// arrivalWindow is how long new work counts for the rate at which it comes.
const arrivalWindow = 800 * time.Millisecond

// forecastLead is how long an instance takes until it serves another pool.
const forecastLead = 1500 * time.Millisecond

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

// forecast returns the thousandths of a core that new work will keep busy by the time more instances
// can be there: what the newest window brought, and while that is clearly more than the window before
// brought, as much more as the growth goes on to bring.
func (a *arrivals) forecast(now time.Duration) int {
	first := 0
	for first < len(a.recent) && a.recent[first].at < now-2*arrivalWindow {
		first++
	}
	a.recent = a.recent[first:]
	var before, newest time.Duration
	jobsBefore, jobsNewest := 0, 0
	for _, r := range a.recent {
		if r.at < now-arrivalWindow {
			before += r.work
			jobsBefore++
			continue
		}
		newest += r.work
		jobsNewest++
	}
	if surges(jobsBefore, jobsNewest) && newest > before {
		newest += time.Duration(float64(newest-before) * float64(forecastLead) / float64(arrivalWindow))
	}
	return int(newest * coreUnits / arrivalWindow)
}

// surges reports whether a window has brought more jobs than chance explains.
func surges(before, newest int) bool {
	growth := newest - before
	return growth > 0 && growth*growth > 4*(newest+before)
}
