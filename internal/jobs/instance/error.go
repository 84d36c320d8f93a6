package instance

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// NotReadyError reports that an instance cannot take the call now and has done nothing.
type NotReadyError struct {
	Reason string
	Retry  time.Duration // when to come back
}

// Error returns the reason.
func (e NotReadyError) Error() string { return "not ready: " + e.Reason }

// NoQueueError reports that no queue has the address of a call.
type NoQueueError struct{ Host, Path string }

// Error returns the address.
func (e NoQueueError) Error() string { return fmt.Sprintf("no queue at %s%s", e.Host, e.Path) }

// KeyError reports a call whose key belongs to no team.
type KeyError struct{}

// Error says so.
func (e KeyError) Error() string { return "the key belongs to no team" }

// NoJobError reports that no such job was handed in.
type NoJobError struct{ Job job.ID }

// Error returns the job.
func (e NoJobError) Error() string { return fmt.Sprintf("no job %s", e.Job) }

// UnknownError reports a call that may or may not have had its effect.
type UnknownError struct{ Reason string }

// Error returns the reason.
func (e UnknownError) Error() string { return "outcome unknown: " + e.Reason }

// FullError reports a job that was refused because it could not end in any useful time.
type FullError struct{ Retry time.Duration } // when to come back

// Error returns when to come back.
func (e FullError) Error() string {
	return fmt.Sprintf("not run: the pool has work for %v before this job", e.Retry)
}
