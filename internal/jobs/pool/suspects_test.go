package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Bounds of LOST for jobs that wait though a pool stands idle.
const (
	finishBound = 14 * time.Second // from the end of the traffic
	idleBound   = 3 * time.Second  // for which a job may have nothing running
)

// idleJobs records since when jobs have had nothing running, though under half of the pool is in use.
type idleJobs struct {
	*simulation
	since map[job.ID]time.Duration
	lost  map[job.ID]time.Duration // first time at which a job had been idle for too long
}

// watch looks at the jobs ten times a second.
func (w *idleJobs) watch() {
	w.after(100*time.Millisecond, w.watch)
	used, all := 0, 0
	running := map[job.ID]bool{}
	for _, f := range w.workers {
		if f.dead {
			continue
		}
		all += f.capacity.CPU
		for run, r := range f.runs {
			used += r.need.CPU
			running[run.Task.Job] = true
		}
	}
	for name := range w.log {
		_, ended := w.jobEnds[name]
		if ended || running[name] || w.allDone(name) || 2*used >= all {
			delete(w.since, name)
			continue
		}
		if _, known := w.since[name]; !known {
			w.since[name] = w.now
		}
		if _, known := w.lost[name]; !known && w.now-w.since[name] >= idleBound {
			w.lost[name] = w.now
		}
	}
}

// allDone reports whether all tasks of a job have ended done.
func (w *idleJobs) allDone(name job.ID) bool {
	for s, step := range w.log[name].Spec.Steps {
		for i := range step.Count {
			if !w.done[job.Name{Job: name, Step: s, Index: i}] {
				return false
			}
		}
	}
	return true
}

// burst is a number of jobs that are handed in at one moment, and what befalls their workers.
type burst struct {
	name    string
	workers int
	jobs    int
	cpu     int               // of a task
	work    time.Duration     // of a task
	age     time.Duration     // of the runs when their worker crashes
	first   func(w *idleJobs) // before the jobs
	ahead   func(w *idleJobs) // crashAhead before the crash
	after   func(w *idleJobs) // right after the crash
}

// crashAhead is how long before a crash burst.ahead is called.
const crashAhead = 1500 * time.Millisecond

// crashBusiest crashes the worker with the most runs; another one is on its instance after the downtime.
func (w *idleJobs) crashBusiest() {
	best := ""
	for id, f := range w.workers {
		if !f.dead && (best == "" || len(f.runs) > len(w.workers[best].runs)) {
			best = id
		}
	}
	w.kill(best)
	w.after(w.downtime, func() { w.replace(best) })
}

// play plays a burst and returns the jobs that have not ended a minute after the bound.
func (b *burst) play(seed uint64) (w *idleJobs, left []job.ID) {
	w = &idleJobs{simulation: newSimulation(seed, b.workers), since: map[job.ID]time.Duration{}, lost: map[job.ID]time.Duration{}}
	w.downtime = 4500 * time.Millisecond
	w.takeOver().askInstances(300 * time.Millisecond)
	w.run(2 * time.Second)
	b.first(w)
	w.run(4 * time.Second)
	for i := range b.jobs {
		name := fmt.Sprintf("%016x", i+1)
		w.submit(name, job.Spec{
			Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6},
			Steps: []job.Step{{Count: 1, CPU: b.cpu, MemoryMB: 200, Estimate: b.work}},
		})
		w.work[job.Name{Job: job.ID(name)}] = b.work
	}
	w.run(w.now + b.age - crashAhead)
	b.ahead(w)
	w.run(w.now + crashAhead)
	w.crashBusiest()
	b.after(w)
	w.run(w.now + finishBound)
	w.watch()
	w.run(w.now + time.Minute)
	for name, s := range w.log {
		if _, ended := w.jobEnds[name]; !ended && !s.Spec.LongRunning() {
			left = append(left, name)
		}
	}
	return w, left
}

// TestSuspectsDoNotWaitInAnIdlePool guards against issue 40, review/10 (LOST): after one crash the jobs whose tasks had started
// last on the worker started again one behind the other, while the pool stood idle.
func TestSuspectsDoNotWaitInAnIdlePool(t *testing.T) {
	nothing := func(*idleJobs) {}
	replace := func(w *idleJobs) { w.takeOver().askInstances(300 * time.Millisecond) }
	lasting := func(w *idleJobs) {
		spec := longRunningJob()
		spec.Steps[0].Count, spec.Steps[0].PerWorker, spec.Steps[0].CPU = len(w.workers), 1, 250
		w.submit("00000000000000ff", spec)
	}
	gang := func(w *idleJobs) {
		step := job.Step{Count: 3, CPU: 250, MemoryMB: 200, Estimate: 12 * time.Second, Gang: true}
		w.submit("00000000000000fe", job.Spec{Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6}, Steps: []job.Step{step}})
		for i := range step.Count {
			w.work[job.Name{Job: "00000000000000fe", Index: i}] = step.Estimate
		}
	}
	const s = time.Second
	tests := []burst{
		{"as in the review", 4, 8, 250, 7 * s, 6 * s, nothing, nothing, nothing},
		{"two workers", 2, 5, 250, 9 * s, 8 * s, nothing, nothing, nothing},
		{"many more jobs than workers", 3, 15, 250, 8 * s, 7 * s, nothing, nothing, nothing},
		{"many workers", 12, 14, 250, 8 * s, 7 * s, nothing, nothing, nothing},
		{"long tasks", 5, 9, 400, 25 * s, 20 * s, nothing, nothing, nothing},
		{"the owner is replaced before the crash", 4, 8, 250, 14 * s, 12 * s, nothing, replace, nothing},
		{"the owner is replaced after the crash", 4, 8, 250, 7 * s, 6 * s, nothing, nothing, func(w *idleJobs) {
			w.after(1500*time.Millisecond, func() { replace(w) })
		}},
		{"two crashes shortly after each other", 5, 8, 250, 7 * s, 6 * s, nothing, nothing, func(w *idleJobs) {
			w.after(2500*time.Millisecond, w.crashBusiest)
		}},
		{"tasks that last are on all workers", 4, 8, 250, 7 * s, 6 * s, lasting, nothing, nothing},
		{"a gang is among them", 4, 6, 250, 8 * s, 6 * s, nothing, nothing, nothing},
	}
	tests[len(tests)-1].first = func(w *idleJobs) { w.after(2*s, func() { gang(w) }) }
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w, left := test.play(seed)
				if len(w.lost) > 0 || len(w.violations) > 0 || len(left) > 0 {
					t.Errorf("seed %d: %d jobs had nothing running for %v in an idle pool; not ended: %v; %v", seed, len(w.lost), idleBound, left, w.violations)
				}
			}
		})
	}
}

// TestCulpritAmongSuspectsOfAnIdlePool checks that suspected tasks that share workers of an idle pool cost nothing but time: the
// one that crashes its workers is given up within its budget, and the others are not given up with it.
func TestCulpritAmongSuspectsOfAnIdlePool(t *testing.T) {
	tests := []struct {
		name          string
		workers, jobs int
		culprits      int
		age           time.Duration // of a culprit's runs when it crashes its worker
	}{
		{"at its start", 4, 8, 1, 10 * time.Millisecond},
		{"after a while", 4, 8, 1, 900 * time.Millisecond},
		{"after long", 5, 12, 1, 4 * time.Second},
		{"two of them", 6, 12, 2, 700 * time.Millisecond},
		{"two of them, few workers", 3, 10, 2, 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, test.workers)
				w.downtime = 4500 * time.Millisecond
				w.takeOver().askInstances(300 * time.Millisecond)
				w.run(2 * time.Second)
				culprit := map[job.ID]bool{}
				for i := range test.jobs {
					name := job.ID(fmt.Sprintf("%016x", i+1))
					w.submit(string(name), job.Spec{
						Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6},
						Steps: []job.Step{{Count: 1, CPU: 250, MemoryMB: 200, Estimate: 6 * time.Second}},
					})
					if i%4 == 2 && len(culprit) < test.culprits {
						culprit[name] = true
						w.deadly[job.Name{Job: name}] = test.age
					}
				}
				w.run(55 * time.Second)
				for name := range w.log {
					state, _ := w.owners[0].pool.State(name)
					if want := map[bool]job.State{true: job.Failed, false: job.Completed}[culprit[name]]; state != want {
						t.Errorf("seed %d: job %s, a culprit: %v, is %v", seed, name, culprit[name], state)
					}
				}
				if len(w.violations) > 0 {
					t.Errorf("seed %d: %v", seed, w.violations)
				}
			}
		})
	}
}

// TestFewWorkersOfABusyPoolRunSuspects guards against incident 25: in a busy pool the tasks that a crash makes suspects must
// not take the workers that their neighbours need.
func TestFewWorkersOfABusyPoolRunSuspects(t *testing.T) {
	const workers = 8
	for seed := range uint64(10) {
		w := newSimulation(seed, workers)
		o := w.takeOver()
		o.askInstances(300 * time.Millisecond)
		w.run(time.Second)
		for i := range 40 {
			w.submit(fmt.Sprintf("%016x", i+1), job.Spec{
				Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6},
				Steps: []job.Step{{Count: 4, CPU: 450, MemoryMB: 200, Estimate: 5 * time.Second}},
			})
		}
		w.run(3 * time.Second)
		w.crashUnder("0000000000000001", 1)
		suspects, most := false, 0
		for range 200 {
			w.run(w.now + 20*time.Millisecond)
			alone := 0
			for _, h := range o.pool.workers {
				if h.onProbation > 0 {
					alone++
				}
			}
			suspects = suspects || alone > 0
			most = max(most, alone)
		}
		if !suspects || most > workers/probationFraction {
			t.Errorf("seed %d: %d of %d workers of a full pool run suspected tasks at once", seed, most, workers)
		}
	}
}
