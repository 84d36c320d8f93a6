package worker

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Target is one incarnation of a worker. Another incarnation at the same address refuses calls for this one.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Run names one run of a task.
type Run struct {
	Task   job.Name
	Number int
}

// Start orders a run.
type Start struct {
	Run
	Text       string
	Until      time.Duration // end of the lease on the worker's steady clock
	Fence      int64         // orders below the highest fence seen are refused
	Checkpoint string
	Ticket     string
}

// Hold is a lease renewal for all runs on a worker. The worker replies with a report of its runs.
type Hold struct {
	Fence int64
	Acked int64         // ends up to this number are stored, so the worker can drop them
	Until time.Duration // end of the lease on the worker's steady clock, 0 to leave it unchanged
	Wait  time.Duration // how long to wait for an end
}

// Answer holds the fields that every reply of a worker carries.
type Answer struct {
	Clock time.Duration // the worker's steady clock
	Born  time.Time     // start of the incarnation that replied, zero if not reported
}

// Report lists the running and the ended runs of a worker.
type Report struct {
	Answer
	Running []Running
	Ended   []End
}

// Running is one run on a worker.
type Running struct {
	Run
	Checkpoint string
	Percent    int           // pace of the run, 0 before it starts to work
	Tail       time.Duration // tail latency of a serving task
	CPU        int           // thousandths of a core in use, of any other task
}

// End is the end of one run. Number counts the ends within one incarnation of the worker.
type End struct {
	Run
	Number     int64
	How        How
	Checkpoint string
}

// How is the outcome of a run.
type How int

// Outcomes of a run.
const (
	Lost    How = iota // an outcome that this program does not know
	Done               // completed its work
	Failed             // failed by itself or by a fault of the worker
	Stopped            // stopped by an order
	Lapsed             // its lease expired
	Broken             // another member of its gang ended
	Alone              // the rest of its gang did not start
)

// String returns the outcome's name.
func (h How) String() string {
	return [...]string{"lost", "done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// Client sends orders to workers. A call fails with RefusedError or OtherLifeError if the worker did nothing. After any
// other error the order may still be carried out, even later.
type Client interface {
	Start(ctx context.Context, to Target, s Start) (Answer, error)
	Stop(ctx context.Context, to Target, run Run, fence int64) (Answer, error)
	Hold(ctx context.Context, to Target, h Hold) (Report, error)
	Pace(ctx context.Context, to Target, run Run, percent int, fence int64) (Answer, error)
}

// Advisor tells which workers may run a step of an advised queue.
type Advisor interface {
	Advise(ctx context.Context, step job.Name, workers []string) (Advice, error)
}

// Advice holds the tickets, by worker, that starts of one step need.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Machines moves instances between pools and maintains them. The fence rises from one holder to the next.
type Machines interface {
	List(ctx context.Context) ([]catalog.Instance, error)
	Move(ctx context.Context, instance, pool, holder string, fence int64) error
	Maintain(ctx context.Context, instance string, wave int, holder string, fence int64) error
}

// Reason is the reason for which an order was refused.
type Reason int

// Reasons for which a worker refuses an order.
const (
	Invalid  Reason = iota
	Fenced          // the worker has seen a higher fence
	Old             // a later run ended or was stopped on the worker
	Late            // its lease would already have expired
	NoRoom          // the worker has too little free capacity
	NoTicket        // its ticket is missing or has expired
	Busy            // the instance or the worker accepts no order now
	NotInWave
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"invalid", "fenced", "old", "late", "room", "ticket", "busy", "wave"}[r]
}

// RefusedError reports an order that was not carried out and never will be.
type RefusedError struct {
	Reason Reason
	Answer Answer
}

// Error returns the reason.
func (e RefusedError) Error() string { return "worker: refused: " + e.Reason.String() }

// OtherLifeError reports that the incarnation that an order was meant for has ended.
type OtherLifeError struct{ ID string }

// Error returns the ID of the incarnation.
func (e OtherLifeError) Error() string { return fmt.Sprintf("worker: incarnation %s has ended", e.ID) }
