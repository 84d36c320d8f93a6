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
	// Run sends a task and waits for its whole answer; it fails with NotStartedError when the task
	// cannot have started and with UnknownError when it may have.
	Run(ctx context.Context, to netip.AddrPort, task Task) (Answer, error)
	// Cancel asks an endpoint to stop a task.
	Cancel(ctx context.Context, to netip.AddrPort, request string) error
	// Probe fails when an endpoint is not ready for work.
	Probe(ctx context.Context, to netip.AddrPort) error
}

// Task is one request as an endpoint gets it.
type Task struct {
	Request string // unique to this attempt
	Team    id.Team
	Queue   id.Queue
	Lease   time.Duration // how long it may run without a renewal
	Header  http.Header   // the caller's headers that travel on
	Body    []byte
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Free   int // slots free on the endpoint, -1 when it does not say
}

// NotStartedError reports a task that cannot have started.
type NotStartedError struct {
	To      netip.AddrPort
	Refused bool // the endpoint answered; it is not down
	Reason  string
}

// Error returns the endpoint and the reason.
func (e NotStartedError) Error() string { return fmt.Sprintf("not started on %s: %s", e.To, e.Reason) }

// UnknownError reports a task that may have started and whose answer did not arrive whole.
type UnknownError struct {
	To     netip.AddrPort
	Reason string
}

// Error returns the endpoint and the reason.
func (e UnknownError) Error() string { return fmt.Sprintf("unknown on %s: %s", e.To, e.Reason) }

// Headers between this system and endpoints.
const (
	RequestHeader = "Request-Id"
	TeamHeader    = "Team"
	QueueHeader   = "Queue"
	LeaseHeader   = "Lease"       // a time such as 10s
	RefusedHeader = "Not-Started" // set on an answer to a task that was refused
	FreeHeader    = "Free-Slots"
)
