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
	replace  replacement
	before   time.Duration // how long before the end of a cut the owner is replaced
}

// replacement is how the owner of a pool is replaced during a cut.
type replacement int

const (
	kept       replacement = iota // the owner stays
	killed                        // it is killed, and its successor takes over a second later
	handedOver                    // its successor takes over from the running owner
)

// replaceOwner replaces the newest owner.
func (c cutPlan) replaceOwner(w *simulation) {
	switch c.replace {
	case kept:
	case killed:
		w.owners[len(w.owners)-1].terminated = true
		w.after(time.Second, c.takeOver(w))
	case handedOver:
		c.takeOver(w)()
	}
}

// takeOver returns a function that starts an owner that asks the instance service about silent workers.
func (c cutPlan) takeOver(w *simulation) func() {
	return func() {
		o := w.takeOver()
		o.pool.config.Observer = w.owners[0].pool.config.Observer
		o.askInstances(300 * time.Millisecond)
	}
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
	w.after(c.length-c.before, func() { c.replaceOwner(w) })
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
		t.Run(test.name, func(t *testing.T) { checkCuts(t, name, test.plan) })
	}
}

// TestCutsWhoseOwnerIsReplacedDoNotFailJob guards against issue 40, review/6: an owner that had counted a worker without
// an entry as crashed was replaced, and its successor kept the count when the worker answered again.
func TestCutsWhoseOwnerIsReplacedDoNotFailJob(t *testing.T) {
	const name = job.ID("0000000000000001")
	plan := cutPlan{task: job.Name{Job: name}, cuts: 6, period: 13 * time.Second, length: 7 * time.Second, unlisted: true}
	tests := []struct {
		name    string
		replace replacement
		before  time.Duration
		cuts    int
		length  time.Duration
	}{
		{"killed shortly before the end of the cut", killed, 400 * time.Millisecond, 6, 7 * time.Second},
		{"killed long before the end of the cut", killed, 2500 * time.Millisecond, 7, 8 * time.Second},
		{"handed over", handedOver, 500 * time.Millisecond, 6, 7 * time.Second},
		{"handed over long before the end of the cut", handedOver, 2 * time.Second, 9, 6500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := plan
			plan.replace, plan.before, plan.cuts, plan.length = test.replace, test.before, test.cuts, test.length
			checkCuts(t, name, plan)
		})
	}
}

// checkCuts checks that cuts of the worker of a job's task do not fail the job.
func checkCuts(t *testing.T, name job.ID, plan cutPlan) {
	t.Helper()
	for seed := range uint64(10) {
		w := newSimulation(seed, 6)
		observer := &causeObserver{causes: map[Cause]int{}}
		o := w.takeOver()
		o.pool.config.Observer = observer
		o.askInstances(300 * time.Millisecond)
		w.submit("00000000000000ff", longRunningJob())
		spec := shortJob(1)
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].Estimate = 20 * time.Second
		w.submit(string(name), spec)
		w.work[plan.task] = 20 * time.Second
		plan.schedule(w)
		w.run(4*time.Second + time.Duration(plan.cuts)*plan.period + time.Minute)
		if _, ended := w.jobEnds[name]; !ended || observer.givenUp > 0 || len(w.violations) > 0 {
			t.Errorf("seed %d: ended %v, %d tasks given up after %d ends by silence; %v", seed, ended, observer.givenUp, observer.causes[Silent], w.violations)
		}
		if observer.causes[Silent] < 5 {
			t.Errorf("seed %d: %d ends by silence, so the cuts prove nothing", seed, observer.causes[Silent])
		}
	}
}
