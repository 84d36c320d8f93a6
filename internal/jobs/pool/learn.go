package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// slownessWeight is the weight of the newest run in the moving average of a worker's slowness.
const slownessWeight = 0.3

// Limits for consecutive failed runs on one worker and for the time that it then gets no new work.
const (
	failureThreshold = 3
	initialPenalty   = 2 * time.Second
	maxPenalty       = 30 * time.Second
)

// learn updates the slowness and failure statistics of a worker when a run ends.
func (p *Pool) learn(at Moment, r *run, outcome worker.Outcome) {
	h := r.host
	switch outcome {
	case worker.Done:
		h.failures, h.penalties, h.overdue = 0, 0, 0
		h.lastDone = at.Steady
		if r.began > 0 && r.step.Estimate > 0 {
			ratio := float64(at.Steady-r.began) / float64(r.step.Estimate)
			if h.slowness == 0 {
				h.slowness = 1
			}
			h.slowness += slownessWeight * (ratio - h.slowness)
		}
	case worker.Failed:
		h.failures++
		if h.failures >= failureThreshold {
			h.avoidUntil = at.Steady + min(maxPenalty, initialPenalty<<min(h.penalties, 4))
			h.penalties++
			h.failures = failureThreshold - 1
			p.config.Observer.WorkerChanged(h.info.ID, "fails what it starts")
		}
	case worker.Lost, worker.Stopped, worker.Expired, worker.GangMemberEnded, worker.GangIncomplete:
	}
}
