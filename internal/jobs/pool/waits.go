package pool

import "time"

// Waits splits the time from when a task could start until its first run was confirmed by what the run waited for.
type Waits struct {
	Owner    time.Duration // until a placing round first considered the task
	Capacity time.Duration // until a worker was chosen
	Log      time.Duration // until the log had stored the run
	Order    time.Duration // until the worker's confirmation was applied
}

// waitsOf returns the waits of a run that a worker has just confirmed.
func waitsOf(at Moment, r *run) Waits {
	return Waits{
		Owner: r.firstAttempt - r.ready, Capacity: r.chosen - r.firstAttempt, Log: r.ordered - r.chosen, Order: at.Steady - r.ordered,
	}
}

// TakeWaits returns the number of first runs that workers have confirmed since the last call and the sum of their
// waits.
func (p *Pool) TakeWaits() (begun int, together Waits) {
	begun, together = p.firstStarts, p.waits
	p.firstStarts, p.waits = 0, Waits{}
	return begun, together
}

// recordFirstStart adds the waits of a task's first run to the sums for TakeWaits and reports them to the observer.
func (p *Pool) recordFirstStart(at Moment, r *run) {
	w := waitsOf(at, r)
	p.firstStarts++
	p.waits.Owner += w.Owner
	p.waits.Capacity += w.Capacity
	p.waits.Log += w.Log
	p.waits.Order += w.Order
	p.config.Observer.RunBegun(&r.job.job.Spec, w)
}

// stepTimes records when the tasks of a step could start and when a placing round first considered them.
type stepTimes struct{ ready, firstAttempt time.Duration }

// stepTimesOf returns the times of a step. The first call for a step records the current time as its first attempt.
func (e *entry) stepTimesOf(at Moment, occurrence, step int) stepTimes {
	key := [2]int{occurrence, step}
	t, ok := e.stepTimes[key]
	if !ok {
		t = stepTimes{ready: e.ready, firstAttempt: at.Steady}
		e.stepTimes[key] = t
	}
	return t
}
