package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Moment is a point in time by both clocks: Steady goes on during a suspension and never jumps, Wall is
// the time of day, which may jump.
type Moment struct {
	Steady time.Duration
	Wall   time.Time
}

// Config holds what a Pool needs to know for good.
type Config struct {
	Name      string
	Fence     int64         // carried by every order
	Lease     time.Duration // how long a worker runs on without a renewal
	MaxLease  time.Duration // longest lease that a worker grants, 0 when not known
	Inherited time.Duration // after a change of owner, how long a run may go on that nobody has seen
	Retention time.Duration // how long an ended job can be asked for
	Far       float64       // how many times as long a task takes away from its data, 0 when not known
	Observer  Observer      // nil observes nothing
}

// Observer is told of decisions, for logs and metrics. Unexpected tells of a run that its task no longer has.
type Observer interface {
	Placed(spec *job.Spec, task job.Name, run int, worker string, waited time.Duration)
	Begun(spec *job.Spec, waits Waits) // a worker has confirmed the first run of a task
	Ended(spec *job.Spec, task job.Name, run int, worker, how string)
	JobEnded(spec *job.Spec, state job.State, took time.Duration)
	WorkerChanged(worker, what string)
	Unexpected(task *job.Task, run int, worker, what string)
}

// entry is a job with what its owner keeps of it beside its own state.
type entry struct {
	job         *job.Job
	stored      job.State // newest state that the log holds
	arrived     time.Duration
	due         time.Duration        // steady time at which the job is late
	feasibility feasibility          // what there is room for
	forgetAt    time.Duration        // steady time at which it is forgotten, 0 while it goes on
	advice      map[job.Name]*advice // by step, for advised queues
	rescues     map[job.Name]int     // runs that were ended because they took too long
	stuckSince  time.Duration        // steady time since which a task that lasts has found no worker, 0 if none
	ready       time.Duration        // steady time since which the newest of its steps may start
	stepTimes   map[[2]int]stepTimes // by occurrence and step, of those whose turn has come
}

// Pool is the state of one pool's jobs and workers.
type Pool struct {
	config           Config
	jobs             map[job.ID]*entry
	active           []*entry // not ended, in order of arrival
	cancelled        map[job.ID]time.Duration
	workers          map[string]*host
	teams            map[string]*team
	minAllocation    int           // part of every team's limit that is this pool's when nothing was dealt to it
	allocationsUntil time.Duration // until when the parts that were dealt hold, 0 for none
	evacuated        id.Set[id.DataCentre]
	changed          map[job.ID]struct{} // jobs whose progress is to be stored
	unstored         []*run              // runs that may be started once they are stored
	leaving          []*run              // runs that may be stopped once that is stored
	actions          []Action
	dropped          []job.ID // jobs to be removed from the log
	cordonedUntil    time.Duration
	arrivals         arrivals
	weights          map[string]int // shares of the teams when the pool is full
	lastPlanned      time.Duration  // when it was last chosen which jobs the room is spent on
	obtainableUntil  time.Duration  // until when what is said of the reach holds
	obtainable       int            // thousandths of a core that the pool can get beside what it has
	incoming         int            // those of them that are on their way
	begun            int            // first runs that workers have confirmed since this was last asked for
	waits            Waits          // of these, together
	questions        int            // to the advice service that are on their way
}

// New returns an empty pool.
func New(c Config) *Pool {
	if c.Observer == nil {
		c.Observer = noopObserver{}
	}
	return &Pool{
		config: c, jobs: map[job.ID]*entry{}, cancelled: map[job.ID]time.Duration{}, workers: map[string]*host{},
		teams: map[string]*team{}, changed: map[job.ID]struct{}{},
	}
}

// SetEvacuated replaces the data centres that get no new work.
func (p *Pool) SetEvacuated(out id.Set[id.DataCentre]) { p.evacuated = out }

// Submit takes a job; one that is known already changes nothing.
func (p *Pool) Submit(at Moment, spec job.Spec) {
	if _, known := p.jobs[spec.ID]; known {
		return
	}
	e := p.add(at, job.New(spec))
	p.arrivals.add(at.Steady, &spec)
	if _, cancelled := p.cancelled[spec.ID]; cancelled {
		p.Cancel(at, spec.ID)
		return
	}
	if spec.Times > 0 {
		e.job.Advance(at.Wall)
	}
}

func (p *Pool) add(at Moment, j *job.Job) *entry {
	e := &entry{job: j, arrived: at.Steady, ready: at.Steady, rescues: map[job.Name]int{}, stepTimes: map[[2]int]stepTimes{}}
	// The time since a job was taken is read off two clocks that may differ by seconds.
	if age := at.Wall.Sub(j.Spec.Accepted); age > 0 && age < maxClockAge {
		e.arrived -= age
	}
	e.due = e.arrived + j.Spec.Objective()
	p.jobs[j.Spec.ID] = e
	p.active = append(p.active, e)
	return e
}

// maxClockAge is the most that the age of a job by the time of day counts for.
const maxClockAge = 5 * time.Second

// Cancel ends a job at its caller's wish; one that is not known yet is cancelled when it comes.
func (p *Pool) Cancel(at Moment, name job.ID) {
	p.cancelled[name] = at.Steady + p.config.Retention
	e, known := p.jobs[name]
	if !known || !e.job.Cancel(at.Wall) {
		return
	}
	p.endJob(at, e)
}

// endJob stops what an ended job still runs.
func (p *Pool) endJob(at Moment, e *entry) {
	p.touch(e)
	e.forgetAt = at.Steady + p.config.Retention
	p.config.Observer.JobEnded(&e.job.Spec, e.job.State, at.Steady-e.arrived)
	p.stopRuns(at, e)
}

func (p *Pool) stopTask(at Moment, t *job.Task) {
	if !t.Placed() {
		return
	}
	if r := p.runOf(t); r != nil {
		p.stop(at, r)
	}
}

func (p *Pool) touch(e *entry) { p.changed[e.job.Spec.ID] = struct{}{} }

// Known reports whether the pool holds a job, and its state as far as it is stored.
func (p *Pool) Known(name job.ID) (job.State, bool) {
	e, ok := p.jobs[name]
	if !ok {
		return 0, false
	}
	if e.job.State.Ended() && e.stored != e.job.State {
		return job.Running, true
	}
	return e.job.State, true
}

// Pending returns for each queue how many jobs have not begun.
func (p *Pool) Pending() map[string]int {
	counts := map[string]int{}
	for _, e := range p.active {
		if !e.job.Begun && !e.job.State.Ended() {
			counts[e.job.Spec.Queue]++
		}
	}
	return counts
}

// noopObserver observes nothing.
type noopObserver struct{}

func (noopObserver) Placed(*job.Spec, job.Name, int, string, time.Duration) {}
func (noopObserver) Begun(*job.Spec, Waits)                                 {}
func (noopObserver) Ended(*job.Spec, job.Name, int, string, string)         {}
func (noopObserver) JobEnded(*job.Spec, job.State, time.Duration)           {}
func (noopObserver) WorkerChanged(string, string)                           {}
func (noopObserver) Unexpected(*job.Task, int, string, string)              {}
