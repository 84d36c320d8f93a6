package instance

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// NotReadyError reports that an instance cannot handle the request now and has done nothing.
type NotReadyError struct {
	Reason string
	Retry  time.Duration // delay before the next attempt
}

// Error returns the reason.
func (e NotReadyError) Error() string { return "not ready: " + e.Reason }

// movedError reports that a newer configuration sends a queue's route to another pool.
type movedError struct{ Queue string }

// Error returns the queue.
func (e movedError) Error() string { return "queue " + e.Queue + " has moved to another pool" }

// NoQueueError reports that no queue matches the host and path of a request.
type NoQueueError struct{ Host, Path string }

// Error returns the host and path.
func (e NoQueueError) Error() string { return fmt.Sprintf("no queue at %s%s", e.Host, e.Path) }

// KeyError reports a request whose key belongs to no team.
type KeyError struct{}

// Error returns a fixed text.
func (e KeyError) Error() string { return "the key belongs to no team" }

// NoJobError reports that no such job was submitted.
type NoJobError struct{ Job job.ID }

// Error returns the job.
func (e NoJobError) Error() string { return fmt.Sprintf("no job %s", e.Job) }

// UnknownError reports a request that may or may not have taken effect.
type UnknownError struct{ Reason string }

// Error returns the reason.
func (e UnknownError) Error() string { return "outcome unknown: " + e.Reason }

// OverloadedError reports a job that was rejected, and never runs, because it could not end in time.
type OverloadedError struct {
	Retry  time.Duration // delay before the next attempt
	Reason admission.Reason
}

// Error returns the reason and the delay.
func (e OverloadedError) Error() string {
	switch e.Reason {
	case admission.MemoryFull:
		return "not run: the pool keeps as many jobs as its memory allows"
	case admission.TeamOverShare:
		return fmt.Sprintf("not run: the team's other jobs use its share of the pool for %v", e.Retry)
	}
	return fmt.Sprintf("not run: the pool has work for %v before this job", e.Retry)
}
