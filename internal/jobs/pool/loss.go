package pool

import (
	"math"
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Cause tells how an owner has learned that a run is over.
type Cause int

// Causes of the end of a run, as far as the owner can tell.
const (
	Reported  Cause = iota // the worker listed the end
	Refused                // the worker refused the start, so the run never existed
	NotSent                // the start was not sent, so the run never existed
	Absent                 // the worker does not have the run, and its incarnation is still the one that the order went to
	Crashed                // the worker's incarnation ended without notice
	Left                   // the worker's incarnation ended after a notice or by an order
	Silent                 // the worker answered no call until its lease had expired: it may have crashed, or may be cut off and live on
	Unrenewed              // the owner did not renew the lease in time, though the worker may be well
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"reported", "refused", "unsent", "absent", "crashed", "left", "silent", "unrenewed"}[c]
}

// Proof tells how an owner has learned that a worker's incarnation has ended or is out of reach.
type Proof int

// Proofs of the end of a worker's incarnation.
const (
	NoProof         Proof = iota
	LeaseExpired          // its lease has expired
	LaterUnderID          // a later incarnation answers under its id
	OtherAtAddress        // another worker answers at its address
	LaterOnInstance       // a later worker is listed on its instance
	NotOnInstance         // the instance service lists its instance without it
)

// String returns the proof's name.
func (p Proof) String() string {
	return [...]string{"none", "lease", "later under its id", "other at its address", "later on its instance", "not on its instance"}[p]
}

// Limits for the silence of a worker that may be a crash.
const (
	silentCalls   = 3 // unanswered polls in a row; fewer may be a pause of the owner
	silentWorkers = 3 // that may have fallen silent at one moment; more are a fault of the network
)

// RunEnd describes the end of a run for logs and metrics.
type RunEnd struct {
	Task     job.Name
	Run      int
	Worker   string
	Outcome  worker.Outcome
	Cause    Cause
	Proof    Proof         // of the end of the worker's incarnation, for a lost run
	Shown    bool          // an answer of the worker has shown the run, to this owner or to an earlier one
	Survived time.Duration // for how long the worker is known to have had the run
	Until    time.Duration // age at which a lost run was certainly over
	Suspect  bool          // a lost run that was among those that had started last on its worker
	Beside   int           // runs that were lost with the same worker
	Took     time.Duration // from the worker's answer to its start until the worker reported its end, by the worker's clock; 0 if unknown
	Crashes  int           // workers that have crashed or fallen silent under the task
}

// loss is what the owner knows of a run whose worker's incarnation has ended or is out of reach.
type loss struct {
	cause       Cause
	proof       Proof
	survived    time.Duration // see RunEnd
	until       time.Duration // see RunEnd
	beside      int           // see RunEnd
	youngest    bool          // no run on the worker was clearly younger
	onProbation bool          // the run was on probation
	accompanied bool          // runs of other jobs, not cleared by a probation, were on the worker
	certain     bool          // an answer of the worker has shown the run, to this owner or to an earlier one
	again       bool          // an earlier worker of the same instance had crashed shortly before
}

// recordShown records that an answer of the worker's newest incarnation shows the run. A later owner learns it of the
// tasks under which workers have crashed.
func (p *Pool) recordShown(r *run) {
	if r.shownAt == 0 || r.loss != nil {
		r.shownAt, r.loss = r.host.newestClock, nil
	}
	if c := &r.task.Crash; !c.Empty() && c.Shown != r.id.Number && !r.orphaned {
		c.Shown = r.id.Number
		p.touch(r.job)
	}
}

// wasOnWorker reports whether an answer of the worker has shown the run, to this owner or to an earlier one.
func (r *run) wasOnWorker() bool { return r.shownAt > 0 || r.task.Crash.Shown == r.id.Number }

// isSeen reports whether this owner has ordered the run or seen it on its worker.
func (r *run) isSeen() bool { return r.ordered > 0 || r.shownAt > 0 }

// survived returns for how long, by the worker's clock, its answers show that it had a run.
func (h *host) survived(r *run) time.Duration {
	if r.shownAt == 0 {
		return 0
	}
	return max(0, h.newestClock-r.shownAt)
}

// recordOverdue records the outstanding calls that the worker should have answered by now.
func (p *Pool) recordOverdue(at Moment, h *host) {
	due := []time.Duration{h.pollDue, h.urgentDue}
	for _, r := range h.runs {
		if r.phase == sending {
			due = append(due, r.ordered+answerTime)
		}
	}
	for _, by := range due {
		if by > 0 && by <= at.Steady {
			p.recordUnanswered(at, h, by)
		}
	}
}

// ageAtSilence returns how old a run can have been when its worker stopped answering. It returns job.UnknownAge if an
// earlier owner ordered the run.
func (h *host) ageAtSilence(at Moment, r *run) time.Duration {
	if r.ordered == 0 {
		return job.UnknownAge
	}
	if h.silentSince == 0 {
		return at.Steady - r.ordered
	}
	return max(0, h.silentSince-r.ordered)
}

// lossCause returns why a worker's incarnation has ended.
func (h *host) lossCause() Cause {
	if h.info.Draining || h.retired {
		return Left
	}
	return Crashed
}

// expiryCause returns why a worker's lease has expired.
func (p *Pool) expiryCause(h *host) Cause {
	if !h.listed {
		if h.lossCause() == Left {
			return Left
		}
		return Silent
	}
	if h.unanswered < silentCalls {
		return Unrenewed
	}
	together := 0
	for _, other := range p.workers {
		if other.unanswered > 0 && other.clockAt <= h.silentSince && h.clockAt <= other.silentSince {
			together++
		}
	}
	if together > silentWorkers {
		return Unrenewed
	}
	return Silent
}

// recordLoss records for each run that was sent to a worker's incarnation that this incarnation has ended or is out of
// reach. It ends no run.
func (p *Pool) recordLoss(at Moment, h *host, cause Cause, proof Proof) {
	p.recordOverdue(at, h)
	var lost []*run
	for _, r := range h.runs {
		if r.loss != nil && r.loss.cause == Silent {
			r.loss.cause, r.loss.proof = cause, proof
		}
		if r.phase != storing && r.loss == nil {
			lost = append(lost, r)
		}
	}
	p.addLosses(at, h, lost, cause, proof)
}

// addLosses records the losses of runs that were on the same incarnation of a worker.
func (p *Pool) addLosses(at Moment, h *host, lost []*run, cause Cause, proof Proof) {
	if len(lost) == 0 {
		return
	}
	youngest := time.Duration(math.MaxInt64)
	for _, r := range lost {
		if r.isSeen() {
			youngest = min(youngest, h.survived(r))
		}
	}
	again := cause == Crashed && p.recordInstanceCrash(at, h)
	for _, r := range lost {
		survived := h.survived(r)
		accompanied := slices.ContainsFunc(lost, func(other *run) bool { return other.job != r.job && !other.cleared })
		r.loss = &loss{
			cause: cause, proof: proof, survived: survived, until: max(survived, h.ageAtSilence(at, r)), beside: len(lost) - 1,
			youngest: r.isSeen() && survived-youngest <= suspectWindow, onProbation: r.onProbation, accompanied: accompanied, certain: r.wasOnWorker(), again: again,
		}
	}
}

// describeEnd returns what the owner knows of the end of a run. A run that the worker does not have may have been lost
// with an earlier incarnation.
func describeEnd(r *run, end worker.End, cause Cause) RunEnd {
	d := RunEnd{
		Task: r.id.Task, Run: r.id.Number, Worker: r.host.info.ID, Outcome: end.Outcome, Cause: cause, Shown: r.wasOnWorker(), Survived: r.host.survived(r),
	}
	if cause != Reported && cause != Refused && cause != NotSent && r.loss != nil {
		d.Proof, d.Shown = r.loss.proof, r.loss.certain
		d.Cause, d.Survived, d.Until, d.Beside, d.Suspect = r.loss.cause, r.loss.survived, r.loss.until, r.loss.beside, r.loss.youngest
	}
	return d
}
