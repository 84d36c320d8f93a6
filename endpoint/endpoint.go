package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Runner runs tasks on endpoints.
type Runner interface {
	// Run sends a task and waits for the complete answer. It fails with NotStartedError when the task cannot have
	// started, and with UnknownError when the task may have started.
	Run(ctx context.Context, to netip.AddrPort, task Task) (Answer, error)
	// Cancel asks an endpoint to stop a task.
	Cancel(ctx context.Context, to netip.AddrPort, request string) error
	// Probe returns an error when an endpoint is not ready for work.
	Probe(ctx context.Context, to netip.AddrPort) error
}

// Task is one request to an endpoint.
type Task struct {
	Request string // unique to this attempt
	Team    id.Team
	Queue   id.Queue
	Lease   time.Duration // how long the task may run without a renewal; 0 means no renewals
	Header  http.Header   // headers of the caller that are forwarded
	Body    []byte
}

// Answer is the complete answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Free   int // free slots of the endpoint, -1 when the answer does not say
}

// NotStartedError reports a task that cannot have started.
type NotStartedError struct {
	To      netip.AddrPort
	Refused bool // the endpoint answered and refused the task, so it is not down
	Reason  string
}

// Error returns the endpoint and the reason.
func (e NotStartedError) Error() string { return fmt.Sprintf("not started on %s: %s", e.To, e.Reason) }

// UnknownError reports a task that may have started and whose complete answer did not arrive.
type UnknownError struct {
	To     netip.AddrPort
	Reason string
}

// Error returns the endpoint and the reason.
func (e UnknownError) Error() string { return fmt.Sprintf("outcome unknown on %s: %s", e.To, e.Reason) }

// Headers between this system and endpoints.
const (
	RequestHeader = "Request-Id"
	TeamHeader    = "Team"
	QueueHeader   = "Queue"
	LeaseHeader   = "Lease"       // a duration such as 10s
	RefusedHeader = "Not-Started" // the reason, set when the endpoint refused the task
	FreeHeader    = "Free-Slots"
)
