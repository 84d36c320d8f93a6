package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// deadlyDay submits 60 jobs in 12 s, every tenth with a task that crashes the workers that start it.
func deadlyDay(w *simulation, after time.Duration) (deadly []job.ID) {
	w.submit("00000000000000ff", longRunningJob())
	for i := range 60 {
		name := fmt.Sprintf("%016x", i)
		if i%10 == 5 {
			deadly = append(deadly, job.ID(name))
			w.deadly[job.Name{Job: job.ID(name)}] = after
		}
		w.after(time.Duration(1000+w.random.IntN(11000))*time.Millisecond, func() { w.submit(name, shortJob(1+w.random.IntN(6))) })
	}
	return deadly
}

// TestTaskThatCrashesWorkersIsGivenUp guards against incident 25: one task crashed worker after worker, and tasks of
// other jobs were started beside it each time.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		sameID bool
		script func(w *simulation)
	}{
		{"at its start", 10 * time.Millisecond, false, func(*simulation) {}},
		{"at its start, workers are back under their ids", 10 * time.Millisecond, true, func(*simulation) {}},
		{"in the middle of its work", 450 * time.Millisecond, false, func(*simulation) {}},
		{"at its start, workers are away for longer than a lease", 10 * time.Millisecond, false, func(w *simulation) { w.downtime = 6 * time.Second }},
		{"in the middle of its work, workers are away for longer than a lease", 450 * time.Millisecond, true, func(w *simulation) { w.downtime = 6 * time.Second }},
		{"while owners change", 10 * time.Millisecond, false, func(w *simulation) {
			for i := range 6 {
				w.after(time.Duration(3+4*i)*time.Second, func() { w.takeOver() })
			}
		}},
		{"while answers are lost", 10 * time.Millisecond, false, func(w *simulation) { w.faults = faults{lostAfter: 0.1} }},
		{"before any answer shows a run", time.Millisecond, false, func(w *simulation) { w.unseenDeaths = true }},
		{"before any answer shows a run, while owners change", time.Millisecond, false, func(w *simulation) {
			w.unseenDeaths = true
			for i := range 6 {
				w.after(time.Duration(3+4*i)*time.Second, func() { w.takeOver() })
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 8)
				w.sameID = test.sameID
				w.takeOver()
				deadly := deadlyDay(w, test.after)
				test.script(w)
				w.run(60 * time.Second)
				checkDeadlyDay(t, w, seed, deadly)
			}
		})
	}
}

// TestLongRunningTaskThatCrashesWorkersAtOnceIsGivenUp checks the same of a long-running task. Polls show its runs here; those that no
// answer shows are in TestCulpritThatNoAnswerShows.
func TestLongRunningTaskThatCrashesWorkersAtOnceIsGivenUp(t *testing.T) {
	const name = job.ID("00000000000000aa")
	for seed := range uint64(10) {
		w := newSimulation(seed, 8)
		w.unseenDeaths = true
		o := w.takeOver()
		w.deadly[job.Name{Job: name}] = time.Millisecond
		w.submit(string(name), longRunningJob())
		w.run(60 * time.Second)
		if state, _ := o.pool.State(name); state != job.Failed || len(w.violations) > 0 {
			t.Errorf("seed %d: the job is %v after %d crashes; %v", seed, state, len(w.crashed), w.violations)
		}
	}
}

// TestCrashesUnderOneIDCountWhileOwnersChange asks for the same while workers are back under their ids: a crash that a change of owner
// hides has to count, too.
func TestCrashesUnderOneIDCountWhileOwnersChange(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(seed, 8)
		w.sameID = true
		w.takeOver()
		deadly := deadlyDay(w, 10*time.Millisecond)
		for i := range 6 {
			w.after(time.Duration(3+4*i)*time.Second, func() { w.takeOver() })
		}
		w.run(60 * time.Second)
		checkDeadlyDay(t, w, seed, deadly)
	}
}

func checkDeadlyDay(t *testing.T, w *simulation, seed uint64, deadly []job.ID) {
	t.Helper()
	for _, v := range w.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if left := w.unfinished(); len(left) > 0 {
		t.Errorf("seed %d: %d jobs have not ended: %v", seed, len(left), left)
	}
	owner := w.owners[len(w.owners)-1]
	for name, s := range w.log {
		state, _ := owner.pool.State(name)
		_, isDeadly := w.deadly[job.Name{Job: name}]
		switch {
		case isDeadly && state != job.Failed:
			t.Errorf("seed %d: job %s, which crashes workers, is %v", seed, name, state)
		case !isDeadly && !s.Spec.LongRunning() && state != job.Completed:
			t.Errorf("seed %d: job %s, which crashes nothing, is %v", seed, name, state)
		}
	}
	if len(w.crashed) < len(deadly) {
		t.Errorf("seed %d: %d crashes, so the day proves nothing", seed, len(w.crashed))
	}
}

// TestTaskThatCrashedAWorkerStartsAlone guards against incident 25: a task under which a worker had just crashed was
// started beside others again while a worker was free.
func TestTaskThatCrashedAWorkerStartsAlone(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(seed, 8)
		o := w.takeOver()
		observer := &isolationObserver{owner: o}
		o.pool.config.Observer = observer
		deadlyDay(w, 10*time.Millisecond)
		w.run(60 * time.Second)
		for _, c := range observer.accompanied {
			t.Errorf("seed %d: %s", seed, c)
		}
		if observer.restarts == 0 {
			t.Errorf("seed %d: no task was started again after a crash, so the day proves nothing", seed)
		}
	}
}

// isolationObserver records the tasks that start beside runs of other jobs, after a worker has crashed right after their
// start, while the owner knows a free worker.
type isolationObserver struct {
	noopObserver
	owner       *fakeOwner
	crashed     map[job.Name]bool
	restarts    int
	accompanied []string
}

func (o *isolationObserver) Ended(_ *job.Spec, e RunEnd) {
	if o.crashed == nil {
		o.crashed = map[job.Name]bool{}
	}
	if _, deadly := o.owner.w.deadly[e.Task]; deadly && e.Cause == Crashed {
		o.crashed[e.Task] = true
	}
}

func (o *isolationObserver) Placed(spec *job.Spec, task job.Name, run int, name string, _ time.Duration) {
	if !o.crashed[task] {
		return
	}
	o.restarts++
	p := o.owner.pool
	for _, r := range p.workers[name].runs {
		if r.job.job.Spec.ID == spec.ID {
			continue
		}
		for other, h := range p.workers {
			if other != name && len(h.runs) == 0 && p.usable(o.owner.w.moment(), h) && h.free().Covers(needOf(&spec.Steps[task.Step])) {
				o.accompanied = append(o.accompanied, fmt.Sprintf("run %d of %v starts beside %v while %s is free", run, task, r.id, other))
				return
			}
		}
	}
}

// TestTaskThatCrashesFewInstancesIsGivenUp guards against a task that crashes the workers of a pool with few instances for ever, since
// crashes on one instance counted once (BUDGET).
func TestTaskThatCrashesFewInstancesIsGivenUp(t *testing.T) {
	const name = job.ID("00000000000000aa")
	tests := []struct {
		instances   int
		longRunning bool
		after       time.Duration // age of a run at which it crashes its worker
	}{
		{2, false, 450 * time.Millisecond},
		{3, false, 700 * time.Millisecond},
		{2, true, 450 * time.Millisecond},
		{3, true, 10 * time.Millisecond},
		{3, true, 700 * time.Millisecond},
		{3, true, 3 * time.Second},
		{4, true, 700 * time.Millisecond},
		{8, true, 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances, long-running %v, at %v", test.instances, test.longRunning, test.after), func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, test.instances)
				w.downtime = 2 * time.Second
				o := w.takeOver()
				spec := shortJob(1)
				if test.longRunning {
					spec = longRunningJob()
				}
				w.deadly[job.Name{Job: name}] = test.after
				w.submit(string(name), spec)
				w.run(60 * time.Second)
				if state, _ := o.pool.State(name); state != job.Failed || len(w.violations) > 0 {
					t.Errorf("seed %d: the job is %v after %d crashes; %v", seed, state, len(w.crashed), w.violations)
				}
			}
		})
	}
}
