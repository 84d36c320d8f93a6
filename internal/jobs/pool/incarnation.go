package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// clockSetback is how far a worker's clock has to go back to indicate a new incarnation. Delayed answers show a smaller
// setback.
const clockSetback = 3 * time.Second

// updateClock records the clock reading of a worker's answer. It reports false if the answer came from an earlier
// incarnation.
func (p *Pool) updateClock(at Moment, h *host, a worker.Reply) bool {
	if !p.updateIncarnation(at, h, a.StartedAt) {
		return false
	}
	if a.Clock <= 0 {
		return true
	}
	if a.Clock+clockSetback < h.clock {
		p.resetIncarnation(at, h, time.Time{})
	}
	h.clock, h.clockAt = a.Clock, at.Steady
	h.newestClock = max(h.newestClock, a.Clock)
	h.silentSince, h.unanswered = 0, 0
	p.retractLosses(h)
	return true
}

// updateIncarnation records the start time of a worker's incarnation and reports whether that is the newest known
// incarnation.
func (p *Pool) updateIncarnation(at Moment, h *host, startedAt time.Time) bool {
	if startedAt.IsZero() || startedAt.Equal(h.startedAt) {
		return true
	}
	if startedAt.Before(h.startedAt) {
		return false
	}
	if !h.startedAt.IsZero() {
		p.resetIncarnation(at, h, startedAt)
	}
	h.startedAt = startedAt
	return true
}

// incarnation returns the newest known incarnation of a worker.
func (h *host) incarnation() job.Incarnation {
	return job.Incarnation{Worker: h.info.ID, Instance: h.info.Instance, StartedAt: h.startedAt}
}

// hasCurrentInfo reports whether a worker's catalog entry describes its newest incarnation, whose capacity and labels
// may differ from those of the one before.
func (h *host) hasCurrentInfo() bool {
	return h.info.StartedAt.IsZero() || !h.info.StartedAt.Before(h.startedAt)
}

// Restart describes a worker that has started again under its id.
type Restart struct {
	Worker        string
	Before, After time.Time // start of the known incarnation and of the newer one, zero if unknown
	Runs          int       // runs that the worker had or may have had
	Unanswered    int       // orders that have no answer yet, which either incarnation may carry out
}

// restart returns what an owner knows of a worker that has started again.
func (h *host) restart(startedAt time.Time) Restart {
	r := Restart{Worker: h.info.ID, Before: h.startedAt, After: startedAt, Runs: len(h.runs)}
	for _, outstanding := range []bool{h.polling, h.urgentPolling} {
		if outstanding {
			r.Unanswered++
		}
	}
	for _, run := range h.runs {
		if run.phase == sending || run.stopSent {
			r.Unanswered++
		}
	}
	return r
}

// resetIncarnation resets the state that belongs to an earlier incarnation of the same worker id; startedAt is zero if the start
// of the newer one is not known. It ends no run: an order may have reached either incarnation, and a poll of the new one shows
// which runs it has.
func (p *Pool) resetIncarnation(at Moment, h *host, startedAt time.Time) {
	p.config.Observer.WorkerRestarted(h.restart(startedAt))
	p.outliers.Forget(h.info.ID)
	h.refusedUntil = 0
	p.recordLoss(at, h, h.lossCause(), LaterUnderID)
	p.closeLosses(at, h, h.lossCause(), LaterUnderID)
	for _, r := range h.runs {
		r.startedAt = 0 // by the clock of the earlier incarnation
		if r.phase == stopped {
			// The stop that the earlier incarnation confirmed does not prevent the run from starting on the new one.
			r.phase, r.stopSent = stopping, false
		}
	}
	h.orphans = nil
	h.lastEnd, h.storedEnd, h.ackedEnd = 0, 0, 0
	h.clock, h.clockAt, h.newestClock = 0, at.Steady, 0
	p.fenceOffStaleCalls(at, h)
	h.answered, h.incarnationConfirmed, h.retired, h.ended = false, false, false, false
	h.polling, h.urgentPolling, h.unresponsive = false, false, false
	h.silentSince, h.unanswered, h.pollDue, h.urgentDue = 0, 0, 0, 0
	h.firstSeen, h.nextPoll = at.Steady, at.Steady
}

// endWorker ends all runs of a worker that no longer exists and marks it as ended.
func (p *Pool) endWorker(at Moment, h *host, proof Proof) {
	p.config.Observer.WorkerChanged(h.info.ID, "is over")
	p.loseRuns(at, h, proof)
	h.ended = true
	h.leaseEnd = 0
	h.storedEnd, h.ackedEnd = 0, 0
}

// handleOtherIncarnation handles an answer from another worker at the address of an order that was sent at the given time. It ends
// the intended worker unless that one has a different address by now. Starts since then did not reach it, so its end says nothing
// of their tasks.
func (p *Pool) handleOtherIncarnation(at Moment, h *host, to worker.Target, sent time.Duration) {
	if to.Address != h.info.Address {
		return
	}
	for _, r := range h.runs {
		if r.phase == sending && r.ordered >= sent {
			p.endRefused(at, r)
		}
	}
	p.endWorker(at, h, OtherAtAddress)
}

// loseRuns ends every run of a worker as lost.
func (p *Pool) loseRuns(at Moment, h *host, proof Proof) {
	h.orphans = nil
	p.recordLoss(at, h, h.lossCause(), proof)
	p.closeLosses(at, h, h.lossCause(), proof)
	for _, r := range h.runs {
		p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost}, Absent)
	}
}

// endSuperseded ends workers whose instances now run a worker that was started later.
func (p *Pool) endSuperseded(at Moment, list []catalog.Worker) {
	newest := map[string]catalog.Worker{}
	for _, w := range list {
		if w.Instance != "" && w.StartedAt.After(newest[w.Instance].StartedAt) {
			newest[w.Instance] = w
		}
	}
	for name, h := range p.workers {
		later, ok := newest[h.info.Instance]
		if ok && later.ID != name && later.StartedAt.After(h.startedAt) && !h.ended {
			p.endWorker(at, h, LaterOnInstance)
		}
	}
}
