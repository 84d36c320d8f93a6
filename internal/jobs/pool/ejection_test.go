package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Load of the tests of ejections: a sound job ten times a second.
const (
	soundGap      = 100 * time.Millisecond
	troubleAt     = 2 * time.Second
	troubleEnds   = 14 * time.Second
	soundUntil    = 20 * time.Second
	judgedAt      = 34 * time.Second
	maxFailures   = 24                      // runs of sound jobs on a worker that fails all: a tenth of those that begin meanwhile
	maxUnusedTime = 2500 * time.Millisecond // of a sound worker: the first ejection, and finding out that it was wrong
)

func soundJob() job.Spec {
	return job.Spec{
		Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond},
		Steps: []job.Step{{Count: 2, CPU: 400, MemoryMB: 100, Estimate: 200 * time.Millisecond}},
	}
}

// submitHopeless submits a job of which all but some tasks fail wherever they run.
func submitHopeless(w *simulation, number, count, sound int) {
	spec := job.Spec{
		Queue: "q", Policy: job.Policy{Attempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond},
		Steps: []job.Step{{Count: count, CPU: 800, MemoryMB: 100, Estimate: 800 * time.Millisecond}},
	}
	name := fmt.Sprintf("%016x", 0x10000+number)
	w.submit(name, spec)
	for i := sound; i < count; i++ {
		w.hopeless[job.Name{Job: job.ID(name), Index: i}] = true
	}
}

// usage records for how long sound workers were out of use.
type usage struct {
	*simulation
	owner      *fakeOwner
	failing    []string // workers that fail all that they start from troubleAt to troubleEnds
	unused     map[string]time.Duration
	mostUnused int // sound workers at one moment
}

func (u *usage) watch() {
	u.after(soundGap, u.watch)
	count := 0
	for name, h := range u.owner.pool.workers {
		if u.now < time.Second || slices.Contains(u.failing, name) || u.owner.pool.usable(u.moment(), h) {
			continue
		}
		u.unused[name] += soundGap
		count++
	}
	u.mostUnused = max(u.mostUnused, count)
}

// startTrouble has workers fail all that they start for a while.
func (u *usage) startTrouble() {
	for _, name := range u.failing {
		u.after(troubleAt, func() { u.workers[name].failing = true })
		u.after(troubleEnds, func() { u.workers[name].failing = false })
	}
}

// TestFailuresAreBlamedOnTheirCause guards against sound workers that are put out of use by jobs that fail wherever they run, and against
// a worker that fails what it starts and keeps getting work.
func TestFailuresAreBlamedOnTheirCause(t *testing.T) {
	tests := []struct {
		name         string
		hopeless     int // jobs, half a second apart
		count, sound int // tasks of such a job, and those of them that can be done
		failing      []string
	}{
		{"hopeless jobs wider than a worker", 10, 24, 0, nil},
		{"hopeless jobs of seven tasks", 10, 7, 0, nil},
		{"hopeless jobs of one task", 30, 1, 0, nil},
		{"one of eight tasks can be done", 10, 8, 1, nil},
		{"one of eight tasks fails", 20, 8, 7, nil},
		{"a worker fails all", 0, 0, 0, []string{"w0"}},
		{"two workers fail all", 0, 0, 0, []string{"w0", "w1"}},
		{"hopeless jobs and a worker that fails all", 10, 24, 0, []string{"w0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 8)
				u := &usage{simulation: w, owner: w.takeOver(), failing: test.failing, unused: map[string]time.Duration{}}
				u.watch()
				u.startTrouble()
				for i := range int(soundUntil / soundGap) {
					w.after(time.Duration(i)*soundGap, func() { w.submit(fmt.Sprintf("%016x", i+1), soundJob()) })
				}
				for i := range test.hopeless {
					w.after(troubleAt+time.Duration(i)*500*time.Millisecond, func() { submitHopeless(w, i, test.count, test.sound) })
				}
				w.run(judgedAt)
				u.check(t, seed)
			}
		})
	}
}

func (u *usage) check(t *testing.T, seed uint64) {
	t.Helper()
	for name, d := range u.unused {
		if d > maxUnusedTime {
			t.Errorf("seed %d: sound worker %s was out of use for %v, want %v at most", seed, name, d, maxUnusedTime)
		}
	}
	if u.mostUnused > len(u.workers)/4 {
		t.Errorf("seed %d: %d sound workers were out of use at one moment, of %d", seed, u.mostUnused, len(u.workers))
	}
	for _, name := range u.failing {
		if n := u.workers[name].failures; n > maxFailures {
			t.Errorf("seed %d: %d runs that can be done failed on %s, want %d at most", seed, n, name, maxFailures)
		}
		if !u.owner.pool.usable(u.moment(), u.owner.pool.workers[name]) {
			t.Errorf("seed %d: %s is not in use %v after it stopped failing", seed, name, judgedAt-troubleEnds)
		}
	}
	for i := range int(soundUntil / soundGap) {
		name := job.ID(fmt.Sprintf("%016x", i+1))
		if state, _ := u.owner.pool.State(name); state != job.Completed {
			t.Errorf("seed %d: job %s is %v, want completed", seed, name, state)
		}
	}
}
