package pool

import (
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Intervals and limits for polling a worker.
const (
	maxPollWait         = time.Second            // longest time a poll waits for the end of a run, well below a lease
	pollGap             = 110 * time.Millisecond // after a poll that reported new ends, so that several are reported together
	maxPollsPerSecond   = 900                    // rate per owner, which lengthens pollGap in large pools
	unresponsivePollGap = 250 * time.Millisecond // between polls of a worker that does not answer
	maxBackoffDoublings = 3                      // doublings of unresponsivePollGap for a worker without runs
	fencedPollGap       = time.Second            // after a poll that was refused because of a higher fence
	clockMaxAge         = time.Minute            // age after which the clock of an idle worker is read again
	maxReportedEnds     = 500                    // ends in a full report; the worker may have more
	answerTime          = 50 * time.Millisecond  // that a worker needs to answer a call
	probationPollGap    = 100 * time.Millisecond // between polls of a worker with a run on probation
)

// Tick issues the polls and repeated stops that are due and ends runs whose lease has certainly expired.
func (p *Pool) Tick(at Moment) {
	p.recordTick(at)
	p.expireCordons(at)
	p.expireAllocations(at)
	for name, h := range p.workers {
		p.expireRuns(at, h)
		p.recordUsualLease(at, h)
		p.updateOpenLosses(at, h)
		if !h.listed && len(h.runs)+len(h.open.runs) == 0 && h.storedEnd <= h.ackedEnd {
			delete(p.workers, name)
			continue
		}
		p.repeatStops(h)
		p.poll(at, h)
	}
	p.dropExpired(at)
}

// expireRuns ends the runs of a worker whose lease has certainly expired.
func (p *Pool) expireRuns(at Moment, h *host) {
	if len(h.runs)+len(h.orphans) == 0 || at.Steady <= h.leaseEnd {
		return
	}
	cause := p.expiryCause(h)
	p.recordLoss(at, h, cause, LeaseExpired)
	for _, r := range h.runs {
		if cause == Silent && r.awaitsVerdict(at) || p.awaitsReport(at, r) {
			continue
		}
		if r.phase != storing {
			p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Expired}, cause)
		}
	}
	h.orphans = nil
}

func (p *Pool) repeatStops(h *host) {
	if h.unresponsive {
		return
	}
	for _, r := range h.runs {
		if r.phase == stopping {
			p.sendStop(r)
		}
	}
}

func (p *Pool) poll(at Moment, h *host) {
	if h.ended || !h.info.Address.IsValid() || at.Steady < h.nextPoll {
		return
	}
	urgent := h.needsUrgentPoll(at)
	if h.polling && (h.urgentPolling || !urgent || h.unresponsive) {
		return
	}
	busy := len(h.runs)+len(h.orphans) > 0
	if h.retired && !busy {
		return
	}
	needsAnswer := h.listed && (h.unresponsive || !h.answered || h.canSettle() || at.Steady-h.clockAt > clockMaxAge)
	if !busy && h.storedEnd <= h.ackedEnd && !needsAnswer {
		return
	}
	renewal := worker.LeaseRenewal{Fence: h.fence}
	if h.incarnationConfirmed && h.storedEnd > h.ackedEnd {
		// In another incarnation, the same number belongs to another end.
		renewal.Acked = h.storedEnd
		h.incarnationConfirmed = false
	}
	if busy && h.answered && !h.unresponsive {
		renewal.Until = h.leaseUntil(at.Steady, p.config.Lease)
		h.extendLease(at.Steady, p.config.Lease)
		if !urgent {
			renewal.Wait = maxPollWait
		}
	}
	a := PollAction{To: p.patientTarget(at, h), Renewal: renewal, Urgent: h.polling, Sent: at.Steady}
	if h.polling {
		h.urgentPolling, h.urgentDue = true, a.due()
	} else {
		h.polling, h.pollDue = true, a.due()
	}
	p.actions = append(p.actions, a)
}

// needsUrgentPoll reports whether a worker is to be polled without waiting for the end of a run.
func (h *host) needsUrgentPoll(at Moment) bool {
	return h.hasIndeterminateRun() || h.onProbation > 0 && at.Steady-h.lastPollSent >= probationPollGap
}

// due returns when a poll has to be answered.
func (a PollAction) due() time.Duration { return a.Sent + a.Renewal.Wait + answerTime }

// hasIndeterminateRun reports whether a worker has runs that an immediate poll would resolve: no poll sent after
// their order was answered or abandoned has been answered yet.
func (h *host) hasIndeterminateRun() bool {
	for _, r := range h.runs {
		if (r.phase == indeterminate || r.phase == stopped) && r.settled >= h.lastPollSent {
			return true
		}
	}
	return false
}

// RecordPoll handles the result of a PollAction.
func (p *Pool) RecordPoll(at Moment, a PollAction, report worker.Report, err error) {
	h, ok := p.workers[a.To.ID]
	if !ok {
		return
	}
	current := a.Sent >= h.firstSeen // sent after the newest incarnation was first seen
	switch {
	case !current:
	case a.Urgent:
		h.urgentPolling, h.urgentDue = false, 0
	default:
		h.polling, h.pollDue = false, 0
	}
	if err != nil {
		if current {
			p.handlePollError(at, h, a, err)
		}
		return
	}
	if !p.updateIncarnation(at, h, report.StartedAt) {
		return
	}
	p.updateClock(at, h, report.Reply)
	p.settle(at, h, a.Renewal.Fence, report.Clock)
	h.unresponsive = false
	h.missedPolls = 0
	h.answered = true
	if a.Sent >= h.firstSeen {
		h.ackedEnd = max(h.ackedEnd, a.Renewal.Acked)
		h.incarnationConfirmed = true
	}
	h.lastPollSent = max(h.lastPollSent, a.Sent)
	h.nextPoll = at.Steady
	if p.applyEnds(at, h, report.Ended) {
		h.nextPoll = at.Steady + max(pollGap, time.Duration(len(p.workers))*time.Second/maxPollsPerSecond)
	}
	present := p.applyRunning(at, h, report.Running)
	p.updateProbation(h)
	if len(report.Ended) < maxReportedEnds {
		p.resolveMissing(at, h, a.Sent, present)
	}
}

// handlePollError handles a poll that was not answered or was refused.
func (p *Pool) handlePollError(at Moment, h *host, a PollAction, err error) {
	var refused worker.RefusedError
	var other worker.IncarnationEndedError
	h.incarnationConfirmed = false
	switch {
	case errors.As(err, &other):
		p.handleOtherIncarnation(at, h, a.To, a.Sent)
	case errors.As(err, &refused):
		p.updateClock(at, h, refused.Reply)
		h.unresponsive = true
		h.nextPoll = at.Steady + fencedPollGap
		p.config.Observer.WorkerChanged(h.info.ID, "refused a look")
	default:
		p.recordUnanswered(at, h, a.due())
		h.unanswered++
		if !h.unresponsive {
			p.config.Observer.WorkerChanged(h.info.ID, "does not answer")
		}
		h.unresponsive = true
		h.nextPoll = at.Steady + unresponsivePollGap
		if len(h.runs) == 0 {
			h.nextPoll = at.Steady + unresponsivePollGap<<min(h.missedPolls, maxBackoffDoublings)
			h.missedPolls++
		}
	}
}

// applyEnds applies ends that were not applied before and reports whether there were any.
func (p *Pool) applyEnds(at Moment, h *host, ends []worker.End) bool {
	fresh := false
	for _, end := range ends {
		if end.Number <= h.lastEnd {
			continue
		}
		h.lastEnd = end.Number
		fresh = true
		if r := h.runs[end.Run]; r != nil {
			p.ended(at, r, end, Reported)
		} else if end.Outcome == worker.Done {
			p.finishLate(at, h.info.ID, end)
		}
	}
	return fresh
}

// finishLate applies the successful end of a run that was abandoned as lost. The task is done, and another run would do
// its work twice.
func (p *Pool) finishLate(at Moment, name string, end worker.End) {
	e, ok := p.jobs[end.Task.Job]
	if !ok {
		return
	}
	t := e.job.Task(end.Task)
	if t == nil || t.Done || e.job.Spec.Steps[end.Task.Step].LongRunning {
		return
	}
	p.config.Observer.Unexpected(t, end.Run.Number, name, "has ended done")
	p.stopTask(at, t)
	p.touch(e)
	p.finish(at, e, t)
}

// applyRunning confirms the runs that a worker reports and stops those that this owner does not expect.
func (p *Pool) applyRunning(at Moment, h *host, list []worker.Running) id.Set[worker.Run] {
	present := id.Set[worker.Run]{}
	h.orphans = id.Set[worker.Run]{}
	for _, reported := range list {
		present.Add(reported.Run)
		r := h.runs[reported.Run]
		if r == nil {
			p.stopOrphan(at, h, reported.Run)
			continue
		}
		p.recordShown(r)
		r.adopt()
		p.confirm(at, r)
		r.runningAt = h.clock
		r.percent = reported.Percent
		if reported.Checkpoint != "" && !r.orphaned {
			p.save(r.job, r.task, reported.Checkpoint)
		}
		p.recordLatency(at, r, reported)
	}
	return present
}

// stopOrphan stops an unexpected run, such as one of a task that has ended elsewhere. The run counts as used capacity
// until it has ended.
func (p *Pool) stopOrphan(at Moment, h *host, id worker.Run) {
	// An earlier owner may just have renewed its lease.
	h.extendLease(at.Steady, p.longestLease())
	e, known := p.jobs[id.Task.Job]
	var t *job.Task
	if known {
		t = e.taskOf(id.Task)
	}
	if t == nil {
		h.orphans.Add(id)
		p.actions = append(p.actions, StopAction{To: h.target(), Run: id, Fence: h.fence})
		return
	}
	p.config.Observer.Unexpected(t, id.Number, h.info.ID, "is there")
	t.Strays++
	r := p.attach(e, &job.Task{Name: id.Task, Run: id.Number, Worker: h.info.ID}, h)
	r.orphaned = true
	r.phase = indeterminate
	p.stop(at, r)
}

// resolveMissing resolves the runs that are missing in the answer to a poll sent at the given time.
func (p *Pool) resolveMissing(at Moment, h *host, sent time.Duration, present id.Set[worker.Run]) {
	for _, r := range h.runs {
		if present.Has(r.id) || r.settled > sent {
			continue
		}
		switch r.phase {
		case running, stopped:
			p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost}, Absent)
		case indeterminate:
			if r.began == inheritedStart {
				// The worker has seen a higher fence by now, so it will refuse the earlier owner's order.
				p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost}, Absent)
				continue
			}
			p.stop(at, r)
			r.isLate = true
		case storing, sending, stopping:
		}
	}
}
