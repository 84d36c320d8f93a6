package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// causeObserver counts the causes of ends.
type causeObserver struct {
	noopObserver
	causes  map[Cause]int
	givenUp int
}

func (o *causeObserver) Ended(_ *job.Spec, e RunEnd)      { o.causes[e.Cause]++ }
func (o *causeObserver) GivenUp(_ *job.Spec, _ *job.Task) { o.givenUp++ }

// TestSilenceIsTakenForACrashOfOneWorkerOnly checks what an owner makes of workers that stop answering: one of them may
// have crashed, but a paused owner or a cut of the network says nothing about the tasks.
func TestSilenceIsTakenForACrashOfOneWorkerOnly(t *testing.T) {
	tests := []struct {
		name   string
		script func(w *simulation, o *fakeOwner)
		want   Cause
	}{
		{"one worker is silent", func(w *simulation, _ *fakeOwner) { w.workers["w0"].disconnected = true }, Silent},
		{"a cut", func(w *simulation, _ *fakeOwner) {
			for i := range 6 {
				w.workers[fmt.Sprintf("w%d", i)].disconnected = true
			}
		}, Unrenewed},
		{"the owner is paused", func(w *simulation, o *fakeOwner) {
			o.frozen = true
			w.after(6*time.Second, o.wake)
		}, Unrenewed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSimulation(1, 8)
			o := w.takeOver()
			observer := &causeObserver{causes: map[Cause]int{}}
			o.pool.config.Observer = observer
			spec := longRunningJob()
			spec.Steps[0].Count, spec.Steps[0].CPU = 16, 1900
			w.submit("0000000000000001", spec)
			w.run(3 * time.Second)
			test.script(w, o)
			w.run(12 * time.Second)
			for _, cause := range []Cause{Crashed, Silent, Unrenewed} {
				if got := observer.causes[cause] > 0; got != (cause == test.want) {
					t.Errorf("%d runs ended as %v, want %v only", observer.causes[cause], cause, test.want)
				}
			}
			if observer.givenUp > 0 {
				t.Errorf("%d tasks are given up", observer.givenUp)
			}
		})
	}
}

// TestCrashesAreCountedAcrossOwners guards against incident 25 with owners that change after each crash: a task must not
// start again as if nothing had crashed.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(seed, 8)
		w.takeOver()
		name := job.Name{Job: "0000000000000001"}
		w.deadly[name] = 10 * time.Millisecond
		w.submit(string(name.Job), shortJob(1))
		for crashes := 0; w.now < 60*time.Second; {
			w.run(w.now + 50*time.Millisecond)
			if len(w.crashed) > crashes {
				crashes = len(w.crashed)
				w.after(time.Duration(w.random.IntN(4000))*time.Millisecond, func() { w.takeOver() })
			}
		}
		owner := w.owners[len(w.owners)-1]
		if state, _ := owner.pool.State(name.Job); state != job.Failed || len(w.violations) > 0 {
			t.Errorf("seed %d: the job is %v after %d crashes; %v", seed, state, len(w.crashed), w.violations)
		}
	}
}

// TestCrashesAreCountedWhileWorkersAreAway guards against BUDGET where nothing tells for long whether silent workers have
// crashed: a task was started again and again, since none of its crashes was certain yet.
func TestCrashesAreCountedWhileWorkersAreAway(t *testing.T) {
	tests := []struct {
		name     string
		downtime time.Duration
		owners   int // that take over, every 5 s
	}{
		{"for a while", 12 * time.Second, 0},
		{"for a while, owners change", 12 * time.Second, 6},
		{"for longer than five runs take", 30 * time.Second, 0},
		{"for longer than five runs take, owners change", 30 * time.Second, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 16)
				w.downtime = test.downtime
				w.takeOver()
				name := job.Name{Job: "0000000000000001"}
				w.deadly[name] = 10 * time.Millisecond
				w.submit(string(name.Job), shortJob(1))
				for i := range test.owners {
					w.after(time.Duration(i+1)*5*time.Second, func() { w.takeOver() })
				}
				w.run(2 * time.Minute)
				if _, ended := w.jobEnds[name.Job]; !ended || len(w.violations) > 0 {
					t.Errorf("seed %d: given up %v after %d crashes; %v", seed, ended, len(w.crashed), w.violations)
				}
			}
		})
	}
}
