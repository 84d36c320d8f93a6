package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// learnWeight is the share of the newest run in a worker's typical slowness.
const learnWeight = 0.3

// Bounds on runs that fail in a row on one worker.
const (
	failuresInRow = 3
	firstPenalty  = 2 * time.Second
	maxPenalty    = 30 * time.Second
)

// learn judges a worker by the end of a run.
func (p *Pool) learn(at Moment, r *run, how worker.How) {
	h := r.host
	switch how {
	case worker.Done:
		h.failures, h.penalties, h.overdue = 0, 0, 0
		h.done = at.Steady
		if r.began > 0 && r.step.Estimate > 0 {
			ratio := float64(at.Steady-r.began) / float64(r.step.Estimate)
			if h.slow == 0 {
				h.slow = 1
			}
			h.slow += learnWeight * (ratio - h.slow)
		}
	case worker.Failed:
		h.failures++
		if h.failures >= failuresInRow {
			h.avoid = at.Steady + min(maxPenalty, firstPenalty<<min(h.penalties, 4))
			h.penalties++
			h.failures = failuresInRow - 1
			p.config.Observer.WorkerChanged(h.info.ID, "fails what it starts")
		}
	case worker.Lost, worker.Stopped, worker.Lapsed, worker.Broken, worker.Alone:
	}
}
