package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// simulation runs owners of one pool against fake workers in simulated time and records every violated invariant.
type simulation struct {
	random      *rand.Rand
	now         time.Duration
	events      eventQueue
	serial      int
	workers     map[string]*fakeWorker
	faults      faults
	owners      []*fakeOwner
	epoch       int64
	log         map[job.ID]*StoredState // content of the fake log
	violations  []string
	work        map[job.Name]time.Duration // actual run time of a task
	done        map[job.Name]bool          // a run of the task has ended done
	ackedDone   map[job.Name]bool          // and the owner has acknowledged that end
	failures    map[job.Name]int
	activeRuns  map[job.Name]int // number of current runs
	failureRate float64
	cordoned    []string                 // cordoned workers
	stopOrdered map[worker.Run]bool      // runs that were ordered to stop
	workerOf    map[job.Name]string      // worker that started the newest run
	jobEnds     map[job.ID]time.Duration // when the end of a job was stored
	entryDelay  time.Duration            // from the restart of a worker under its id until its entry shows the restart
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
		work: map[job.Name]time.Duration{}, done: map[job.Name]bool{}, ackedDone: map[job.Name]bool{}, failures: map[job.Name]int{}, activeRuns: map[job.Name]int{}, stopOrdered: map[worker.Run]bool{}, workerOf: map[job.Name]string{},
		jobEnds: map[job.ID]time.Duration{},
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

// fakeWorker is one incarnation of a worker.
type fakeWorker struct {
	w                *simulation
	id               string
	capacity         catalog.Resources
	clockRate        float64 // rate of its clock relative to simulated time
	startedAt        time.Duration
	incarnationStart time.Time
	earlierEntry     catalog.Worker // entry of the previous incarnation under the same id
	fence            int64
	leaseEnd         time.Duration // end of the lease on its clock
	runs             map[worker.Run]*fakeRun
	highestEnded     map[job.Name]int // highest number of a run that ended or was stopped
	ends             []worker.End
	lastEndNumber    int64
	dead             bool
	disconnected     bool
	draining         bool
	polls            []func()
}

type fakeRun struct {
	need   catalog.Resources
	began  time.Duration
	serial int
}

func (w *simulation) addWorker(id string) {
	f := &fakeWorker{
		w: w, id: id, capacity: catalog.Resources{CPU: 4000, MemoryMB: 8000}, clockRate: 0.98 + 0.02*w.random.Float64(), startedAt: w.now,
		incarnationStart: w.moment().Wall, runs: map[worker.Run]*fakeRun{}, highestEnded: map[job.Name]int{},
	}
	w.workers[id] = f
}

// initialClock is the reading of a worker's clock when the worker starts.
const initialClock = 50 * time.Millisecond

func (f *fakeWorker) clock() time.Duration {
	return time.Duration(float64(f.w.now-f.startedAt)*f.clockRate) + initialClock
}

func (f *fakeWorker) reply() worker.Reply {
	return worker.Reply{Clock: f.clock(), StartedAt: f.incarnationStart}
}

func (f *fakeWorker) refuse(r worker.Reason) error {
	return worker.RefusedError{Reason: r, Reply: f.reply()}
}

func (f *fakeWorker) extendLease(until time.Duration) {
	f.leaseEnd = max(f.leaseEnd, min(until, f.clock()+10*time.Second))
	left := time.Duration(float64(f.leaseEnd-f.clock()) / f.clockRate)
	f.w.after(left+time.Millisecond, f.expireRuns)
}

func (f *fakeWorker) expireRuns() {
	if f.clock() < f.leaseEnd {
		return
	}
	for run := range f.runs {
		f.end(run, worker.Expired)
	}
}

func (f *fakeWorker) start(s worker.Start) (worker.Reply, error) {
	switch {
	case s.Fence < f.fence:
		return worker.Reply{}, f.refuse(worker.Fenced)
	case s.Until <= f.clock():
		return worker.Reply{}, f.refuse(worker.Late)
	}
	f.fence = s.Fence
	if _, there := f.runs[s.Run]; there {
		return f.reply(), nil
	}
	if f.highestEnded[s.Task] >= s.Number {
		return worker.Reply{}, f.refuse(worker.Superseded)
	}
	f.extendLease(s.Until)
	f.begin(s)
	return f.reply(), nil
}

// begin starts a run and checks the invariants of a start.
func (f *fakeWorker) begin(s worker.Start) {
	w := f.w
	spec := w.log[s.Task.Job].Spec
	step := &spec.Steps[s.Task.Step]
	used := needOf(step)
	for _, r := range f.runs {
		used = used.Add(r.need)
	}
	if !f.capacity.Covers(used) {
		w.addViolation("LIMIT: %v exceeds the capacity of %s", s.Run, f.id)
	}
	if w.activeRuns[s.Task] > 0 {
		w.addViolation("TWICE: task of %v already has a run", s.Run)
	}
	if w.ackedDone[s.Task] {
		w.addViolation("TWICE: task of %v is already done", s.Run)
	}
	if spec.Policy.Attempts > 0 && w.failures[s.Task] >= spec.Policy.Attempts {
		w.addViolation("BUDGET: task of %v has already failed %d times", s.Run, w.failures[s.Task])
	}
	for _, before := range step.After {
		for i := range spec.Steps[before].Count {
			if !w.done[job.Name{Job: s.Task.Job, Step: before, Index: i}] {
				w.addViolation("ORDER: %v started before step %d was done", s.Run, before)
			}
		}
	}
	w.serial++
	run := &fakeRun{need: needOf(step), began: w.now, serial: w.serial}
	f.runs[s.Run] = run
	w.activeRuns[s.Task]++
	w.workerOf[s.Task] = f.id
	if step.LongRunning {
		return
	}
	serial := run.serial
	w.after(w.work[s.Task], func() {
		if now, ok := f.runs[s.Run]; !ok || now.serial != serial {
			return
		}
		outcome := worker.Done
		if w.random.Float64() < w.failureRate {
			outcome = worker.Failed
		}
		f.end(s.Run, outcome)
	})
}

func (f *fakeWorker) end(run worker.Run, outcome worker.Outcome) {
	delete(f.runs, run)
	f.w.activeRuns[run.Task]--
	if outcome == worker.Done {
		f.w.done[run.Task] = true
	}
	f.highestEnded[run.Task] = max(f.highestEnded[run.Task], run.Number)
	f.lastEndNumber++
	f.ends = append(f.ends, worker.End{Run: run, Number: f.lastEndNumber, Outcome: outcome})
	polls := f.polls
	f.polls = nil
	for _, poll := range polls {
		poll()
	}
}

func (f *fakeWorker) stop(run worker.Run, fence int64) (worker.Reply, error) {
	if fence < f.fence {
		return worker.Reply{}, f.refuse(worker.Fenced)
	}
	f.fence = fence
	f.highestEnded[run.Task] = max(f.highestEnded[run.Task], run.Number)
	if r, there := f.runs[run]; there {
		serial := r.serial
		f.checkAvailability(run)
		f.w.after(time.Duration(f.w.random.IntN(800))*time.Millisecond, func() {
			if now, ok := f.runs[run]; ok && now.serial == serial {
				f.end(run, worker.Stopped)
			}
		})
	}
	return f.reply(), nil
}

// checkAvailability checks, when a stop reaches a worker that does not drain, that one more task of the step may be
// unavailable.
func (f *fakeWorker) checkAvailability(run worker.Run) {
	w := f.w
	spec := w.log[run.Task.Job].Spec
	limit := spec.Steps[run.Task.Step].MaxUnavailable
	if limit == 0 || f.draining || w.stopOrdered[run] {
		return
	}
	w.stopOrdered[run] = true
	away := 0
	for i := range spec.Steps[run.Task.Step].Count {
		other := run.Task
		other.Index = i
		if i != run.Task.Index && (w.activeRuns[other] == 0 || w.isStopping(other)) {
			away++
		}
	}
	if away >= limit {
		w.addViolation("AVAIL: %v is stopped while %d other tasks of its step are unavailable", run, away)
	}
}

func (w *simulation) isStopping(task job.Name) bool {
	for run := range w.workers[w.workerOf[task]].runs {
		if run.Task == task && w.stopOrdered[run] {
			return true
		}
	}
	return false
}

func (f *fakeWorker) renewLease(renewal worker.LeaseRenewal) (worker.Report, error) {
	if renewal.Fence < f.fence {
		return worker.Report{}, f.refuse(worker.Fenced)
	}
	f.fence = renewal.Fence
	if renewal.Until > 0 {
		f.extendLease(renewal.Until)
	}
	kept := f.ends[:0:0]
	for _, e := range f.ends {
		switch {
		case e.Number > renewal.Acked:
			kept = append(kept, e)
		case e.Outcome == worker.Done:
			f.w.ackedDone[e.Task] = true
		case e.Outcome == worker.Failed:
			f.w.failures[e.Task]++
		}
	}
	f.ends = kept
	return f.report(), nil
}

func (f *fakeWorker) report() worker.Report {
	r := worker.Report{Reply: f.reply(), Ended: append([]worker.End(nil), f.ends...)}
	for run := range f.runs {
		r.Running = append(r.Running, worker.Running{Run: run, Percent: 100})
	}
	return r
}

// fakeOwner drives a Pool as a real owner does.
type fakeOwner struct {
	w              *simulation
	pool           *Pool
	epoch          int64
	writing        bool
	frozen         bool
	terminated     bool
	backlog        []func()
	lastProof      time.Duration
	unreachable    map[string]bool
	logUnreachable bool          // cannot reach the log
	sendDelay      time.Duration // delay between deciding on orders and sending them
}

const (
	testLease        = 4 * time.Second
	testInherited    = 8660 * time.Millisecond // as computed by the owner of a pool
	testOwnerTimeout = 4 * time.Second
)

// takeOver creates a new owner with the next epoch, as a claim of the pool would.
func (w *simulation) takeOver() *fakeOwner {
	w.epoch++
	o := &fakeOwner{w: w, epoch: w.epoch, lastProof: w.now, unreachable: map[string]bool{}}
	o.pool = New(Config{Name: "p", Fence: w.epoch, Lease: testLease, InheritedWait: testInherited, Retention: time.Minute})
	o.pool.SetWorkers(w.moment(), w.list())
	var all []StoredState
	for _, s := range w.log {
		copied := *s
		all = append(all, copied)
	}
	o.pool.Restore(w.moment(), all)
	w.owners = append(w.owners, o)
	o.tick()
	return o
}

func (w *simulation) list() []catalog.Worker {
	var list []catalog.Worker
	for _, f := range w.workers {
		switch {
		case f.earlierEntry.ID != "" && w.now < f.startedAt+w.entryDelay:
			list = append(list, f.earlierEntry)
		case !f.dead:
			list = append(list, f.entry())
		}
	}
	return list
}

func (f *fakeWorker) entry() catalog.Worker {
	return catalog.Worker{
		ID: f.id, Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: f.capacity, Clock: f.clock(),
		StartedAt: f.incarnationStart, Draining: f.draining,
	}
}

func (o *fakeOwner) tick() {
	if o.terminated {
		return
	}
	o.w.after(20*time.Millisecond, o.tick)
	o.runOnControlThread(func() {})
}

// runOnControlThread runs f on the owner's control thread; a frozen owner runs it when it resumes.
func (o *fakeOwner) runOnControlThread(f func()) {
	if o.terminated {
		return
	}
	if o.frozen {
		o.backlog = append(o.backlog, f)
		return
	}
	f()
	switch {
	case o.logUnreachable: // the log does not answer, so ownership is neither confirmed nor refused
	case o.epoch == o.w.epoch:
		o.lastProof = o.w.now
	case !o.writing && o.w.now-o.lastProof > time.Second:
		o.terminated = true // its next proof of ownership is refused
		return
	}
	if o.w.now-o.lastProof > testOwnerTimeout {
		return
	}
	at := o.w.moment()
	o.pool.SetWorkers(at, o.w.list())
	o.pool.Tick(at)
	o.pool.SetCordoned(at, o.w.cordoned, nil)
	if !o.writing {
		o.pool.DrainLongRunning()
		o.pool.Rescue(at)
		o.pool.Place(at)
		o.write()
	}
	o.send()
}

func (o *fakeOwner) write() {
	b := o.pool.Flush()
	if b.Empty() {
		o.pool.MarkEndsStored(b)
		return
	}
	o.writing = true
	o.w.after(8*time.Millisecond, func() {
		if o.logUnreachable {
			return
		}
		if o.epoch != o.w.epoch {
			o.terminated = true // fenced by a newer epoch
			return
		}
		for _, s := range b.Jobs {
			progress := s.Progress
			if data, err := cbor.Marshal(progress); err == nil {
				var copied job.Progress
				if cbor.Unmarshal(data, &copied) == nil {
					o.w.log[s.ID].Progress = &copied
					o.w.recordEnd(s.ID, copied.State)
				}
			}
		}
		o.runOnControlThread(func() {
			o.writing = false
			o.pool.RecordStored(o.w.moment(), b)
		})
	})
}

func (w *simulation) recordEnd(name job.ID, state job.State) {
	if _, known := w.jobEnds[name]; state.Ended() && !known {
		w.jobEnds[name] = w.now
	}
}

var errLost = errors.New("no answer")

func (o *fakeOwner) send() {
	for _, a := range o.pool.Actions() {
		switch a := a.(type) {
		case StartAction:
			o.order(a.To.ID, func(f *fakeWorker) (any, error) { return f.start(a.Start) }, func(answer any, err error) {
				got, _ := answer.(worker.Reply)
				o.pool.RecordStart(o.w.moment(), a, got, err)
			})
		case StopAction:
			o.order(a.To.ID, func(f *fakeWorker) (any, error) { return f.stop(a.Run, a.Fence) }, func(answer any, err error) {
				got, _ := answer.(worker.Reply)
				o.pool.RecordStop(o.w.moment(), a, got, err)
			})
		case PollAction:
			o.poll(a)
		case PaceAction:
		}
	}
}

func (o *fakeOwner) poll(a PollAction) {
	wait := a.Renewal.Wait
	o.order(a.To.ID, func(f *fakeWorker) (any, error) { return f.renewLease(a.Renewal) }, func(answer any, err error) {
		report, ok := answer.(worker.Report)
		if err != nil || !ok || wait == 0 || len(report.Ended) > 0 {
			o.pool.RecordPoll(o.w.moment(), a, report, err)
			return
		}
		f := o.w.workers[a.To.ID]
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if f.dead {
				o.runOnControlThread(func() { o.pool.RecordPoll(o.w.moment(), a, worker.Report{}, errLost) })
				return
			}
			late := f.report()
			o.w.after(time.Millisecond, func() { o.runOnControlThread(func() { o.pool.RecordPoll(o.w.moment(), a, late, nil) }) })
		}
		f.polls = append(f.polls, reply)
		o.w.after(wait, reply)
	})
}

// order delivers an order over a network with faults.
func (o *fakeOwner) order(to string, do func(f *fakeWorker) (any, error), answer func(any, error)) {
	w := o.w
	lost := func() {
		w.after(700*time.Millisecond, func() { o.runOnControlThread(func() { answer(nil, errLost) }) })
	}
	latency := time.Duration(200+w.random.IntN(3000)) * time.Microsecond
	chance := w.random.Float64()
	w.after(latency+o.sendDelay, func() {
		f := w.workers[to]
		switch {
		case f == nil:
			o.runOnControlThread(func() { answer(nil, worker.IncarnationEndedError{ID: to}) })
		case f.dead || f.disconnected || o.unreachable[to] || chance < w.faults.lostBefore:
			lost()
		case chance < w.faults.lostBefore+w.faults.late:
			lost()
			w.after(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
				if !f.dead && !f.disconnected && w.workers[to] == f {
					_, _ = do(f)
				}
			})
		default:
			got, err := do(f)
			if chance > 1-w.faults.lostAfter {
				lost()
				return
			}
			w.after(latency, func() { o.runOnControlThread(func() { answer(got, err) }) })
		}
	})
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
