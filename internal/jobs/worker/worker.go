package worker

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Target is one life of a worker; another life at the same address refuses what is sent to it.
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

// Hold renews the lease of everything on a worker and asks what runs there.
type Hold struct {
	Fence int64
	Acked int64         // ends up to this number are stored and can be forgotten
	Until time.Duration // end of the lease on the worker's steady clock, 0 to leave it
	Wait  time.Duration // how long to wait for an end
}

// Answer is what every answer of a worker carries.
type Answer struct {
	Clock time.Duration // the worker's steady clock
	Born  time.Time     // start of the life that answered, zero when not said
}

// Report is what a worker runs and what has ended on it.
type Report struct {
	Answer
	Running []Running
	Ended   []End
}

// Running is one run on a worker.
type Running struct {
	Run
	Checkpoint string
	Percent    int           // share at which it works, 0 before it is at work
	Tail       time.Duration // tail latency of a serving task
	CPU        int           // thousandths of a core in use, of any other task
}

// End is the end of one run; Number counts the ends of one life of the worker.
type End struct {
	Run
	Number     int64
	How        How
	Checkpoint string
}

// How tells how a run ended.
type How int

// Ways in which a run ends.
const (
	Lost    How = iota // a way that this program does not know
	Done               // its work is done
	Failed             // by its own fault or the worker's
	Stopped            // by an order
	Lapsed             // its lease ran out
	Broken             // another member of its gang ended
	Alone              // the rest of its gang did not come
)

// String returns the way's name.
func (h How) String() string {
	return [...]string{"lost", "done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// Client gives orders to workers. Calls fail with RefusedError or OtherLifeError when the worker did
// nothing; after any other error the order may be carried out, even later.
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

// Advice is the tickets by worker that starts of one step need.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Machines moves instances between pools and maintains them; fence rises from one holder to the next.
type Machines interface {
	List(ctx context.Context) ([]catalog.Instance, error)
	Move(ctx context.Context, instance, pool, holder string, fence int64) error
	Maintain(ctx context.Context, instance string, wave int, holder string, fence int64) error
}

// Reason tells why an order was refused.
type Reason int

// Reasons for which a worker refuses an order.
const (
	Invalid  Reason = iota
	Fenced          // a higher fence was seen
	Old             // a later run ended or was stopped there
	Late            // its lease would have ended already
	NoRoom          // it does not fit
	NoTicket        // its ticket is missing or has expired
	Busy            // the instance or the worker takes no order now
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

// OtherLifeError reports that the life an order was meant for is over.
type OtherLifeError struct{ ID string }

// Error returns the life.
func (e OtherLifeError) Error() string { return fmt.Sprintf("worker: %s is over", e.ID) }
