package instance

import (
	"time"

	"golang.org/x/time/rate"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
)

// intakeShare is the part, one in so many, of the memory for the jobs of one pool that an instance may store in intakes in a burst.
const intakeShare = 4

// defaultRetention is the time in which the budget fills up where the settings name no retention time.
const defaultRetention = 2 * time.Minute

// newStoreBudget returns the budget, in bytes of memory at their owners, for the jobs and cancellations that an instance stores in intakes
// while their owners do not answer. An owner has to take all that it finds there, however much memory it has left. The budget fills up
// within the retention time; it has no limit where the memory is not known.
func newStoreBudget(s Settings) *rate.Limiter {
	limit := s.JobMemory
	if limit <= 0 {
		limit = pool.MemoryLimit(s.Memory)
	}
	if limit <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	retention := s.Retention
	if retention <= 0 {
		retention = defaultRetention
	}
	burst := limit / intakeShare
	return rate.NewLimiter(rate.Limit(float64(burst)/retention.Seconds()), int(burst))
}

// mayStore reports whether the budget suffices for a record of an intake that needs so much memory at its owner, and charges it. A job
// that needs more than the whole budget needs all of it.
func (n *Instance) mayStore(bytes int64) bool {
	now := time.Unix(0, 0).Add(n.config.Clock.Moment().Steady)
	bytes = min(bytes, max(1, int64(n.storeBudget.Burst())))
	return n.storeBudget.AllowN(now, int(bytes))
}

// storeBudgetError returns the error of a call for which the budget does not suffice. indeterminate tells whether the owner may have
// stored its record.
func storeBudgetError(indeterminate bool) error {
	const reason = "the owner of the pool does not answer, and too much is stored for it already"
	if indeterminate {
		return UnknownError{Reason: reason}
	}
	return NotReadyError{Reason: reason, Retry: retryAfter}
}
