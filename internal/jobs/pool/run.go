package pool

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

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
	settled         time.Duration // polls sent at or after this steady time prove that the run is absent if they do not show it
	began           time.Duration // steady time of its confirmation, or inheritedStart
	stopSent        bool          // a stop order is outstanding
	revoked         *atomic.Bool  // set when it is stopped, for a start that is decided and not yet sent
	orphaned        bool          // unexpected: its task has another run or is done
	percent         int           // speed in percent, as last reported
	orderedPercent  int           // ordered speed in percent
	overTargetSince time.Duration // steady time since which its latency is over the target, 0 if it is not
	shownAt         time.Duration // the worker's clock when its answer first showed the run, 0 if none has
	cleared         bool          // its task was suspected until the run had lasted for long enough
	onProbation     bool          // its task is suspected, and it has not yet run for long enough
	loss            *loss         // set once its worker's incarnation has ended or is out of reach

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
	e.job.Start(t, h.info.ID)
	if !t.Crash.Empty() {
		t.Crash.Newest = h.incarnation()
	}
	r := p.attach(e, t, h)
	r.phase = storing
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

// send orders the start of a stored run, or drops the run if its job has ended or its worker must not get it any more.
func (p *Pool) send(at Moment, r *run) {
	if !p.isUnsent(r) {
		return
	}
	if r.job.job.State.Ended() || !p.mayStillStart(r) {
		p.release(r)
		p.touch(r.job)
		return
	}
	h := r.host
	h.extendLease(at.Steady, p.config.Lease)
	r.phase = sending
	r.ordered, r.revoked = at.Steady, &atomic.Bool{}
	p.actions = append(p.actions, StartAction{To: h.target(), Decided: at.Steady, revoked: r.revoked, Start: worker.Start{
		Run: r.id, Payload: r.job.job.Spec.Payload, Until: h.leaseUntil(at.Steady, p.config.Lease),
		Fence: p.config.Fence, Checkpoint: r.task.Checkpoint, Ticket: p.ticketOf(r),
	}})
}

// isUnsent reports whether a run exists and no order was sent for it.
func (p *Pool) isUnsent(r *run) bool { return r.phase == storing && p.find(r.host.info.ID, r.id) == r }

// mayStillStart reports whether what has become known of a worker since a run was placed there allows its start.
func (p *Pool) mayStillStart(r *run) bool {
	h := r.host
	return !h.ended && !h.retired && !h.cordoned && !h.unresponsive && !h.info.Draining && !p.evacuated.Has(h.info.DataCentre) &&
		h.info.Capacity.Covers(h.used)
}

// find returns a run in a worker's run table, or nil.
func (p *Pool) find(name string, id worker.Run) *run {
	h, ok := p.workers[name]
	if !ok {
		return nil
	}
	return h.runs[id]
}

// RecordStart handles the outcome of a StartAction.
func (p *Pool) RecordStart(at Moment, a StartAction, reply worker.Reply, err error) {
	r := p.find(a.To.ID, a.Start.Run)
	if r == nil {
		return
	}
	h := r.host
	var refused worker.RefusedError
	var other worker.IncarnationEndedError
	var notSent worker.NotSentError
	switch {
	case err == nil:
		if p.updateClock(at, h, reply) {
			p.recordShown(r)
		}
		h.unresponsive = false
		p.confirm(at, r)
	case errors.As(err, &refused):
		p.updateClock(at, h, refused.Reply)
		p.handleRefusal(at, r, refused.Reason)
	case errors.As(err, &notSent):
		p.handleNotSent(at, r)
	case errors.As(err, &other):
		p.handleOtherIncarnation(at, h, a.To)
		if p.find(a.To.ID, a.Start.Run) == r {
			p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost}, Absent)
		}
	default:
		h.unresponsive = true
		p.recordUnanswered(at, h, r.ordered+answerTime)
		r.settled = at.Steady
		if r.phase == sending {
			r.phase = indeterminate
		}
		h.nextPoll = at.Steady
	}
}

// confirm records that a worker has the run.
func (p *Pool) confirm(at Moment, r *run) {
	if r.phase == sending || r.phase == indeterminate {
		r.phase = running
		r.settled = at.Steady
		r.began = at.Steady
		r.job.job.Begun = true
		if r.id.Number == 1 && r.ordered > 0 {
			p.recordFirstStart(at, r)
		}
		if r.task.Leaving {
			p.stop(at, r) // an earlier owner may have ordered the stop already
		}
	}
}

// refusalBackoff is how long a worker gets no new work after it refused a start.
const refusalBackoff = 400 * time.Millisecond

// handleRefusal ends a run that a worker refused to start.
func (p *Pool) handleRefusal(at Moment, r *run, reason worker.Reason) {
	h := r.host
	if reason == worker.Fenced {
		// Another owner sends orders to this worker. If this owner has been replaced, its next write to the log will
		// fail.
		p.config.Observer.WorkerChanged(h.info.ID, "refused an order below its fence")
	}
	if reason != worker.Superseded {
		h.avoidUntil = at.Steady + refusalBackoff
		h.nextPoll = at.Steady
	}
	if reason == worker.NoTicket {
		p.dropTicket(r)
		h.avoidUntil = at.Steady
	}
	if reason == worker.Invalid {
		r.job.job.Fail(r.task, at.Wall)
	}
	p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost, Checkpoint: r.task.Checkpoint}, Refused)
}

// handleNotSent ends a run whose start was not sent. The other members of a gang are stopped, since they would wait for it.
func (p *Pool) handleNotSent(at Moment, r *run) {
	p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost, Checkpoint: r.task.Checkpoint}, NotSent)
	if r.step.Gang {
		p.stopGang(at, r)
	}
}

// stopGang stops all members of the gang of a run.
func (p *Pool) stopGang(at Moment, r *run) {
	for _, o := range r.job.job.Occurrences {
		if o.Number != r.id.Task.Occurrence {
			continue
		}
		tasks := o.Steps[r.id.Task.Step]
		for i := range tasks {
			p.stopTask(at, &tasks[i])
		}
	}
}

// stop ends a run that may exist.
func (p *Pool) stop(at Moment, r *run) {
	if r.revoked != nil {
		r.revoked.Store(true)
	}
	switch r.phase {
	case storing:
		p.dropUnsent(r)
		p.release(r)
		p.touch(r.job)
	case sending, running, indeterminate:
		r.phase = stopping
		p.sendStop(r)
		r.host.nextPoll = min(r.host.nextPoll, at.Steady)
	case stopping, stopped:
	}
}

// dropUnsent removes a run from those that wait until they are stored or sent.
func (p *Pool) dropUnsent(r *run) {
	isRun := func(other *run) bool { return other == r }
	p.unstored = slices.DeleteFunc(p.unstored, isRun)
	p.unsent = slices.DeleteFunc(p.unsent, isRun)
}

func (p *Pool) sendStop(r *run) {
	if r.stopSent {
		return
	}
	r.stopSent = true
	p.actions = append(p.actions, StopAction{To: r.host.target(), Run: r.id, Fence: p.config.Fence})
}

// RecordStop handles the outcome of a StopAction.
func (p *Pool) RecordStop(at Moment, a StopAction, reply worker.Reply, err error) {
	r := p.find(a.To.ID, a.Run)
	if r == nil {
		return
	}
	r.stopSent = false
	var refused worker.RefusedError
	var other worker.IncarnationEndedError
	switch {
	case err == nil:
		if !p.updateClock(at, r.host, reply) {
			return // the newest incarnation may still start the run
		}
		r.phase = stopped
		r.settled = at.Steady
		r.host.nextPoll = min(r.host.nextPoll, at.Steady)
	case errors.As(err, &other):
		p.handleOtherIncarnation(at, r.host, a.To)
	case errors.As(err, &refused):
		p.updateClock(at, r.host, refused.Reply)
	default:
		r.host.unresponsive = true
	}
}

// ended applies the end of a run.
func (p *Pool) ended(at Moment, r *run, end worker.End, cause Cause) {
	t, e := r.task, r.job
	described := describeEnd(r, end, cause)
	p.release(r)
	if r.orphaned {
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
	p.config.Observer.Ended(&e.job.Spec, described)
	p.learn(at, r, end.Outcome)
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
		wasOver := e.job.State.Ended()
		e.job.Fail(t, at.Wall)
		if e.job.State.Ended() && !wasOver {
			p.endJob(at, e)
		}
	case worker.Lost, worker.Stopped, worker.Expired, worker.GangMemberEnded, worker.GangIncomplete:
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
