package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// cutPlan cuts the worker that runs a task off, again and again.
type cutPlan struct {
	task     job.Name
	cuts     int
	period   time.Duration
	length   time.Duration
	unlisted bool // the worker's entry is missing from the end of its lease until the end of the cut
}

func (c cutPlan) schedule(w *simulation) {
	for i := range c.cuts {
		w.after(4*time.Second+time.Duration(i)*c.period, func() { c.cut(w) })
	}
}

func (c cutPlan) cut(w *simulation) {
	f := w.workers[w.workerOf[c.task]]
	if f == nil {
		return
	}
	f.disconnected = true
	if c.unlisted {
		w.after(testLease, func() { f.unlisted = true })
	}
	w.after(c.length, func() { f.disconnected, f.unlisted = false, false })
}

// TestCutsOfItsWorkerDoNotFailJob guards against issue 31, review/4: a job was shown as failed after its worker had been
// cut off five times, though no worker had crashed under it.
func TestCutsOfItsWorkerDoNotFailJob(t *testing.T) {
	const name = job.ID("0000000000000001")
	task := job.Name{Job: name}
	tests := []struct {
		name string
		plan cutPlan
	}{
		{"five cuts", cutPlan{task: task, cuts: 5, period: 11 * time.Second, length: 5500 * time.Millisecond}},
		{"many cuts little longer than a lease", cutPlan{task: task, cuts: 12, period: 9 * time.Second, length: 4500 * time.Millisecond}},
		{"the entry is missing meanwhile", cutPlan{task: task, cuts: 8, period: 11 * time.Second, length: 7 * time.Second, unlisted: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 6)
				o := w.takeOver()
				observer := &causeObserver{causes: map[Cause]int{}}
				o.pool.config.Observer = observer
				o.askInstances(300 * time.Millisecond)
				w.submit("00000000000000ff", longRunningJob())
				spec := shortJob(1)
				spec.Steps = spec.Steps[:1]
				spec.Steps[0].Estimate = 20 * time.Second
				w.submit(string(name), spec)
				w.work[task] = 20 * time.Second
				test.plan.schedule(w)
				w.run(4*time.Second + time.Duration(test.plan.cuts)*test.plan.period + time.Minute)
				if _, ended := w.jobEnds[name]; !ended || observer.givenUp > 0 || len(w.violations) > 0 {
					t.Errorf("seed %d: ended %v, %d tasks given up after %d ends by silence; %v", seed, ended, observer.givenUp, observer.causes[Silent], w.violations)
				}
				if observer.causes[Silent] < 5 {
					t.Errorf("seed %d: %d ends by silence, so the cuts prove nothing", seed, observer.causes[Silent])
				}
			}
		})
	}
}
