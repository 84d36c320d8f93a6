package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// ClockDrift is the most by which a worker's clock is slow, as a part of the time.
const ClockDrift = 0.02

// leaseSlack covers rounding and the way of an order, on top of a lease.
const leaseSlack = 150 * time.Millisecond

// host is a worker, through all its lives under one id, with what runs or may run there.
type host struct {
	info               catalog.Worker // its newest entry, which may be that of an earlier life
	born               time.Time      // start of its newest life that is known, zero when none was said
	firstSeen          time.Duration  // when that life was heard of first
	listed             bool           // its entry stands in the workers' table
	cordoned           bool           // is to be emptied now
	ended              bool           // its life is over, though its entry may stand
	survivedRetirement bool           // has lived on after an order that should have ended it
	retired            bool           // its life was ended by an order of ours
	retiredAt          time.Duration  // the worker's clock in its entry at that time
	drainScheduled     bool           // is to be emptied soon
	used               catalog.Amount
	runs               map[worker.Run]*run
	orphans            id.Set[worker.Run] // runs of jobs that this owner does not hold; nothing starts beside them

	clock     time.Duration // its steady clock at clockAt
	clockAt   time.Duration
	leaseEnd  time.Duration // when everything on it has surely lapsed unless renewed
	lastEnd   int64         // number of the newest end that was taken in; numbers begin anew with each life
	storedEnd int64         // ends up to this number are stored
	ackedEnd  int64         // ends up to this number were acknowledged to it

	answered             bool          // has answered a look of this owner
	incarnationConfirmed bool          // has answered the newest look, so that the next one finds the same life
	unresponsive         bool          // its last order was not answered
	polling              bool          // a look is on its way
	urgentPolling        bool          // an urgent look is on its way
	nextPoll             time.Duration // when to look again
	lastPollSent         time.Duration // when the newest answered look was sent
	avoidUntil           time.Duration // gets nothing new before
	missedPolls          int           // looks in a row that were not answered while nothing ran
	overdue              int           // runs that took far longer than declared, since the newest end
	lastDone             time.Duration // when a run last ended done there
	failures             int           // runs that failed in a row
	penalties            int
	slowness             float64       // typical length of a run against its estimate, 0 when not known
	lastPaced            time.Duration // when its tasks that fill were last paced
}

func (h *host) target() worker.Target {
	return worker.Target{ID: h.info.ID, Address: h.info.Address}
}

// leaseUntil returns the end of a lease that starts now, on the worker's clock, as far as that has surely come since it was
// read: so a lease is no longer than its length by a slow clock.
func (h *host) leaseUntil(now, lease time.Duration) time.Duration {
	age := now - h.clockAt
	return h.clock + age - time.Duration(ClockDrift*float64(age)) + lease
}

// extendLease notes that a lease may have been given now.
func (h *host) extendLease(now, lease time.Duration) {
	drift := time.Duration(ClockDrift * float64(lease) * 1.1)
	h.leaseEnd = max(h.leaseEnd, now+lease+drift+leaseSlack)
}

func (h *host) free() catalog.Amount { return h.info.Capacity.Minus(h.used) }

// SetWorkers replaces the list of the pool's workers.
func (p *Pool) SetWorkers(at Moment, list []catalog.Worker) {
	present := id.Set[string]{}
	for _, info := range list {
		present.Add(info.ID)
		h, known := p.workers[info.ID]
		if !known {
			h = &host{runs: map[worker.Run]*run{}, clock: info.Clock, clockAt: at.Steady}
			p.workers[info.ID] = h
			p.config.Observer.WorkerChanged(info.ID, "joined")
		}
		p.updateIncarnation(at, h, info.Born)
		if known && h.info.Draining != info.Draining {
			p.config.Observer.WorkerChanged(info.ID, "draining changed")
		}
		if h.retired && info.Clock > h.retiredAt+retirementGrace {
			// Its entry is still renewed: the order had been carried out before it began.
			h.retired, h.survivedRetirement = false, true
			p.config.Observer.WorkerChanged(info.ID, "lives on")
		}
		h.info = info
		h.listed = true
	}
	p.supersede(at, list)
	for name, h := range p.workers {
		if h.listed && !present.Has(name) {
			h.listed = false
			p.config.Observer.WorkerChanged(name, "left the list")
		}
	}
}

// cordonTTL is how long workers stay cordoned when nobody asks for it again.
const cordonTTL = 3 * time.Second

// SetCordoned replaces the workers that are to be emptied now, and those that soon will be.
func (p *Pool) SetCordoned(at Moment, now, soon []string) {
	p.cordonedUntil = at.Steady + cordonTTL
	for name, h := range p.workers {
		h.cordoned = slices.Contains(now, name)
		h.drainScheduled = slices.Contains(soon, name)
	}
}

// Retire keeps new work off workers whose instances were moved or taken down, though their entries may
// stay in the workers' table for a while. It ends no run: an order that is answered as carried out may
// have been carried out before, on an earlier worker of the instance.
func (p *Pool) Retire(names []string) {
	for _, name := range names {
		if h, ok := p.workers[name]; ok && !h.retired && !h.survivedRetirement {
			h.retired, h.retiredAt = true, h.info.Clock
			p.config.Observer.WorkerChanged(name, "was moved or taken down")
		}
	}
}

// retirementGrace is how much older an entry must be than the end of its worker to show that it lives.
const retirementGrace = 4 * time.Second

// KeepFree keeps new work for a while off workers whose instances an earlier owner may have said to be empty.
func (p *Pool) KeepFree(at Moment, instances []string) {
	p.cordonedUntil = at.Steady + cordonTTL
	for _, h := range p.workers {
		h.cordoned = h.cordoned || slices.Contains(instances, h.info.Instance)
	}
}

// expireCordons serves again on workers that nobody asks to be emptied any more.
func (p *Pool) expireCordons(at Moment) {
	if at.Steady <= p.cordonedUntil {
		return
	}
	for _, h := range p.workers {
		h.cordoned, h.drainScheduled = false, false
	}
}

// usable reports whether a worker may get new work.
func (p *Pool) usable(at Moment, h *host) bool {
	return h.listed && h.hasCurrentInfo() && !h.ended && !h.retired && len(h.orphans) == 0 && h.answered && !h.unresponsive && !h.cordoned &&
		!h.info.Draining && at.Steady >= h.avoidUntil && !p.evacuated.Has(h.info.DataCentre)
}

// mustDrain reports whether what lasts must move off a worker.
func (p *Pool) mustDrain(h *host) bool { return h.cordoned || h.info.Draining }
