package pool

import (
	"sync/atomic"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// phase is the state of a run as known to the owner.
type phase int

const (
	storing       phase = iota // not yet stored in the log, or stored but not sent: no order was sent
	sending                    // the start order is outstanding
	running                    // the worker has confirmed it
	indeterminate              // outcome unknown: it may run, or may yet start
	stopping                   // a stop is sent repeatedly until the worker answers
	stopped                    // the worker has confirmed the stop but not yet reported the end
)

// run is one run of a task that exists or may exist.
type run struct {
	id              worker.Run
	task            *job.Task
	job             *entry
	step            *job.Step
	host            *host
	phase           phase
	need            catalog.Resources
	limit           catalog.Resources // upper limit of its team when it was placed
	settled         time.Duration     // polls sent at or after this steady time prove that the run is absent if they do not show it
	began           time.Duration     // steady time of its confirmation, or inheritedStart
	stopSent        bool              // a stop order is outstanding
	isLate          bool              // it is being stopped only since its start may still be carried out
	revoked         *atomic.Bool      // set when it is stopped, for a start that is decided and not yet sent
	orphaned        bool              // unexpected: its task has another run or is done
	percent         int               // speed in percent, as last reported
	orderedPercent  int               // ordered speed in percent
	overTargetSince time.Duration     // steady time since which its latency is over the target, 0 if it is not
	shownAt         time.Duration     // the worker's clock when its answer first showed the run, 0 if none has
	startedAt       time.Duration     // the worker's clock in its answer to the start, 0 without that answer
	runningAt       time.Duration     // the worker's clock in its newest report that shows the run
	checkpointed    bool              // it resumes from a checkpoint, so it runs for less than its task takes
	cleared         bool              // its task was suspected until the run had lasted for long enough
	onProbation     bool              // its task is suspected, and it has not yet run for long enough
	inheritedLeave  time.Duration     // steady time since which it is known that an earlier owner may have ordered its stop, 0 if none
	loss            *loss             // set once its worker's incarnation has ended or is out of reach

	stepTimes               // times of its step
	chosen    time.Duration // steady time at which its worker was chosen
	ordered   time.Duration // steady time at which it was stored and its order was sent
}

func (p *Pool) runOf(t *job.Task) *run {
	h, ok := p.workers[t.Worker]
	if !ok {
		return nil
	}
	return h.runs[worker.Run{Task: t.Name, Number: t.Run}]
}

func needOf(s *job.Step) catalog.Resources {
	need := catalog.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// place creates a run on a worker. Its order is sent once the run is stored.
func (p *Pool) place(at Moment, e *entry, t *job.Task, h *host) *run {
	e.job.Start(t, h.incarnation(), h.hasUsualLease(at))
	if !t.Crash.Empty() {
		t.Crash.Newest = h.incarnation()
	}
	r := p.attach(e, t, h)
	r.phase = storing
	r.limit = p.team(e.job.Spec.Team).limit
	h.probed = h.probing
	r.stepTimes, r.chosen = e.stepTimesOf(at, t.Name.Occurrence, t.Name.Step), at.Steady
	p.unstored = append(p.unstored, r)
	p.touch(e)
	p.config.Observer.Placed(&e.job.Spec, t.Name, t.Run, h.info.ID, at.Steady-e.arrived)
	return r
}

// attach adds the latest run of a task to a worker's run table and reserves its resources.
func (p *Pool) attach(e *entry, t *job.Task, h *host) *run {
	step := &e.job.Spec.Steps[t.Name.Step]
	r := &run{
		id: worker.Run{Task: t.Name, Number: t.Run}, task: t, job: e, step: step, host: h, need: needOf(step), orderedPercent: 100,
	}
	h.runs[r.id] = r
	r.startProbation()
	h.used = h.used.Add(r.need)
	tm := p.team(e.job.Spec.Team)
	tm.used = tm.used.Add(fullNeed(step))
	return r
}

// release removes a run from its worker's run table and frees its resources.
func (p *Pool) release(r *run) {
	r.endProbation()
	delete(r.host.runs, r.id)
	r.host.used = r.host.used.Sub(r.need)
	tm := p.team(r.job.job.Spec.Team)
	tm.used = tm.used.Sub(fullNeed(r.step))
	if r.task.Run == r.id.Number {
		r.task.Worker = ""
		r.task.Leaving = false
	}
}

// find returns a run in a worker's run table, or nil.
func (p *Pool) find(name string, id worker.Run) *run {
	h, ok := p.workers[name]
	if !ok {
		return nil
	}
	return h.runs[id]
}

// ended applies the end of a run.
func (p *Pool) ended(at Moment, r *run, end worker.End, cause Cause) {
	t, e := r.task, r.job
	described := describeEnd(r, end, cause)
	p.release(r)
	if r.orphaned {
		if current := e.job.Task(r.id.Task); current != nil {
			current.Strays--
		}
		if end.Outcome == worker.Done {
			p.finishLate(at, r.host.info.ID, end)
		}
		return
	}
	p.touch(e)
	current := !t.Done && t.Run == r.id.Number
	if current {
		p.recordLostRun(at, r, described.Cause)
	}
	described.Crashes = t.Crash.Total()
	if cause == Reported {
		described.Took = r.took()
	}
	p.config.Observer.Ended(&e.job.Spec, described)
	p.learn(at, r, end.Outcome, described.Took)
	if !current {
		return
	}
	if end.Checkpoint != "" {
		p.save(e, t, end.Checkpoint)
	}
	switch end.Outcome {
	case worker.Done:
		if !r.step.LongRunning {
			p.finish(at, e, t)
		}
	case worker.Failed:
		p.fail(at, e, t)
	case worker.Lost, worker.Stopped, worker.Expired, worker.GangMemberEnded, worker.GangIncomplete:
	}
}

// fail counts a failed run of a task, which may fail its job.
func (p *Pool) fail(at Moment, e *entry, t *job.Task) {
	wasOver := e.job.State.Ended()
	e.job.Fail(t, at.Wall)
	if e.job.State.Ended() && !wasOver {
		p.endJob(at, e)
	}
}

func (p *Pool) finish(at Moment, e *entry, t *job.Task) {
	wasOver := e.job.State.Ended()
	e.job.Finish(t, at.Wall)
	e.ready = at.Steady
	if e.job.State.Ended() && !wasOver {
		p.endJob(at, e)
	}
}

// save keeps the newest checkpoint of a task, or of all members of a gang.
func (p *Pool) save(e *entry, t *job.Task, checkpoint string) {
	t.Checkpoint = checkpoint
	if !e.job.Spec.Steps[t.Name.Step].Gang {
		return
	}
	for _, o := range e.job.Occurrences {
		if o.Number != t.Name.Occurrence {
			continue
		}
		for i := range o.Steps[t.Name.Step] {
			o.Steps[t.Name.Step][i].Checkpoint = checkpoint
		}
	}
}
