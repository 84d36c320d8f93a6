package pool

import (
	"errors"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/reservation"
)

// admitter decides whether a pool accepts a job that it does not have. An OverloadedError rejects the job; its Wait is
// the time until the job would be accepted.
type admitter interface {
	// admitNew decides about a job that comes for the first time, or counts as such. The reserved work is that of callers
	// of the same team that were told to come back, and is ahead of the job.
	admitNew(at Moment, spec *job.Spec, reserved job.CoreTime) error
	// admitReturned decides about a job that was told to come back and comes when told. It rejects the job only if the
	// pool cannot end it by the given steady time, after which the end is of no use.
	admitReturned(at Moment, spec *job.Spec, useful time.Duration) error
}

// retries tells rejected jobs when to come back, and accepts those that come when told before jobs that come for the
// first time. It is lost with the owner; a successor treats returning jobs as new ones.
type retries struct {
	table  *reservation.Table
	counts RetryCounts
}

// RetryCounts counts decisions about jobs that a pool with reservations did not have.
type RetryCounts struct {
	Due         int // came when told and were accepted
	NotServable int // came when told and were rejected
	Early       int // came before the time that they were told
	Missed      int // came too late, or without a reservation; they count as new
	Reserved    int // were rejected with a reservation
	Unreserved  int // were rejected without one, since they would be of no use by then or the table has no space
}

func newRetries() *retries {
	return &retries{table: reservation.New(reservation.Config{
		MaxJobs: reservation.DefaultMaxJobs, MaxPerTeam: reservation.DefaultMaxPerTeam, Grace: reservation.DefaultGrace,
	})}
}

// reservesRetries reports whether the configuration calls for reservations for a job: a queue with an objective in a pool
// whose teams have weights.
func (p *Pool) reservesRetries(spec *job.Spec) bool {
	if !spec.Once() || spec.Objective() <= 0 {
		return false
	}
	for _, weight := range p.weights {
		if weight > 0 {
			return true
		}
	}
	return false
}

// TakeRetryCounts returns the counts since the last call.
func (p *Pool) TakeRetryCounts() RetryCounts { return p.retries.takeCounts() }

// admit decides about a job with the given expected work that the pool does not have. It does not change the table when
// it accepts the job: release has to be called then.
func (r *retries) admit(at Moment, spec *job.Spec, work job.CoreTime, a admitter) error {
	now, objective := at.Steady, spec.Objective()
	j := reservation.Job{
		ID: spec.ID, Team: spec.Team, Priority: spec.Policy.Priority, Work: work,
		First: now, Latest: now + (lateFactor-1)*objective, // a job that returns then and ends within its objective is of use
	}
	switch standing := r.table.Check(now, spec.ID).(type) {
	case reservation.Early:
		r.counts.Early++
		return OverloadedError{Wait: standing.At - now, Reason: admission.Early}
	case reservation.Due:
		if !isReserved(&standing.Job, &j) {
			break
		}
		err := a.admitReturned(at, spec, standing.Job.First+lateFactor*objective)
		if err == nil {
			r.counts.Due++
			return nil
		}
		r.counts.NotServable++
		return r.reject(now, j, err)
	case reservation.Missed:
		r.counts.Missed++
	case reservation.None:
	}
	if err := a.admitNew(at, spec, r.table.AheadOf(now, spec.Team, spec.Policy.Priority)); err != nil {
		return r.reject(now, j, err)
	}
	return nil
}

// maxWorkGrowth is the factor by which the expected work of a job may grow until it returns: what is expected of a step
// may change in the meantime, but a caller must not get a place with a smaller job than it comes back with.
const maxWorkGrowth = 2

// isReserved reports whether a job that comes back is the one that the reservation was made for.
func isReserved(reserved, j *reservation.Job) bool {
	return j.Team == reserved.Team && j.Priority >= reserved.Priority && j.Work <= maxWorkGrowth*reserved.Work
}

// reject replaces the wait of a rejection by the time after which the caller is to come back.
func (r *retries) reject(now time.Duration, j reservation.Job, err error) error {
	var overloaded OverloadedError
	if !errors.As(err, &overloaded) {
		return err
	}
	back, ok := r.table.Reserve(now, j, overloaded.Wait)
	if ok {
		r.counts.Reserved++
	} else {
		r.counts.Unreserved++
	}
	overloaded.Wait = back - now
	return overloaded
}

// age returns how long ago a job that comes when told came for the first time, and 0 for any other.
func (r *retries) age(now time.Duration, id job.ID) time.Duration {
	if due, ok := r.table.Check(now, id).(reservation.Due); ok {
		return now - due.Job.First
	}
	return 0
}

// release forgets a job that was accepted, however it came, or cancelled.
func (r *retries) release(id job.ID) { r.table.Release(id) }

// takeCounts returns the counts since the last call.
func (r *retries) takeCounts() RetryCounts {
	counts := r.counts
	r.counts = RetryCounts{}
	return counts
}
