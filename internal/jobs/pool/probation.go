package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// A task may crash each worker that starts it, and a worker runs many tasks. The load pattern: some jobs of a busy queue
// do so, and each crash ends all runs of a worker and keeps it away for seconds. The tasks that started last on a crashed worker
// are suspected; a suspected task starts again alone on a worker, which gets other work once the run has outlived the age
// at which the worker crashed. A task that crashes another worker at that age is given up.

// Crashes at one age of its runs after which a task is given up, the last one while it was on probation. Workers also
// crash for other reasons; a long-running task meets many of them.
const (
	strikeLimit            = 2
	doubtfulStrikeLimit    = 3 // if something else may be the cause
	accompaniedStrikeLimit = 4 // if runs of other jobs that no probation had cleared were on the worker
	longRunningStrikeLimit = 5
	crashLimit             = 5 // crashes at any age after which a task that is not long-running is given up
	unseenCrashLimit       = 4 // crashes before an answer shows the run, after which a task is given up
)

// certainCrashes is the number of workers that have certainly crashed under a task that is given up, unless it never gets old enough
// to be seen.
const certainCrashes = 2

const (
	suspectWindow = 50 * time.Millisecond // tasks that started at most this much before the last one are suspected too
	maxProbation  = 10 * time.Second
	faultWindow   = time.Minute // an instance whose workers crash twice within this time may be at fault
)

// recordLostRun records what the end of a task's current run says of the task.
func (p *Pool) recordLostRun(at Moment, r *run, cause Cause) {
	switch cause {
	case Crashed:
		p.recordCrash(at, r)
	case Silent:
		r.host.keepLossOpen(at, r)
	case Reported, Refused, NotSent, Absent, Left, Unrenewed:
	}
}

// recordCrash records a crash under a run of a task, which may give up the task's job.
func (p *Pool) recordCrash(at Moment, r *run) {
	t, e := r.task, r.job
	t.Crash.Add(r.crash())
	e.suspected = e.suspected || t.Crash.Suspected
	p.giveUpCulprit(at, r)
}

// crash returns what a crash of a lost run's worker says of its task.
func (r *run) crash() job.Crash {
	return job.Crash{
		Instance: r.host.instance(), From: r.loss.survived, Until: r.loss.until, Suspect: r.loss.youngest,
		Certain: r.loss.certain, Alone: r.loss.onProbation,
	}
}

// giveUpCulprit gives up the job of a lost run's task if the task crashes workers.
func (p *Pool) giveUpCulprit(at Moment, r *run) {
	t, e := r.task, r.job
	if !r.showsCulprit() || e.job.State.Ended() {
		return
	}
	for _, instance := range t.Crash.Instances {
		delete(p.instanceCrashes, instance)
	}
	p.config.Observer.GivenUp(&e.job.Spec, t)
	e.job.GiveUp(at.Wall)
	p.endJob(at, e)
}

// showsCulprit reports whether the loss of a run's worker shows that its task crashes workers. Presumed crashes add to the
// others, but never replace those that have to be certain.
func (r *run) showsCulprit() bool {
	c := &r.task.Crash
	if c.Certain < certainCrashes {
		return r.showsUnseenCulprit()
	}
	if !r.step.LongRunning && c.Total() >= crashLimit {
		return true
	}
	return r.loss.onProbation && r.loss.youngest && c.Strikes >= r.strikeLimit()
}

// showsUnseenCulprit reports whether a task crashes its workers before any answer shows its runs: several have crashed right after
// its start was sent, or at ages that are not known, and all but the first had no other task.
func (r *run) showsUnseenCulprit() bool {
	c := &r.task.Crash
	prompt := r.loss.youngest && c.Prompt()
	switch {
	case !r.loss.onProbation || r.loss.accompanied:
		return false
	case r.step.LongRunning:
		return prompt && c.Crashes >= longRunningStrikeLimit && c.Strikes >= longRunningStrikeLimit-1
	case prompt && c.Total() >= unseenCrashLimit && c.Strikes >= doubtfulStrikeLimit:
		return true
	}
	return c.Crashes >= crashLimit && c.Strikes >= strikeLimit
}

func (r *run) strikeLimit() int {
	switch {
	case r.step.LongRunning:
		return longRunningStrikeLimit
	case r.loss.accompanied && !r.task.Crash.Prompt():
		return accompaniedStrikeLimit
	case r.loss.accompanied, r.task.Crash.Uncertain > 0, !r.task.Crash.Prompt() && (r.loss.cause == Silent || r.loss.again):
		return doubtfulStrikeLimit
	}
	return strikeLimit
}

// startProbation puts a run on probation if its task is suspected.
func (r *run) startProbation() {
	if !r.task.Crash.Suspected {
		return
	}
	r.onProbation = true
	r.host.onProbation++
}

func (r *run) endProbation() {
	if !r.onProbation {
		return
	}
	r.onProbation = false
	r.host.onProbation--
}

// updateProbation clears the tasks whose runs have grown older than those under which workers crashed, and ends the
// probation of these runs, as the worker's newest answer shows.
func (p *Pool) updateProbation(h *host) {
	for _, r := range h.runs {
		if r.shownAt == 0 || r.orphaned || r.task.Crash.Crashes == 0 && !r.task.Crash.Suspected {
			continue
		}
		age := h.survived(r)
		if r.task.Crash.Outlive(age) {
			p.touch(r.job)
			r.cleared = r.onProbation
			r.endProbation()
		}
		if age > maxProbation {
			r.endProbation()
		}
	}
}

// recordInstanceCrash remembers the crash of an instance's worker and reports whether another one has crashed there
// recently.
func (p *Pool) recordInstanceCrash(at Moment, h *host) (again bool) {
	again = p.hasCrashedRecently(at, h)
	p.instanceCrashes[h.instance()] = at.Steady
	return again
}

func (p *Pool) hasCrashedRecently(at Moment, h *host) bool {
	crashed, ok := p.instanceCrashes[h.instance()]
	return ok && at.Steady-crashed < faultWindow
}

// instance returns the name of the worker's instance, or the worker's id if that is unknown.
func (h *host) instance() string {
	if h.info.Instance != "" {
		return h.info.Instance
	}
	return h.info.ID
}
