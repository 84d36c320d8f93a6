package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/buffer"
	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/outlier"
	"marigoldshed.example/marigoldshed/internal/jobs/runtimes"
)

// Moment is a point in time on two clocks. Steady never jumps and continues during a suspension; Wall is the time of
// day and may jump.
type Moment struct {
	Steady time.Duration
	Wall   time.Time
}

// Config holds the settings of a Pool that never change.
type Config struct {
	Name           string
	Fence          int64           // of this owner's claim; orders carry it or a higher one
	FirstOwner     bool            // no earlier owner has sent orders
	Lease          time.Duration   // how long a worker keeps its runs without a renewal
	MaxLease       time.Duration   // longest lease that a worker accepts, 0 if unknown
	InheritedWait  time.Duration   // after a change of owner, how long an unseen run may continue
	Unleased       []string        // workers to which the previous owner had granted no lease
	UnleasedWait   time.Duration   // how long an unseen run on one of these may continue
	Retention      time.Duration   // how long an ended job can be queried
	Uptime         time.Duration   // uptime that earlier owners have stored
	RunTimes       runtimes.Stored // run times that earlier owners have observed
	RemoteSlowdown float64         // factor by which a task takes longer away from its data, 0 if unknown
	Admission      AdmissionPolicy
	Observer       Observer // optional
}

// Observer receives decisions for logs and metrics. Unexpected reports a run that its task no longer has.
type Observer interface {
	Placed(spec *job.Spec, task job.Name, run int, worker string, waited time.Duration)
	RunBegun(spec *job.Spec, waits Waits) // a worker has confirmed the first run of a task
	Ended(spec *job.Spec, end RunEnd)
	GivenUp(spec *job.Spec, task *job.Task) // the task crashes workers, so its job has failed
	Rejected(spec *job.Spec, d admission.Decision)
	JobEnded(spec *job.Spec, state job.State, took time.Duration)
	JobDropped(spec *job.Spec, state job.State, age time.Duration) // its retention time is over
	WorkerChanged(worker, what string)
	WorkerRestarted(r Restart)
	Unexpected(task *job.Task, run int, worker, what string)
}

// entry is a job with the additional state that the pool keeps for it.
type entry struct {
	job              *job.Job
	stored           job.State // newest state in the log
	arrived          time.Duration
	due              time.Duration        // steady time after which the job is late
	feasibility      feasibility          // result of the newest capacity plan
	dropAt           time.Duration        // steady time after which it is dropped, 0 until its end is stored
	advice           map[job.Name]*advice // by step, for advised queues
	rescues          map[job.Name]int     // runs stopped because they took too long, by task
	unplaceableSince time.Duration        // steady time since which a long-running task has found no worker, 0 if none
	suspected        bool                 // a task of it is or was suspected to crash workers
	suspectSince     time.Duration        // steady time since which a suspected task has found no worker, 0 if none
	ready            time.Duration        // steady time since which its newest ready step can start
	stepTimes        map[[2]int]stepTimes // by occurrence and step
	lengths          []stepLength         // newest predictions, by step
	bytes            int64                // memory that is counted for it
	released         bool                 // it has ended, and its tasks are freed
}

// Pool holds the jobs and workers of one pool.
type Pool struct {
	config           Config
	jobs             map[job.ID]*entry
	fence            int64         // highest one for orders so far
	since            time.Duration // steady time of the takeover
	active           []*entry      // unfinished jobs in order of arrival; prune removes ended ones
	cancelled        map[job.ID]time.Duration
	workers          map[string]*host
	teams            map[string]*team
	pools            int           // that share the teams' limits
	allocationsUntil time.Duration // end of validity of the allocations, 0 for none
	evacuated        id.Set[id.DataCentre]
	uptime           time.Duration
	uptimeCountedAt  time.Duration       // steady time up to which the uptime is counted
	changed          map[job.ID]struct{} // jobs with progress to store
	unstored         []*run              // runs to start once they are stored
	unsent           []*run              // stored runs whose start is not ordered yet
	leaving          []*run              // runs to stop once it is stored that their tasks leave
	actions          []Action
	dropped          []job.ID // jobs to be removed from the log
	expired          []job.ID // cancellations to be removed from the log, whose jobs had not come
	cordonedUntil    time.Duration
	ordered          id.Set[string]           // instances that had been given orders shortly before the takeover
	silences         int64                    // silences of workers so far
	instanceCrashes  map[string]time.Duration // steady time of the newest crash of each instance's workers
	arrivals         arrivals
	weights          map[string]int // teams' relative shares when the pool is full
	lastPlanned      time.Duration  // when the capacity was last planned
	obtainableUntil  time.Duration  // end of validity of obtainable and incoming
	obtainable       int            // thousandths of a core that the pool can get in addition to its own
	incoming         int            // part of obtainable that is already being moved to the pool
	firstStarts      int            // confirmed first runs since the last TakeWaits
	waits            Waits          // sum of the waits of these runs
	adviceRequests   int            // outstanding requests to the advice service
	tickedAt         time.Duration  // steady time of the newest Tick, as of which run times are predicted
	lag              time.Duration  // by how much the owner was late at lagAt
	lagAt            time.Duration
	runTimes         *runtimes.Model
	outliers         *outlier.Detector
	admission        admissionCache
	retries          *retries
	memory           *buffer.Buffer // of the jobs, by team
}

// New returns an empty pool.
func New(c Config) *Pool {
	if c.Observer == nil {
		c.Observer = noopObserver{}
	}
	return &Pool{
		config: c, fence: c.Fence, jobs: map[job.ID]*entry{}, cancelled: map[job.ID]time.Duration{}, workers: map[string]*host{},
		teams: map[string]*team{}, changed: map[job.ID]struct{}{}, instanceCrashes: map[string]time.Duration{}, runTimes: runtimes.New(runtimes.Config{}), outliers: outlier.New(), retries: newRetries(),
		memory: buffer.New(0),
	}
}

// SetEvacuated replaces the data centres that get no new work.
func (p *Pool) SetEvacuated(out id.Set[id.DataCentre]) { p.evacuated = out }

// Submit adds a job that has just come. One that was told to come back counts from its first arrival, as for its caller. A job that the
// pool already has changes nothing.
func (p *Pool) Submit(at Moment, spec job.Spec) {
	p.submit(at, spec, p.retries.age(at.Steady, spec.ID))
}

// SubmitStored adds a job that another instance has stored for this pool, which may have been a while ago. A job that the pool already
// has changes nothing.
func (p *Pool) SubmitStored(at Moment, spec job.Spec) { p.submit(at, spec, clockAge(at, &spec)) }

func (p *Pool) submit(at Moment, spec job.Spec, age time.Duration) {
	if _, known := p.jobs[spec.ID]; known {
		return
	}
	p.retries.release(spec.ID)
	e := p.add(at, job.New(spec), age)
	p.arrivals.add(at.Steady, p.work(&spec))
	if _, cancelled := p.cancelled[spec.ID]; cancelled {
		p.Cancel(at, spec.ID)
		return
	}
	if spec.Times > 0 {
		e.job.Advance(at.Wall)
	}
	if p.admission.valid {
		p.addPending(at, e)
	}
}

func (p *Pool) add(at Moment, j *job.Job, age time.Duration) *entry {
	e := &entry{job: j, arrived: at.Steady - age, ready: at.Steady, rescues: map[job.Name]int{}, stepTimes: map[[2]int]stepTimes{}}
	e.due = e.arrived + j.Spec.Objective()
	p.jobs[j.Spec.ID] = e
	p.active = append(p.active, e)
	p.charge(e)
	return e
}

// maxClockAge is the limit above which a job's age by the time of day is ignored.
const maxClockAge = 5 * time.Second

// clockAge returns how long ago a job was accepted, by two hosts' times of day, which may differ by seconds.
func clockAge(at Moment, spec *job.Spec) time.Duration {
	age := at.Wall.Sub(spec.Accepted)
	if age < 0 || age >= maxClockAge {
		return 0
	}
	return age
}

// Cancel ends a job at its caller's request. An unknown job is cancelled if it is submitted within the retention time.
func (p *Pool) Cancel(at Moment, name job.ID) {
	p.cancelled[name] = at.Steady + p.config.Retention
	p.retries.release(name)
	e, known := p.jobs[name]
	if !known || !e.job.Cancel(at.Wall) {
		return
	}
	p.endJob(at, e)
}

// endJob stops the remaining runs of an ended job.
func (p *Pool) endJob(at Moment, e *entry) {
	p.touch(e)
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

// State returns the state of a job and reports whether the pool has it. A job whose end is not stored yet is reported
// as running.
func (p *Pool) State(name job.ID) (job.State, bool) {
	e, ok := p.jobs[name]
	if !ok {
		return 0, false
	}
	if e.job.State.Ended() && e.stored != e.job.State {
		return job.Running, true
	}
	return e.job.State, true
}

// Spec returns a job as it was submitted, or nil if the pool does not have it.
func (p *Pool) Spec(name job.ID) *job.Spec {
	e, ok := p.jobs[name]
	if !ok {
		return nil
	}
	return &e.job.Spec
}

// IsCancelled reports whether a job was cancelled within the retention time, whether or not the pool has it.
func (p *Pool) IsCancelled(name job.ID) bool {
	_, cancelled := p.cancelled[name]
	return cancelled
}

// Pending returns the number of jobs of a route that have not begun. It goes by the queue's name for jobs that were stored
// without a route.
func (p *Pool) Pending(route catalog.Route, queue string) int {
	count := 0
	for _, e := range p.active {
		spec := &e.job.Spec
		ofQueue := spec.Route == route || spec.Route == "" && spec.Queue == queue
		if ofQueue && !e.job.Begun && !e.job.State.Ended() {
			count++
		}
	}
	return count
}

// noopObserver ignores all events.
type noopObserver struct{}

func (noopObserver) Placed(*job.Spec, job.Name, int, string, time.Duration) {}
func (noopObserver) RunBegun(*job.Spec, Waits)                              {}
func (noopObserver) Ended(*job.Spec, RunEnd)                                {}
func (noopObserver) GivenUp(*job.Spec, *job.Task)                           {}
func (noopObserver) Rejected(*job.Spec, admission.Decision)                 {}
func (noopObserver) JobEnded(*job.Spec, job.State, time.Duration)           {}
func (noopObserver) JobDropped(*job.Spec, job.State, time.Duration)         {}
func (noopObserver) WorkerChanged(string, string)                           {}
func (noopObserver) WorkerRestarted(Restart)                                {}
func (noopObserver) Unexpected(*job.Task, int, string, string)              {}
