package pool

import "time"

// An owner that lacks processor time handles answers late: its calls time out though the workers have carried them out, and the leases
// of healthy workers run out unrenewed while the ends of their runs wait to be read. What such an owner has not heard proves nothing.
// It gives calls more time, and starts the task of a run whose lease has expired again only once the worker has told what became of
// the run, or is known to be gone, or has stayed unheard for long.

// Limits on what a lagging owner concludes from silence.
const (
	reportTimeout  = 4 * time.Second // from the end of a lease until a worker that lives but does not answer is not waited for any longer
	usualLag       = 150 * time.Millisecond
	patienceFactor = 3 // of the lag, for the time that a call gets beyond its usual timeout
	maxPatience    = 8 * time.Second
	reportFactor   = 6 // of the lag, for the time that is added to reportTimeout
)

// RecordLag records that the owner handled an event, or sent an order, so late.
func (p *Pool) RecordLag(at Moment, late time.Duration) {
	if late >= p.Lag(at) {
		p.lag, p.lagAt = late, at.Steady
	}
}

// recordTick records a long time between two ticks as lag.
func (p *Pool) recordTick(at Moment) {
	if p.tickedAt > 0 {
		p.RecordLag(at, at.Steady-p.tickedAt)
	}
	p.tickedAt = at.Steady
}

// Lag returns by how much the owner has lately been late at most. A lag counts for less as time passes, and for nothing after twice
// its length.
func (p *Pool) Lag(at Moment) time.Duration {
	return max(0, p.lag-(at.Steady-p.lagAt)/2)
}

// patience returns how much more time than usual a call gets.
func (p *Pool) patience(at Moment) time.Duration {
	lag := p.Lag(at)
	if lag <= usualLag {
		return 0
	}
	return min(maxPatience, patienceFactor*lag)
}

// awaitsReport reports whether a run whose lease has expired is not to be replaced yet: its worker is listed, so it lives, and may have
// ended the run as done before. Long-running tasks have no such end, and must not stay away.
func (p *Pool) awaitsReport(at Moment, r *run) bool {
	h := r.host
	if r.step.LongRunning || r.phase == storing || !h.listed || h.ended || h.retired || !h.info.Address.IsValid() {
		return false
	}
	wait := reportFactor * p.Lag(at)
	if h.answered {
		wait += reportTimeout // one that has never answered this owner was waited for since the takeover
	}
	return at.Steady <= h.leaseEnd+wait
}
