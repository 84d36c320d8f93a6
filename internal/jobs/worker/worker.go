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
	// Patience is added to the timeout of a call by a caller that handles answers late.
	Patience time.Duration
}

// Run names one run of a task.
type Run struct {
	Task   job.Name
	Number int
}

// Start orders a run.
type Start struct {
	Run
	Payload    string
	Until      time.Duration // end of the lease on the worker's steady clock
	Fence      int64         // orders below the highest fence seen are refused
	Checkpoint string
	Ticket     string
}

// LeaseRenewal renews the leases of all runs on a worker. The worker replies with a report of its runs.
type LeaseRenewal struct {
	Fence int64
	Acked int64         // ends up to this number are stored, so the worker can drop them
	Until time.Duration // end of the lease on the worker's steady clock, 0 to leave it unchanged
	Wait  time.Duration // how long to wait for an end
}

// Reply holds the fields that every reply of a worker carries.
type Reply struct {
	Clock     time.Duration // the worker's steady clock
	StartedAt time.Time     // start of the incarnation that replied, zero if not reported
}

// Report lists the running and the ended runs of a worker.
type Report struct {
	Reply
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
	Outcome    Outcome
	Checkpoint string
}

// Outcome tells how a run ended.
type Outcome int

// Outcomes of a run.
const (
	Lost            Outcome = iota // reported with an unknown outcome, or ended by the pool without a reported outcome
	Done                           // completed its work
	Failed                         // failed by itself or by a fault of the worker
	Stopped                        // stopped by an order
	Expired                        // its lease expired
	GangMemberEnded                // another member of its gang ended
	GangIncomplete                 // the rest of its gang did not start
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"lost", "done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}

// Client sends orders to workers. A call fails with RefusedError or IncarnationEndedError if the worker did nothing. After any
// other error the order may still be carried out, even later.
type Client interface {
	Start(ctx context.Context, to Target, s Start) (Reply, error)
	Stop(ctx context.Context, to Target, run Run, fence int64) (Reply, error)
	RenewLease(ctx context.Context, to Target, renewal LeaseRenewal) (Report, error)
	Pace(ctx context.Context, to Target, run Run, percent int, fence int64) (Reply, error)
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
	Invalid    Reason = iota
	Fenced            // the worker has seen a higher fence
	Superseded        // a later run ended or was stopped on the worker
	Late              // its lease would already have expired
	NoCapacity        // the worker has too little free capacity
	NoTicket          // its ticket is missing or has expired
	Busy              // the instance or the worker accepts no order now
	NotInWave
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"invalid", "fenced", "old", "late", "room", "ticket", "busy", "wave"}[r]
}

// RefusedError reports an order that was not carried out and never will be.
type RefusedError struct {
	Reason Reason
	Reply  Reply
}

// Error returns the reason.
func (e RefusedError) Error() string { return "worker: refused: " + e.Reason.String() }

// NotSentError reports an order that was not sent and never will be.
type NotSentError struct{ Waited time.Duration }

// Error returns how long the order had waited since its decision.
func (e NotSentError) Error() string { return fmt.Sprintf("worker: not sent after %v", e.Waited) }

// IncarnationEndedError reports that the incarnation that an order was meant for has ended.
type IncarnationEndedError struct{ ID string }

// Error returns the ID of the incarnation.
func (e IncarnationEndedError) Error() string {
	return fmt.Sprintf("worker: incarnation %s has ended", e.ID)
}
