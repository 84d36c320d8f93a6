package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// arrivalWindow is the length of a window over which the arrival rate of new work is measured.
const arrivalWindow = 800 * time.Millisecond

// forecastLead is the time that an instance needs to move to another pool.
const forecastLead = 1500 * time.Millisecond

// arrivals measures how much new work arrives, so that capacity for a surge is requested before a backlog has built up.
type arrivals struct{ recent []arrival }

type arrival struct {
	at   time.Duration
	work job.CoreTime
}

// add records the work of a new job.
func (a *arrivals) add(now time.Duration, work job.CoreTime) {
	if work > 0 {
		a.recent = append(a.recent, arrival{at: now, work: work})
	}
}

// maxForecast bounds a forecast, in thousandths of a core, so that it can be added to others.
const maxForecast = 1e12

// forecast returns the thousandths of a core that new work will use by the time more instances can be available. It is
// the rate of the newest window; if that window brought clearly more jobs than the one before, the growth is
// extrapolated over forecastLead.
func (a *arrivals) forecast(now time.Duration) int {
	first := 0
	for first < len(a.recent) && a.recent[first].at < now-2*arrivalWindow {
		first++
	}
	a.recent = a.recent[first:]
	var before, newest job.CoreTime
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
	if isSurge(jobsBefore, jobsNewest) && newest > before {
		newest += (newest - before) * job.CoreTime(forecastLead.Seconds()/arrivalWindow.Seconds())
	}
	return int(min(float64(newest)*job.CoreUnits/arrivalWindow.Seconds(), maxForecast))
}

// isSurge reports whether the newest window brought significantly more jobs than the one before.
func isSurge(before, newest int) bool {
	growth := newest - before
	return growth > 0 && growth*growth > 4*(newest+before)
}
