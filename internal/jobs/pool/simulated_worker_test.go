package pool

import (
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// fakeWorker is one incarnation of a worker.
type fakeWorker struct {
	w                *simulation
	id               string
	capacity         catalog.Resources
	earlierCapacity  catalog.Resources // before its newest change, which counts from capacityCounts on
	capacityCounts   time.Duration
	clockRate        float64 // rate of its clock relative to simulated time
	startedAt        time.Duration
	incarnationStart time.Time
	earlierEntry     catalog.Worker // entry of the previous incarnation under the same id
	fence            int64
	leaseEnd         time.Duration // end of the lease on its clock
	runs             map[worker.Run]*fakeRun
	highestEnded     map[job.Name]int // highest number of a run that ended or was stopped
	ends             []worker.End
	doneAt           map[worker.Run]time.Duration // when runs ended done
	lapsedAt         time.Duration                // when its lease last ran out
	lastEndNumber    int64
	dead             bool
	disconnected     bool
	labels           []string
	unlisted         bool          // its entry is missing although it lives
	entryUntil       time.Duration // when its entry is removed after its end
	draining         bool
	failing          bool // all runs that begin on it end failed
	failures         int  // runs that ended failed by its fault alone
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
		incarnationStart: w.moment().Wall.Truncate(time.Millisecond), runs: map[worker.Run]*fakeRun{}, doneAt: map[worker.Run]time.Duration{}, highestEnded: map[job.Name]int{},
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
	f.lapsedAt = f.w.now
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
	if !f.capacity.Covers(used) && (w.now >= f.capacityCounts || !f.earlierCapacity.Covers(used)) {
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
	w.newestStart[s.Task] = w.now
	w.workerOf[s.Task] = f.id
	if w.began != nil {
		w.began(s.Run, step)
	}
	serial := run.serial
	byWorker, byTask := f.failing, w.hopeless[s.Task]
	if after, deadly := w.deadly[s.Task]; deadly {
		f.crashAfter(after, s.Run, serial)
		return
	}
	if step.LongRunning {
		return
	}
	w.after(w.work[s.Task], func() {
		if now, ok := f.runs[s.Run]; !ok || now.serial != serial {
			return
		}
		outcome := worker.Done
		if byWorker && !byTask {
			f.failures++
		}
		if byWorker || byTask || w.random.Float64() < w.failureRate {
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
		f.doneAt[run] = f.w.now
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
	f := w.workers[w.workerOf[task]]
	if f == nil {
		return false
	}
	for run := range f.runs {
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
			f.checkAck(e.Run)
		case e.Outcome == worker.Failed:
			f.w.failures[e.Task]++
		}
	}
	f.ends = kept
	return f.report(), nil
}

// checkAck checks, when the end of a run as done is acknowledged, that no other run of its task began after that end. The lease of the
// worker may have run out since, but in a simulation in which each worker can be asked in time.
func (f *fakeWorker) checkAck(run worker.Run) {
	done := f.doneAt[run]
	if started := f.w.newestStart[run.Task]; started > done && (f.w.allReachable || f.lapsedAt <= done) {
		f.w.addViolation("TWICE: %v ended done at %v, its task was started again at %v, and then that end was acknowledged", run, done, started)
	}
}

func (f *fakeWorker) report() worker.Report {
	r := worker.Report{Reply: f.reply(), Ended: append([]worker.End(nil), f.ends...)}
	for run := range f.runs {
		r.Running = append(r.Running, worker.Running{Run: run, Percent: 100})
	}
	return r
}

// capacityNotice is how long after it has shrunk a worker may still be sent what it had room for.
const capacityNotice = 100 * time.Millisecond

func (f *fakeWorker) setCapacity(c catalog.Resources) {
	f.earlierCapacity, f.capacity, f.capacityCounts = f.capacity, c, f.w.now+capacityNotice
}

func (f *fakeWorker) entry() catalog.Worker {
	return catalog.Worker{
		ID: f.id, Pool: "p", Instance: f.instance(), Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: f.capacity, Clock: f.clock(),
		StartedAt: f.incarnationStart, Draining: f.draining, Labels: f.labels,
	}
}
