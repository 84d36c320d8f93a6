package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// clockSetback is how much earlier a worker's clock reads only in another life: answers that are late show less.
const clockSetback = 3 * time.Second

// tick takes over the reading of a worker's clock.
func (p *Pool) tick(at Moment, h *host, a worker.Answer) {
	if a.Clock <= 0 {
		return
	}
	if a.Clock+clockSetback < h.clock {
		p.reborn(at, h)
	}
	h.clock, h.clockAt = a.Clock, at.Steady
}

// heardOf takes in when a life of a worker began, and reports whether that is the newest one known.
func (p *Pool) heardOf(at Moment, h *host, born time.Time) bool {
	if born.IsZero() || born.Equal(h.born) {
		return true
	}
	if born.Before(h.born) {
		return false
	}
	if !h.born.IsZero() {
		p.reborn(at, h)
	}
	h.born = born
	return true
}

// described reports whether a worker's entry speaks of its newest life, which may have other room and labels than
// the one before.
func (h *host) described() bool { return h.info.Born.IsZero() || !h.info.Born.Before(h.born) }

// reborn forgets what was known of an earlier life under the same id. It ends no run: an order may have reached either
// life, and a look at the new one tells which runs are there.
func (p *Pool) reborn(at Moment, h *host) {
	p.config.Observer.WorkerChanged(h.info.ID, "started again")
	for _, r := range h.runs {
		if r.phase == stopped {
			// The stop that the earlier life confirmed does not bar the run from the new one.
			r.phase, r.sent = stopping, false
		}
	}
	h.strange = nil
	h.seen, h.stored, h.acked = 0, 0, 0
	h.clock, h.clockAt = 0, at.Steady
	// Leases that were meant for the earlier life's clock are cut down to the longest one.
	h.extend(at.Steady, max(p.config.Lease, p.config.MaxLease))
	h.answered, h.attested, h.retired, h.livesOn, h.ended = false, false, false, false, false
	h.looking, h.urgent, h.silent = false, false, false
	h.met, h.nextLook = at.Steady, at.Steady
}

// over ends a worker whose life is over.
func (p *Pool) over(at Moment, h *host) {
	p.config.Observer.WorkerChanged(h.info.ID, "is over")
	p.loseAll(at, h)
	h.ended = true
	h.leaseEnd = 0
	h.stored, h.acked = 0, 0
}

// elsewhere takes in that another worker has answered at an address, which ends the one that was meant unless that
// has a new life at another address by now.
func (p *Pool) elsewhere(at Moment, h *host, to worker.Target) {
	if to.Address == h.info.Address {
		p.over(at, h)
	}
}

// loseAll ends every run of a worker whose life is over.
func (p *Pool) loseAll(at Moment, h *host) {
	h.strange = nil
	for _, r := range h.runs {
		p.ended(at, r, worker.End{Run: r.id, How: worker.Lost})
	}
}

// supersede ends the workers on whose instances a later life has begun.
func (p *Pool) supersede(at Moment, list []catalog.Worker) {
	newest := map[string]catalog.Worker{}
	for _, w := range list {
		if w.Instance != "" && w.Born.After(newest[w.Instance].Born) {
			newest[w.Instance] = w
		}
	}
	for name, h := range p.workers {
		later, ok := newest[h.info.Instance]
		if ok && later.ID != name && later.Born.After(h.born) && !h.ended {
			p.over(at, h)
		}
	}
}
