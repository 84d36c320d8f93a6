package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// crashUnder crashes the workers that run tasks of a job, up to a number of them; others are back on their instances after
// their downtime, with the same labels.
func (w *simulation) crashUnder(name job.ID, most int) {
	for id, f := range w.workers {
		for run := range f.runs {
			if run.Task.Job == name && most > 0 && !f.dead {
				most--
				w.kill(id)
				w.after(w.downtime, func() {
					w.replace(id)
					w.workers[fmt.Sprintf("%s-%d", id[:2], w.serial)].labels = f.labels
				})
			}
		}
	}
}

// breakGang ends what still runs of a gang after one of its members has gone.
func (w *simulation) breakGang(name job.ID) {
	for _, f := range w.workers {
		for run := range f.runs {
			if run.Task.Job == name {
				f.end(run, worker.GangMemberEnded)
			}
		}
	}
}

// TestSuspectedTaskWithLabelStartsAgain guards against issue 31, review/3: a task that needs a label never started again
// after its worker had crashed once, since only workers without the label were kept free for it.
func TestSuspectedTaskWithLabelStartsAgain(t *testing.T) {
	const lasting, ordinary = job.ID("00000000000000ff"), job.ID("0000000000000001")
	tests := []struct {
		name string
		long bool // the task that is suspected lasts
		step job.Step
	}{
		{"a label", false, job.Step{Count: 1, CPU: 250, MemoryMB: 200, Estimate: 6 * time.Second, Label: "b"}},
		{"a label and a limit for each worker", false, job.Step{Count: 2, CPU: 250, MemoryMB: 200, Estimate: 6 * time.Second, Label: "b", PerWorker: 1}},
		{"more memory than most workers have left", false, job.Step{Count: 1, CPU: 250, MemoryMB: 7000, Estimate: 6 * time.Second}},
		{"a task that lasts", true, job.Step{Count: 1, CPU: 250, MemoryMB: 200, LongRunning: true, Label: "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 9)
				w.downtime = 4500 * time.Millisecond
				w.workers["w3"].labels, w.workers["w7"].labels = []string{"b"}, []string{"b"}
				w.takeOver().askInstances(300 * time.Millisecond)
				spec := longRunningJob()
				spec.Steps[0].Count, spec.Steps[0].PerWorker, spec.Steps[0].CPU = 9, 1, 250
				w.submit(string(lasting), spec)
				w.run(3 * time.Second)
				w.submit(string(ordinary), job.Spec{Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6}, Steps: []job.Step{test.step}})
				w.run(4 * time.Second)
				w.crashUnder(ordinary, 1)
				w.run(24 * time.Second)
				_, ended := w.jobEnds[ordinary]
				if lasts := w.activeRuns[job.Name{Job: ordinary}] > 0; test.long && !lasts || !test.long && !ended || len(w.violations) > 0 {
					t.Errorf("seed %d: ended %v, runs %v 20 s after the crash; %v", seed, ended, lasts, w.violations)
				}
			}
		})
	}
}

// TestSuspectedGangStartsAgain guards against issue 31, scenario gang: a gang never started again after some of its workers
// had crashed, since one worker was kept free for all of its suspected members.
func TestSuspectedGangStartsAgain(t *testing.T) {
	const lasting, gang = job.ID("00000000000000ff"), job.ID("0000000000000001")
	for _, lost := range []int{1, 3, 6} {
		t.Run(fmt.Sprintf("%d workers crash", lost), func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 9)
				w.downtime = 6 * time.Second
				w.takeOver().askInstances(300 * time.Millisecond)
				spec := longRunningJob()
				spec.Steps[0].Count, spec.Steps[0].PerWorker, spec.Steps[0].CPU = 9, 1, 250
				w.submit(string(lasting), spec)
				w.run(3 * time.Second)
				step := job.Step{Count: 6, CPU: 250, MemoryMB: 200, Estimate: 8 * time.Second, PerWorker: 1, Gang: true}
				w.submit(string(gang), job.Spec{Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6}, Steps: []job.Step{step}})
				for i := range step.Count {
					w.work[job.Name{Job: gang, Index: i}] = 8 * time.Second
				}
				w.run(4 * time.Second)
				w.crashUnder(gang, lost)
				w.breakGang(gang)
				w.run(40 * time.Second)
				if _, ended := w.jobEnds[gang]; !ended || len(w.violations) > 0 {
					t.Errorf("seed %d: the gang has not ended 36 s after the crash; %v", seed, w.violations)
				}
			}
		})
	}
}

// TestLastingTasksDoNotWaitForEachOthersProbation guards against tuul-shed trouble-2 --seed 1088659023320 (LOST): after a change
// of owner a worker crashed under long-running tasks of several jobs. At an unknown age of their runs a probation lasts
// 10 s, and while one job was on probation the others waited for a worker, for 21 s in that day.
func TestLastingTasksDoNotWaitForEachOthersProbation(t *testing.T) {
	const jobs, bound = 3, 9 * time.Second // 6 s after the last run, and 3 s without one
	for seed := range uint64(10) {
		w := newSimulation(seed, 6)
		w.takeOver()
		for i := range jobs {
			w.submit(fmt.Sprintf("%016x", i), longRunningJob())
		}
		w.run(3 * time.Second)
		w.takeOver().askInstances(300 * time.Millisecond)
		w.run(3800 * time.Millisecond)
		w.crashUnder("0000000000000000", 1)
		w.run(3800*time.Millisecond + bound)
		for i := range jobs {
			for n := range longRunningJob().Steps[0].Count {
				if name := (job.Name{Job: job.ID(fmt.Sprintf("%016x", i)), Index: n}); w.activeRuns[name] == 0 {
					t.Errorf("seed %d: %v does not run %v after the crash", seed, name, bound)
				}
			}
		}
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations)
		}
	}
}
