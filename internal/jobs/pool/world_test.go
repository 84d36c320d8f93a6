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

// world plays owners of one pool against workers in fake time and notes every broken promise.
type world struct {
	random  *rand.Rand
	now     time.Duration
	events  agenda
	serial  int
	workers map[string]*fakeWorker
	faults  faults
	owners  []*fakeOwner
	epoch   int64
	log     map[job.ID]*Stored // what the fake log holds
	broken  []string
	work    map[job.Name]time.Duration // true length of a task
	done    map[job.Name]bool          // a run has ended done
	acked   map[job.Name]bool          // and that was acknowledged
	failed  map[job.Name]int
	places  map[job.Name]int // runs at this moment
	fails   float64
	leaving []string                 // workers that are to be emptied
	parting map[worker.Run]bool      // runs whose stop was ordered
	at      map[job.Name]string      // worker of a run at this moment
	ended   map[job.ID]time.Duration // when a job's end was stored
	delay   time.Duration            // from a worker's start under an old id until its entry says so
}

// faults are the chances of what may happen to a single order.
type faults struct{ lostBefore, lostAfter, late float64 }

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].serial < a[j].serial
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, workers int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*fakeWorker{}, log: map[job.ID]*Stored{},
		work: map[job.Name]time.Duration{}, done: map[job.Name]bool{}, acked: map[job.Name]bool{}, failed: map[job.Name]int{}, places: map[job.Name]int{}, parting: map[worker.Run]bool{}, at: map[job.Name]string{},
		ended: map[job.ID]time.Duration{},
	}
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now + d, serial: w.serial, do: do})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) moment() Moment {
	return Moment{Steady: w.now + time.Hour, Wall: time.Unix(1_000_000, 0).Add(w.now)}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// fakeWorker is one life of a worker.
type fakeWorker struct {
	w        *world
	id       string
	room     catalog.Amount
	slow     float64 // rate of its clock
	began    time.Duration
	born     time.Time
	earlier  catalog.Worker // entry of the life before, under the same id
	fence    int64
	until    time.Duration // end of the lease by its clock
	runs     map[worker.Run]*fakeRun
	barred   map[job.Name]int // highest run that ended or was stopped
	ends     []worker.End
	number   int64
	dead     bool
	cut      bool
	draining bool
	polls    []func()
}

type fakeRun struct {
	need   catalog.Amount
	began  time.Duration
	serial int
}

func (w *world) addWorker(id string) {
	f := &fakeWorker{
		w: w, id: id, room: catalog.Amount{CPU: 4000, MemoryMB: 8000}, slow: 0.98 + 0.02*w.random.Float64(), began: w.now,
		born: w.moment().Wall, runs: map[worker.Run]*fakeRun{}, barred: map[job.Name]int{},
	}
	w.workers[id] = f
}

// firstReading is what a worker's clock shows when the worker starts.
const firstReading = 50 * time.Millisecond

func (f *fakeWorker) clock() time.Duration {
	return time.Duration(float64(f.w.now-f.began)*f.slow) + firstReading
}

func (f *fakeWorker) answer() worker.Answer { return worker.Answer{Clock: f.clock(), Born: f.born} }

func (f *fakeWorker) refuse(r worker.Reason) error {
	return worker.RefusedError{Reason: r, Answer: f.answer()}
}

func (f *fakeWorker) extend(until time.Duration) {
	f.until = max(f.until, min(until, f.clock()+10*time.Second))
	left := time.Duration(float64(f.until-f.clock()) / f.slow)
	f.w.after(left+time.Millisecond, f.lapse)
}

func (f *fakeWorker) lapse() {
	if f.clock() < f.until {
		return
	}
	for run := range f.runs {
		f.end(run, worker.Lapsed)
	}
}

func (f *fakeWorker) start(s worker.Start) (worker.Answer, error) {
	switch {
	case s.Fence < f.fence:
		return worker.Answer{}, f.refuse(worker.Fenced)
	case s.Until <= f.clock():
		return worker.Answer{}, f.refuse(worker.Late)
	}
	f.fence = s.Fence
	if _, there := f.runs[s.Run]; there {
		return f.answer(), nil
	}
	if f.barred[s.Task] >= s.Number {
		return worker.Answer{}, f.refuse(worker.Old)
	}
	f.extend(s.Until)
	f.begin(s)
	return f.answer(), nil
}

// begin runs a task and checks what a start must not break.
func (f *fakeWorker) begin(s worker.Start) {
	w := f.w
	spec := w.log[s.Task.Job].Spec
	step := &spec.Steps[s.Task.Step]
	used := needOf(step)
	for _, r := range f.runs {
		used = used.Plus(r.need)
	}
	if !f.room.Holds(used) {
		w.breaks("LIMIT: %v over the room of %s", s.Run, f.id)
	}
	if w.places[s.Task] > 0 {
		w.breaks("TWICE: %v runs already", s.Run)
	}
	if w.acked[s.Task] {
		w.breaks("TWICE: %v is done", s.Run)
	}
	if spec.Policy.Attempts > 0 && w.failed[s.Task] >= spec.Policy.Attempts {
		w.breaks("BUDGET: %v has failed %d times", s.Run, w.failed[s.Task])
	}
	for _, before := range step.After {
		for i := range spec.Steps[before].Count {
			if !w.done[job.Name{Job: s.Task.Job, Step: before, Index: i}] {
				w.breaks("ORDER: %v before step %d", s.Run, before)
			}
		}
	}
	w.serial++
	run := &fakeRun{need: needOf(step), began: w.now, serial: w.serial}
	f.runs[s.Run] = run
	w.places[s.Task]++
	w.at[s.Task] = f.id
	if step.Lasting {
		return
	}
	serial := run.serial
	w.after(w.work[s.Task], func() {
		if now, ok := f.runs[s.Run]; !ok || now.serial != serial {
			return
		}
		how := worker.Done
		if w.random.Float64() < w.fails {
			how = worker.Failed
		}
		f.end(s.Run, how)
	})
}

func (f *fakeWorker) end(run worker.Run, how worker.How) {
	delete(f.runs, run)
	f.w.places[run.Task]--
	if how == worker.Done {
		f.w.done[run.Task] = true
	}
	f.barred[run.Task] = max(f.barred[run.Task], run.Number)
	f.number++
	f.ends = append(f.ends, worker.End{Run: run, Number: f.number, How: how})
	polls := f.polls
	f.polls = nil
	for _, poll := range polls {
		poll()
	}
}

func (f *fakeWorker) stop(run worker.Run, fence int64) (worker.Answer, error) {
	if fence < f.fence {
		return worker.Answer{}, f.refuse(worker.Fenced)
	}
	f.fence = fence
	f.barred[run.Task] = max(f.barred[run.Task], run.Number)
	if r, there := f.runs[run]; there {
		serial := r.serial
		f.part(run)
		f.w.after(time.Duration(f.w.random.IntN(800))*time.Millisecond, func() {
			if now, ok := f.runs[run]; ok && now.serial == serial {
				f.end(run, worker.Stopped)
			}
		})
	}
	return f.answer(), nil
}

// part checks that a step can miss one more of its tasks when a stop reaches a worker that does not drain.
func (f *fakeWorker) part(run worker.Run) {
	w := f.w
	spec := w.log[run.Task.Job].Spec
	limit := spec.Steps[run.Task.Step].MaxUnavailable
	if limit == 0 || f.draining || w.parting[run] {
		return
	}
	w.parting[run] = true
	away := 0
	for i := range spec.Steps[run.Task.Step].Count {
		other := run.Task
		other.Index = i
		if i != run.Task.Index && (w.places[other] == 0 || w.partingNow(other)) {
			away++
		}
	}
	if away >= limit {
		w.breaks("AVAIL: %v is stopped while %d others are away", run, away)
	}
}

func (w *world) partingNow(task job.Name) bool {
	for run := range w.workers[w.at[task]].runs {
		if run.Task == task && w.parting[run] {
			return true
		}
	}
	return false
}

func (f *fakeWorker) hold(h worker.Hold) (worker.Report, error) {
	if h.Fence < f.fence {
		return worker.Report{}, f.refuse(worker.Fenced)
	}
	f.fence = h.Fence
	if h.Until > 0 {
		f.extend(h.Until)
	}
	kept := f.ends[:0:0]
	for _, e := range f.ends {
		switch {
		case e.Number > h.Acked:
			kept = append(kept, e)
		case e.How == worker.Done:
			f.w.acked[e.Task] = true
		case e.How == worker.Failed:
			f.w.failed[e.Task]++
		}
	}
	f.ends = kept
	return f.report(), nil
}

func (f *fakeWorker) report() worker.Report {
	r := worker.Report{Answer: f.answer(), Ended: append([]worker.End(nil), f.ends...)}
	for run := range f.runs {
		r.Running = append(r.Running, worker.Running{Run: run, Percent: 100})
	}
	return r
}

// fakeOwner drives a Pool the way its owner does.
type fakeOwner struct {
	w       *world
	pool    *Pool
	epoch   int64
	writing bool
	frozen  bool
	gone    bool
	backlog []func()
	proven  time.Duration
	cutFrom map[string]bool
	deaf    bool          // cut off from the log
	stall   time.Duration // for which it stands still between deciding and sending
}

const (
	testLease     = 4 * time.Second
	testInherited = 8660 * time.Millisecond // as the owner of a pool reckons it
	testOwnerLife = 4 * time.Second
)

// takeOver makes a new owner, as its claim would.
func (w *world) takeOver() *fakeOwner {
	w.epoch++
	o := &fakeOwner{w: w, epoch: w.epoch, proven: w.now, cutFrom: map[string]bool{}}
	o.pool = New(Config{Name: "p", Fence: w.epoch, Lease: testLease, Inherited: testInherited, Retention: time.Minute})
	o.pool.SetWorkers(w.moment(), w.list())
	var all []Stored
	for _, s := range w.log {
		copied := *s
		all = append(all, copied)
	}
	o.pool.Restore(w.moment(), all)
	w.owners = append(w.owners, o)
	o.tick()
	return o
}

func (w *world) list() []catalog.Worker {
	var list []catalog.Worker
	for _, f := range w.workers {
		switch {
		case f.earlier.ID != "" && w.now < f.began+w.delay:
			list = append(list, f.earlier)
		case !f.dead:
			list = append(list, f.entry())
		}
	}
	return list
}

func (f *fakeWorker) entry() catalog.Worker {
	return catalog.Worker{
		ID: f.id, Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: f.room, Clock: f.clock(),
		Born: f.born, Draining: f.draining,
	}
}

func (o *fakeOwner) tick() {
	if o.gone {
		return
	}
	o.w.after(20*time.Millisecond, o.tick)
	o.act(func() {})
}

// act runs something on the owner's control thread; a frozen owner does it when it wakes.
func (o *fakeOwner) act(f func()) {
	if o.gone {
		return
	}
	if o.frozen {
		o.backlog = append(o.backlog, f)
		return
	}
	f()
	switch {
	case o.deaf: // no answer, neither a proof nor a refusal
	case o.epoch == o.w.epoch:
		o.proven = o.w.now
	case !o.writing && o.w.now-o.proven > time.Second:
		o.gone = true // its next proof is refused
		return
	}
	if o.w.now-o.proven > testOwnerLife {
		return
	}
	at := o.w.moment()
	o.pool.SetWorkers(at, o.w.list())
	o.pool.Tick(at)
	o.pool.SetCordoned(at, o.w.leaving, nil)
	if !o.writing {
		o.pool.Clear()
		o.pool.Rescue(at)
		o.pool.Place(at)
		o.write()
	}
	o.send()
}

func (o *fakeOwner) write() {
	b := o.pool.Flush()
	if b.Empty() {
		o.pool.NothingToStore(b)
		return
	}
	o.writing = true
	o.w.after(8*time.Millisecond, func() {
		if o.deaf {
			return
		}
		if o.epoch != o.w.epoch {
			o.gone = true // fenced off
			return
		}
		for _, s := range b.Jobs {
			progress := s.Progress
			if data, err := cbor.Marshal(progress); err == nil {
				var copied job.Progress
				if cbor.Unmarshal(data, &copied) == nil {
					o.w.log[s.ID].Progress = &copied
					o.w.noteEnd(s.ID, copied.State)
				}
			}
		}
		o.act(func() {
			o.writing = false
			o.pool.Stored(o.w.moment(), b)
		})
	})
}

func (w *world) noteEnd(name job.ID, state job.State) {
	if _, known := w.ended[name]; state.Ended() && !known {
		w.ended[name] = w.now
	}
}

var errLost = errors.New("no answer")

func (o *fakeOwner) send() {
	for _, a := range o.pool.Actions() {
		switch a := a.(type) {
		case StartAction:
			o.order(a.To.ID, func(f *fakeWorker) (any, error) { return f.start(a.Start) }, func(answer any, err error) {
				got, _ := answer.(worker.Answer)
				o.pool.Started(o.w.moment(), a, got, err)
			})
		case StopAction:
			o.order(a.To.ID, func(f *fakeWorker) (any, error) { return f.stop(a.Run, a.Fence) }, func(answer any, err error) {
				got, _ := answer.(worker.Answer)
				o.pool.StopAnswered(o.w.moment(), a, got, err)
			})
		case LookAction:
			o.look(a)
		case PaceAction:
		}
	}
}

func (o *fakeOwner) look(a LookAction) {
	wait := a.Hold.Wait
	o.order(a.To.ID, func(f *fakeWorker) (any, error) { return f.hold(a.Hold) }, func(answer any, err error) {
		report, ok := answer.(worker.Report)
		if err != nil || !ok || wait == 0 || len(report.Ended) > 0 {
			o.pool.Looked(o.w.moment(), a, report, err)
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
				o.act(func() { o.pool.Looked(o.w.moment(), a, worker.Report{}, errLost) })
				return
			}
			late := f.report()
			o.w.after(time.Millisecond, func() { o.act(func() { o.pool.Looked(o.w.moment(), a, late, nil) }) })
		}
		f.polls = append(f.polls, reply)
		o.w.after(wait, reply)
	})
}

// order carries an order over a network with faults.
func (o *fakeOwner) order(to string, do func(f *fakeWorker) (any, error), answer func(any, error)) {
	w := o.w
	lost := func() { w.after(700*time.Millisecond, func() { o.act(func() { answer(nil, errLost) }) }) }
	way := time.Duration(200+w.random.IntN(3000)) * time.Microsecond
	chance := w.random.Float64()
	w.after(way+o.stall, func() {
		f := w.workers[to]
		switch {
		case f == nil:
			o.act(func() { answer(nil, worker.OtherLifeError{ID: to}) })
		case f.dead || f.cut || o.cutFrom[to] || chance < w.faults.lostBefore:
			lost()
		case chance < w.faults.lostBefore+w.faults.late:
			lost()
			w.after(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
				if !f.dead && !f.cut && w.workers[to] == f {
					_, _ = do(f)
				}
			})
		default:
			got, err := do(f)
			if chance > 1-w.faults.lostAfter {
				lost()
				return
			}
			w.after(way, func() { o.act(func() { answer(got, err) }) })
		}
	})
}

// submit hands a job of one or two steps in.
func (w *world) submit(name string, spec job.Spec) {
	spec.ID = job.ID(name)
	spec.Accepted = w.moment().Wall
	for s := range spec.Steps {
		for i := range spec.Steps[s].Count {
			estimate := spec.Steps[s].Estimate
			w.work[job.Name{Job: spec.ID, Step: s, Index: i}] = time.Duration(float64(estimate) * (0.6 + 0.8*w.random.Float64()))
		}
	}
	w.log[spec.ID] = &Stored{Spec: spec}
	for _, o := range w.owners {
		o.act(func() { o.pool.Submit(w.moment(), spec) })
	}
}

func (w *world) kill(id string) {
	f := w.workers[id]
	f.dead = true
	for run := range f.runs {
		delete(f.runs, run)
		w.places[run.Task]--
	}
}

// restart gives a dead worker a new life under its id.
func (w *world) restart(id string) {
	if before := w.workers[id]; before.dead {
		w.addWorker(id)
		w.workers[id].earlier = before.entry()
	}
}

// unfinished returns the jobs that the newest owner does not hold for completed or failed.
func (w *world) unfinished() []job.ID {
	var names []job.ID
	o := w.owners[len(w.owners)-1]
	for name, s := range w.log {
		if s.Spec.Lasting() {
			continue
		}
		if state, _ := o.pool.Known(name); !state.Ended() {
			names = append(names, name)
		}
	}
	return names
}
