package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Cause tells how an owner has learned that a run is over.
type Cause int

// Causes of the end of a run, as far as the owner can tell.
const (
	Reported Cause = iota // the worker listed the end
	Refused               // the worker refused the start, so the run never existed
	Absent                // the worker does not have the run, and its incarnation is still the one that the order went to
	Crashed               // the worker's incarnation ended without notice
	Left                  // the worker's incarnation ended after a notice or by an order
	Silent                // the worker was out of reach until its lease had expired
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"reported", "refused", "absent", "crashed", "left", "silent"}[c]
}

// isCrash reports whether the worker may have crashed under the run.
func (c Cause) isCrash() bool { return c == Crashed || c == Silent }

// RunEnd describes the end of a run for logs and metrics.
type RunEnd struct {
	Task     job.Name
	Run      int
	Worker   string
	Outcome  worker.Outcome
	Cause    Cause
	Survived time.Duration // for how long the worker is known to have had the run
	Beside   int           // runs that were lost with the same worker
	Crashes  int           // workers that have crashed or fallen silent under the task
}

// loss is what the owner knows of a run whose worker's incarnation has ended or is out of reach.
type loss struct {
	cause    Cause
	survived time.Duration // see RunEnd
	beside   int           // see RunEnd
}

// recordShown records that an answer of the worker's newest incarnation shows the run.
func (r *run) recordShown() {
	if r.shownAt == 0 || r.loss != nil {
		r.shownAt, r.loss = r.host.newestClock, nil
	}
}

// survived returns for how long, by the worker's clock, its answers show that it had a run.
func (h *host) survived(r *run) time.Duration {
	if r.shownAt == 0 {
		return 0
	}
	return max(0, h.newestClock-r.shownAt)
}

// lossCause returns why a worker's incarnation has ended.
func (h *host) lossCause() Cause {
	if h.info.Draining || h.retired {
		return Left
	}
	return Crashed
}

// recordLoss records for each run that was sent to a worker's incarnation that this incarnation has ended or is out of
// reach. It ends no run.
func (h *host) recordLoss(cause Cause) {
	var lost []*run
	for _, r := range h.runs {
		if r.phase != storing && r.loss == nil {
			lost = append(lost, r)
		}
	}
	for _, r := range lost {
		r.loss = &loss{cause: cause, survived: h.survived(r), beside: len(lost) - 1}
	}
}

// describeEnd returns what the owner knows of the end of a run. A run that the worker does not have may have been lost
// with an earlier incarnation.
func describeEnd(r *run, end worker.End, cause Cause) RunEnd {
	d := RunEnd{
		Task: r.id.Task, Run: r.id.Number, Worker: r.host.info.ID, Outcome: end.Outcome, Cause: cause, Survived: r.host.survived(r),
	}
	if cause != Reported && cause != Refused && r.loss != nil {
		d.Cause, d.Survived, d.Beside = r.loss.cause, r.loss.survived, r.loss.beside
	}
	return d
}
