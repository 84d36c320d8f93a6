package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// rejections counts the rejections that a pool reports.
type rejections struct {
	noopObserver
	decisions []admission.Decision
}

func (r *rejections) Rejected(_ *job.Spec, d admission.Decision) {
	r.decisions = append(r.decisions, d)
}

// fullPool returns a pool of 2 workers with 4 cores each, whose teams have weights, with far more work of one team than it can do.
func fullPool(t *testing.T) (*simulation, *fakeOwner, *rejections) {
	t.Helper()
	w, o := newSettledSimulation(t)
	seen := &rejections{}
	o.pool.config.Observer = seen
	o.pool.SetWeights(map[string]int{"big": 1, "small": 1})
	for i := range 12 {
		spec := shortJob(8)
		spec.Team = "big"
		w.submit(fmt.Sprintf("%016x", i), spec)
	}
	o.pool.SetObtainable(w.moment(), 0, 0)
	return w, o, seen
}

func teamJob(team string) job.Spec {
	spec := shortJob(4)
	spec.ID, spec.Team = "00000000000fffff", team
	return spec
}

// TestAdmitByShare checks which jobs a full pool accepts, and that values that no sound configuration has change nothing for others.
func TestAdmitByShare(t *testing.T) {
	tests := []struct {
		name     string // the failure that it guards against
		team     string
		change   func(w *simulation, o *fakeOwner, spec *job.Spec)
		rejected bool
	}{
		{name: "the surging team is accepted", team: "big", rejected: true},
		{name: "another team pays for the surge", team: "small"},
		{name: "a team that is not configured is rejected", team: "new"},
		{name: "a weight of 0 entitles to nothing", team: "small", change: func(_ *simulation, o *fakeOwner, _ *job.Spec) {
			o.pool.SetWeights(map[string]int{"big": 1, "small": 0})
		}},
		{name: "a limit of 0 is taken for a limit", team: "small", change: func(_ *simulation, o *fakeOwner, _ *job.Spec) {
			o.pool.SetLimits(map[string]catalog.Resources{"small": {}}, 1)
		}},
		{name: "a limit that is too low for the job is ignored", team: "small", rejected: true, change: func(_ *simulation, o *fakeOwner, spec *job.Spec) {
			o.pool.SetLimits(map[string]catalog.Resources{"small": {CPU: 100}}, 1)
			for i := range 3 {
				other := shortJob(6)
				other.ID, other.Team = job.ID(fmt.Sprintf("%016x", 100+i)), "small"
				o.pool.Submit(o.w.moment(), other)
			}
			spec.Steps[0].Count = 6
		}},
		{name: "a job that the pool has is rejected", team: "big", change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) { spec.ID = "0000000000000001" }},
		{name: "a scheduled job is rejected", team: "big", change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) { spec.Times = 1 }},
		{name: "a long-running job is rejected", team: "big", change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) { spec.Steps[0].LongRunning = true }},
		{name: "a job without an objective is rejected", team: "big", change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) { spec.Policy = job.Policy{Attempts: 4} }},
		{name: "estimates of 0 fail", team: "big", rejected: true, change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) {
			spec.Steps[0].Estimate, spec.Steps[1].Estimate = 0, 0 // its objective is 0.6 s
		}},
		{name: "a step with no work fails", team: "big", rejected: true, change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) { spec.Steps[0].CPU, spec.Steps[1].CPU = 0, 0 }},
		{name: "an estimate of a day, with a day to end, is rejected", team: "big", change: func(_ *simulation, _ *fakeOwner, spec *job.Spec) { spec.Steps[0].Estimate = 24 * time.Hour }},
		{name: "a pool whose capacity is unknown rejects", team: "big", change: func(w *simulation, _ *fakeOwner, _ *job.Spec) { w.now += 2 * time.Second }},
		{name: "a pool without workers rejects", team: "big", change: func(w *simulation, o *fakeOwner, _ *job.Spec) {
			o.pool.SetWorkers(w.moment(), nil)
		}},
		{name: "capacity that is on its way is left out", team: "big", change: func(w *simulation, o *fakeOwner, spec *job.Spec) {
			o.pool.SetObtainable(w.moment(), 400_000, 400_000)
			spec.Policy.Target = 2 * time.Second
		}},
		{name: "capacity that can be requested is left out", team: "big", change: func(w *simulation, o *fakeOwner, spec *job.Spec) {
			o.pool.SetObtainable(w.moment(), 400_000, 0)
			spec.Policy.Target = 4 * time.Second
		}},
		{name: "the time of day of the caller's instance decides", team: "small", change: func(w *simulation, _ *fakeOwner, spec *job.Spec) {
			spec.Accepted = w.moment().Wall.Add(-5 * time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, o, seen := fullPool(t)
			spec := teamJob(test.team)
			if test.change != nil {
				test.change(w, o, &spec)
			}
			err := o.pool.Admit(w.moment(), &spec)
			if (err != nil) != test.rejected {
				t.Errorf("got %v", err)
			}
			if (len(seen.decisions) == 1) != test.rejected {
				t.Errorf("%d rejections were reported: %+v", len(seen.decisions), seen.decisions)
			}
		})
	}
}

// TestAcceptedJobsCountAtOnce accepts jobs at one moment. A summary that is older than the jobs before would accept all of a burst.
func TestAcceptedJobsCountAtOnce(t *testing.T) {
	w, o := newSettledSimulation(t)
	o.pool.SetWeights(map[string]int{"big": 1})
	o.pool.SetObtainable(w.moment(), 0, 0)
	accepted := 0
	for i := range 50 {
		spec := teamJob("big")
		spec.ID = job.ID(fmt.Sprintf("%016x", i))
		if o.pool.Admit(w.moment(), &spec) == nil {
			accepted++
			o.pool.Submit(w.moment(), spec)
		}
	}
	// 8 cores do about 10 core-seconds in the time for which a job may wait; one job has 3.1.
	if accepted < 3 || accepted > 6 {
		t.Errorf("%d of 50 jobs of one burst were accepted, want 3 to 6", accepted)
	}
}

// TestSuccessorDecidesByAcceptedJobs has a successor, which has no history, read the jobs of a full pool from the log. It must reject the
// surging team and accept the other.
func TestSuccessorDecidesByAcceptedJobs(t *testing.T) {
	w, _, _ := fullPool(t)
	w.run(w.now + 100*time.Millisecond)
	o := w.takeOver()
	o.pool.SetWeights(map[string]int{"big": 1, "small": 1})
	o.pool.SetObtainable(w.moment(), 0, 0)
	big, small := teamJob("big"), teamJob("small")
	if err := o.pool.Admit(w.moment(), &big); err == nil {
		t.Error("the successor accepts what its predecessor rejected")
	}
	if err := o.pool.Admit(w.moment(), &small); err != nil {
		t.Errorf("the successor rejects a team that has no work: %v", err)
	}
}

// TestNothingIsRejectedWhileCapacityIsIdle submits jobs of one of several teams to a pool that is not short. Admission by shares must not
// keep a team from capacity that nobody else uses.
func TestNothingIsRejectedWhileCapacityIsIdle(t *testing.T) {
	for seed := range uint64(3) {
		w := newSimulation(seed, 4)
		c := &callers{w: w, o: w.takeOver(), rule: newRule, jobs: map[job.ID]*replayed{}}
		c.o.pool.SetWeights(map[string]int{"big": 1, "small": 99})
		w.run(time.Second)
		c.renewCapacity()
		for i := range 24 { // of 4.3 core-seconds every 450 ms, 60% of 16 cores, or 70% with the tasks that take longer
			w.after(time.Duration(i)*450*time.Millisecond, func() {
				spec := shortJob(6)
				spec.ID, spec.Team = job.ID(fmt.Sprintf("%016x", i)), "big"
				if i%12 == 0 {
					spec.Team = "small"
				}
				c.submit(spec, w.declaredTimes)
			})
		}
		w.run(20 * time.Second)
		if s := c.score(nil); s.rejected > 0 {
			t.Errorf("seed %d: %v", seed, s)
		}
	}
}

// TestEfficiencyOfUniformTasks checks how much of 2 workers with 4 cores and 8,000 MB is counted: counting what no task fits into accepts jobs that are
// then late, and a wrong zero would reject all.
func TestEfficiencyOfUniformTasks(t *testing.T) {
	_, o := newSettledSimulation(t)
	shape := func(cpu, memory int) catalog.Resources { return catalog.Resources{CPU: cpu, MemoryMB: memory} }
	tests := []struct {
		name   string
		shapes map[catalog.Resources]job.CoreTime
		want   float64
	}{
		{"no work", nil, packingEfficiency},
		{"tasks of 1.5 cores", map[catalog.Resources]job.CoreTime{shape(1500, 100): 10}, 0.75},
		{"tasks that fill the memory first", map[catalog.Resources]job.CoreTime{shape(1000, 4000): 10}, 0.5},
		{"small tasks that use what is left", map[catalog.Resources]job.CoreTime{shape(1500, 100): 9, shape(500, 100): 1}, 0.75 / 0.9},
		{"small tasks", map[catalog.Resources]job.CoreTime{shape(100, 100): 10}, packingEfficiency},
		{"two sizes in equal parts", map[catalog.Resources]job.CoreTime{shape(1500, 100): 5, shape(2500, 100): 5}, packingEfficiency},
		{"tasks that no worker can run", map[catalog.Resources]job.CoreTime{shape(5000, 100): 10}, packingEfficiency},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := o.pool.efficiency(test.shapes); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
