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
	info      catalog.Worker // its newest entry, which may be that of an earlier life
	born      time.Time      // start of its newest life that is known, zero when none was said
	met       time.Duration  // when that life was heard of first
	listed    bool           // its entry stands in the workers' table
	cordoned  bool           // is to be emptied now
	ended     bool           // its life is over, though its entry may stand
	livesOn   bool           // has lived on after an order that should have ended it
	retired   bool           // its life was ended by an order of ours
	retiredAt time.Duration  // the worker's clock in its entry at that time
	doomed    bool           // is to be emptied soon
	used      catalog.Amount
	runs      map[worker.Run]*run
	strange   id.Set[worker.Run] // runs of jobs that this owner does not hold; nothing starts beside them

	clock    time.Duration // its steady clock at clockAt
	clockAt  time.Duration
	leaseEnd time.Duration // when everything on it has surely lapsed unless renewed
	seen     int64         // number of the newest end that was taken in; numbers begin anew with each life
	stored   int64         // ends up to this number are stored
	acked    int64         // ends up to this number were acknowledged to it

	answered  bool          // has answered a look of this owner
	attested  bool          // has answered the newest look, so that the next one finds the same life
	silent    bool          // its last order was not answered
	looking   bool          // a look is on its way
	urgent    bool          // an urgent look is on its way
	nextLook  time.Duration // when to look again
	lookSent  time.Duration // when the newest answered look was sent
	avoid     time.Duration // gets nothing new before
	misses    int           // looks in a row that were not answered while nothing ran
	overdue   int           // runs that took far longer than declared, since the newest end
	done      time.Duration // when a run last ended done there
	failures  int           // runs that failed in a row
	penalties int
	slow      float64       // typical length of a run against its estimate, 0 when not known
	paced     time.Duration // when its tasks that fill were last paced
}

func (h *host) target() worker.Target {
	return worker.Target{ID: h.info.ID, Address: h.info.Address}
}

// until returns the end of a lease that starts now, on the worker's clock, as far as that has surely come since it was
// read: so a lease is no longer than its length by a slow clock.
func (h *host) until(now, lease time.Duration) time.Duration {
	age := now - h.clockAt
	return h.clock + age - time.Duration(ClockDrift*float64(age)) + lease
}

// extend notes that a lease may have been given now.
func (h *host) extend(now, lease time.Duration) {
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
		p.heardOf(at, h, info.Born)
		if known && h.info.Draining != info.Draining {
			p.config.Observer.WorkerChanged(info.ID, "draining changed")
		}
		if h.retired && info.Clock > h.retiredAt+retiredLife {
			// Its entry is still renewed: the order had been carried out before it began.
			h.retired, h.livesOn = false, true
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

// cordonLife is how long workers stay cordoned when nobody asks for it again.
const cordonLife = 3 * time.Second

// SetCordoned replaces the workers that are to be emptied now, and those that soon will be.
func (p *Pool) SetCordoned(at Moment, now, soon []string) {
	p.cordonedTill = at.Steady + cordonLife
	for name, h := range p.workers {
		h.cordoned = slices.Contains(now, name)
		h.doomed = slices.Contains(soon, name)
	}
}

// Retire keeps new work off workers whose instances were moved or taken down, though their entries may
// stay in the workers' table for a while. It ends no run: an order that is answered as carried out may
// have been carried out before, on an earlier worker of the instance.
func (p *Pool) Retire(names []string) {
	for _, name := range names {
		if h, ok := p.workers[name]; ok && !h.retired && !h.livesOn {
			h.retired, h.retiredAt = true, h.info.Clock
			p.config.Observer.WorkerChanged(name, "was moved or taken down")
		}
	}
}

// retiredLife is how much older an entry must be than the end of its worker to show that it lives.
const retiredLife = 4 * time.Second

// KeepFree keeps new work for a while off workers whose instances an earlier owner may have said to be empty.
func (p *Pool) KeepFree(at Moment, instances []string) {
	p.cordonedTill = at.Steady + cordonLife
	for _, h := range p.workers {
		h.cordoned = h.cordoned || slices.Contains(instances, h.info.Instance)
	}
}

// expireCordons serves again on workers that nobody asks to be emptied any more.
func (p *Pool) expireCordons(at Moment) {
	if at.Steady <= p.cordonedTill {
		return
	}
	for _, h := range p.workers {
		h.cordoned, h.doomed = false, false
	}
}

// usable reports whether a worker may get new work.
func (p *Pool) usable(at Moment, h *host) bool {
	return h.listed && h.described() && !h.ended && !h.retired && len(h.strange) == 0 && h.answered && !h.silent && !h.cordoned &&
		!h.info.Draining && at.Steady >= h.avoid && !p.evacuated.Has(h.info.DataCentre)
}

// leaves reports whether what lasts must move off a worker.
func (p *Pool) leaves(h *host) bool { return h.cordoned || h.info.Draining }
