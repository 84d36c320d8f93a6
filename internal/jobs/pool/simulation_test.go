package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// simulation runs owners of one pool against fake workers in simulated time and records every violated invariant.
type simulation struct {
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	serial        int
	workers       map[string]*fakeWorker
	faults        faults
	owners        []*fakeOwner
	epoch         int64
	log           map[job.ID]*StoredState // content of the fake log
	violations    []string
	work          map[job.Name]time.Duration // actual run time of a task
	done          map[job.Name]bool          // a run of the task has ended done
	ackedDone     map[job.Name]bool          // and the owner has acknowledged that end
	newestStart   map[job.Name]time.Duration // when the newest run of a task began
	allReachable  bool                       // every worker is there to be asked before a task is repeated
	failures      map[job.Name]int
	activeRuns    map[job.Name]int // number of current runs
	failureRate   float64
	hopeless      map[job.Name]bool                    // tasks that fail wherever they run
	cordoned      []string                             // cordoned workers
	stopOrdered   map[worker.Run]bool                  // runs that were ordered to stop
	workerOf      map[job.Name]string                  // worker that started the newest run
	jobEnds       map[job.ID]time.Duration             // when the end of a job was stored
	entryDelay    time.Duration                        // from the restart of a worker under its id until its entry shows the restart
	deadly        map[job.Name]time.Duration           // tasks that crash each worker that starts them, and after how long
	crashes       map[job.Name]int                     // workers that have crashed under a task
	afterThree    map[job.Name]int                     // starts of a task after three workers had crashed under it
	sameID        bool                                 // crashed workers are back under their ids
	downtime      time.Duration                        // how long a crashed worker is away
	inheritedWait time.Duration                        // of the next owner
	unseenDeaths  bool                                 // the answers to the starts of deadly tasks are lost
	crashed       []job.Name                           // tasks under which workers have crashed, in order
	began         func(run worker.Run, step *job.Step) // called as a run begins, unless it is nil
}

// faults are the probabilities of faults for a single order.
type faults struct{ lostBefore, lostAfter, late float64 }

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].serial < a[j].serial
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, workers int) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*fakeWorker{}, log: map[job.ID]*StoredState{},
		work: map[job.Name]time.Duration{}, done: map[job.Name]bool{}, ackedDone: map[job.Name]bool{}, newestStart: map[job.Name]time.Duration{}, failures: map[job.Name]int{}, hopeless: map[job.Name]bool{}, activeRuns: map[job.Name]int{}, stopOrdered: map[worker.Run]bool{}, workerOf: map[job.Name]string{},
		jobEnds: map[job.ID]time.Duration{}, deadly: map[job.Name]time.Duration{}, crashes: map[job.Name]int{}, afterThree: map[job.Name]int{}, downtime: workerDowntime, inheritedWait: testInherited,
	}
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now + d, serial: w.serial, do: do})
}

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *simulation) moment() Moment {
	return Moment{Steady: w.now + time.Hour, Wall: time.Unix(1_000_000, 0).Add(w.now)}
}

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// submit submits a job to all owners with random run times of its tasks.
func (w *simulation) submit(name string, spec job.Spec) {
	spec.ID = job.ID(name)
	spec.Accepted = w.moment().Wall
	for s := range spec.Steps {
		for i := range spec.Steps[s].Count {
			estimate := spec.Steps[s].Estimate
			w.work[job.Name{Job: spec.ID, Step: s, Index: i}] = time.Duration(float64(estimate) * (0.6 + 0.8*w.random.Float64()))
		}
	}
	w.log[spec.ID] = &StoredState{Spec: spec}
	for _, o := range w.owners {
		o.runOnControlThread(func() { o.pool.Submit(w.moment(), spec) })
	}
}

func (w *simulation) kill(id string) {
	f := w.workers[id]
	f.dead = true
	for run := range f.runs {
		delete(f.runs, run)
		w.activeRuns[run.Task]--
	}
}

// restart starts a new incarnation of a dead worker under its id.
func (w *simulation) restart(id string) {
	if before := w.workers[id]; before.dead {
		w.addWorker(id)
		w.workers[id].earlierEntry = before.entry()
	}
}

// unfinished returns the jobs, except long-running ones, that have not ended according to the newest owner.
func (w *simulation) unfinished() []job.ID {
	var names []job.ID
	o := w.owners[len(w.owners)-1]
	for name, s := range w.log {
		if s.Spec.LongRunning() {
			continue
		}
		if state, _ := o.pool.State(name); !state.Ended() {
			names = append(names, name)
		}
	}
	return names
}
