package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// host is a worker, across all incarnations under one id, with the runs that it has or may have.
type host struct {
	info           catalog.Worker // newest catalog entry, which may describe an earlier incarnation
	startedAt      time.Time      // start of the newest known incarnation, zero if unknown
	firstSeen      time.Duration  // when that incarnation was first seen
	listed         bool           // has an entry in the workers' table
	cordoned       bool           // to be emptied now
	ended          bool           // no longer exists, though its entry may remain
	retired        bool           // an order moved or took down its instance, or may have
	retiredAt      time.Duration  // clock in the worker's entry at that time
	retiredBy      int64          // number of the newest such order
	drainScheduled bool           // to be emptied soon
	used           catalog.Resources
	runs           map[worker.Run]*run
	orphans        id.Set[worker.Run] // runs of jobs unknown to this owner; nothing new starts while there are any
	open           openLosses

	clock       time.Duration // worker's steady clock at clockAt
	clockAt     time.Duration
	newestClock time.Duration // highest reading of its clock in an answer of this incarnation
	leaseEnd    time.Duration // when all its runs have certainly expired unless renewed
	leased      bool          // this owner may have granted it a lease
	fence       int64         // sent with orders to the newest incarnation
	settled     bool          // the newest incarnation refuses calls for earlier ones
	settledBy   int64         // fence whose answer shows that
	staleUntil  time.Duration // steady time until which a lease of a stale call may last, 0 if none can exist
	lastEnd     int64         // number of the newest applied end; numbering restarts with each incarnation
	storedEnd   int64         // ends up to this number are stored
	ackedEnd    int64         // ends up to this number were acknowledged to the worker

	answered             bool          // has answered a poll of this owner
	incarnationConfirmed bool          // answered the newest poll, so the next one may acknowledge ends
	silentSince          time.Duration // steady time by which it did not answer a call, 0 if it has answered since
	silence              int64         // number of the newest silence
	unanswered           int           // polls in a row that it did not answer
	unresponsive         bool          // did not answer the last order, or refused a poll
	polling              bool          // a poll is outstanding
	urgentPolling        bool          // an urgent poll is outstanding
	pollDue              time.Duration // when the outstanding poll has to be answered, 0 if none is
	urgentDue            time.Duration // the same of the urgent one
	nextPoll             time.Duration // when to poll again
	lastPollSent         time.Duration // when the newest answered poll was sent
	refusedUntil         time.Duration // gets no new work before, since it has refused a start
	missedPolls          int           // consecutive unanswered polls while nothing ran
	overdue              int           // runs far over their estimate, reset when a run is done
	lastDone             time.Duration // when a run last ended with outcome done
	probing              bool          // gets a run at a time since it was ejected
	probed               bool          // has such a run
	onProbation          int           // runs on probation
	slowness             float64       // moving average of run time divided by estimate, 0 if unknown
	lastPaced            time.Duration // when its best-effort tasks were last paced
}

func (h *host) target() worker.Target {
	return worker.Target{ID: h.info.ID, Address: h.info.Address}
}

// patientTarget returns a worker as the target of a call that a lagging owner gives more time.
func (p *Pool) patientTarget(at Moment, h *host) worker.Target {
	to := h.target()
	to.Patience = p.patience(at)
	return to
}

func (h *host) free() catalog.Resources { return h.info.Capacity.Sub(h.used) }

// SetWorkers replaces the list of the pool's workers.
func (p *Pool) SetWorkers(at Moment, list []catalog.Worker) {
	present := id.Set[string]{}
	for _, info := range list {
		present.Add(info.ID)
		h, known := p.workers[info.ID]
		if !known {
			h = &host{runs: map[worker.Run]*run{}, clock: info.Clock, clockAt: at.Steady, fence: p.fence}
			p.workers[info.ID] = h
			p.config.Observer.WorkerChanged(info.ID, "joined")
		}
		p.updateIncarnation(at, h, info.StartedAt)
		if known && h.info.Draining != info.Draining {
			p.config.Observer.WorkerChanged(info.ID, "draining changed")
		}
		if h.retired && info.Clock > h.retiredAt+retirementGrace {
			// The entry is still renewed: the order was carried out before this worker started.
			h.retired = false
			p.config.Observer.WorkerChanged(info.ID, "lives on")
		}
		h.info = info
		h.listed = true
	}
	p.outliers.SetSize(len(list))
	p.endSuperseded(at, list)
	for name, h := range p.workers {
		if h.listed && !present.Has(name) {
			h.listed = false
			p.outliers.Forget(name)
			p.config.Observer.WorkerChanged(name, "left the list")
		}
	}
}

// cordonTTL is how long workers stay cordoned unless this is renewed.
const cordonTTL = 3 * time.Second

// SetCordoned replaces the sets of workers to be emptied now and of those scheduled to drain soon.
func (p *Pool) SetCordoned(at Moment, now, soon []string) {
	p.cordonedUntil = at.Steady + cordonTTL
	for name, h := range p.workers {
		h.cordoned = slices.Contains(now, name)
		h.drainScheduled = slices.Contains(soon, name)
	}
}

// Retirement is an order that has ended a worker's incarnation, or may have.
type Retirement struct {
	Worker string
	Order  int64 // 1 or more; rises with each order
}

// Retire stops placing work on workers whose instances were moved or taken down, or may have been, and whose entries may
// stay in the workers' table for a while. It ends no run: the order may have been carried out earlier, on a previous worker
// of the instance, or not at all.
func (p *Pool) Retire(list []Retirement) {
	for _, r := range list {
		h, ok := p.workers[r.Worker]
		if !ok || h.retired || r.Order <= h.retiredBy {
			continue
		}
		h.retired, h.retiredAt, h.retiredBy = true, h.info.Clock, r.Order
		p.config.Observer.WorkerChanged(r.Worker, "was moved or taken down, or may have been")
	}
}

// retirementGrace is how far a worker's clock must have advanced in its entry since its retirement to show that it is
// still alive.
const retirementGrace = 4 * time.Second

// CordonInstances cordons, for cordonTTL, the workers of instances that an earlier owner may have reported as empty, and
// that the autoscaler may have given orders to.
func (p *Pool) CordonInstances(at Moment, instances []string) {
	p.ordered = id.Set[string]{}
	for _, name := range instances {
		p.ordered.Add(name)
	}
	p.cordonedUntil = at.Steady + cordonTTL
	for _, h := range p.workers {
		h.cordoned = h.cordoned || slices.Contains(instances, h.info.Instance)
	}
}

// expireCordons lifts all cordons that were not renewed in time.
func (p *Pool) expireCordons(at Moment) {
	if at.Steady <= p.cordonedUntil {
		return
	}
	for _, h := range p.workers {
		h.cordoned, h.drainScheduled = false, false
	}
}

// usable reports whether a worker may get new work now.
func (p *Pool) usable(at Moment, h *host) bool {
	return p.inService(at, h) && at.Steady >= h.refusedUntil
}

// inService reports whether a worker may get new work, now or once it no longer refuses starts.
func (p *Pool) inService(at Moment, h *host) bool { return p.isSound(h) && !p.isEjected(at, h) }

// isSound reports whether a worker may get new work, but for what the ends of its runs say of it.
func (p *Pool) isSound(h *host) bool {
	return h.listed && h.hasCurrentInfo() && !h.ended && !h.retired && len(h.orphans) == 0 && h.answered && h.settled && !h.unresponsive && !h.cordoned &&
		!h.info.Draining && !p.evacuated.Has(h.info.DataCentre)
}

// mustDrain reports whether long-running tasks must move off a worker.
func (p *Pool) mustDrain(h *host) bool { return h.cordoned || h.info.Draining }
