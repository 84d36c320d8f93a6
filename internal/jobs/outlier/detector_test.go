package outlier

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// script is what a test does to a detector of workers a to h.
type script struct {
	*Detector
	now time.Duration
}

func (s *script) fail(worker, step string, tasks ...int) {
	for _, i := range tasks {
		s.RecordFailed(s.now, Run{Task: task(step, i), Worker: worker, Began: s.now - time.Second}, false)
	}
}

func (s *script) done(worker, step string, tasks ...int) {
	for _, i := range tasks {
		s.RecordDone(s.now, Run{Task: task(step, i), Worker: worker, Began: s.now - time.Second})
	}
}

func (s *script) wait(d time.Duration) { s.now += d }

// eject ejects worker a for initialEjection.
func (s *script) eject() {
	s.fail("a", "s1", 0)
	s.fail("a", "s2", 0)
	s.fail("a", "s3", 0)
}

func task(step string, index int) job.Name { return job.Name{Job: job.ID(step), Index: index} }

// TestDetector guards against ejections of sound workers by what also fails elsewhere, against workers that fail what they start and stay in
// use, and against ejections that nothing takes back.
func TestDetector(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *script)
		want State // of worker a
	}{
		{"many tasks of one step", func(s *script) { s.fail("a", "s1", 0, 1, 2, 3, 4, 5, 6) }, Healthy},
		{"two steps", func(s *script) { s.fail("a", "s1", 0); s.fail("a", "s2", 0) }, Healthy},
		{"three steps", func(s *script) { s.eject() }, Ejected},
		{"three steps, one of which fails elsewhere", func(s *script) { s.fail("b", "s1", 1); s.eject() }, Healthy},
		{"one of three steps fails elsewhere later", func(s *script) { s.eject(); s.wait(time.Second); s.fail("b", "s1", 0) }, Healthy},
		{"steps that fail on another ejected worker", func(s *script) {
			s.fail("b", "t1", 0)
			s.fail("b", "t2", 0)
			s.fail("b", "t3", 0)
			s.eject()
			s.fail("b", "s1", 1)
		}, Ejected},
		{"tasks of one step, others of which are done elsewhere", func(s *script) {
			s.fail("a", "s1", 0)
			s.done("b", "s1", 3)
			s.fail("a", "s1", 1, 2)
		}, Ejected},
		{"tasks that are done elsewhere later, and others fail there", func(s *script) {
			s.fail("a", "s1", 0, 1, 2)
			s.fail("b", "s1", 3)
			s.wait(time.Second)
			s.done("c", "s1", 0, 1, 2)
		}, Ejected},
		{"few failures among many ends that are done", func(s *script) {
			s.fail("a", "s1", 0, 1, 2)
			s.done("a", "s2", 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
			s.wait(time.Second)
			s.done("b", "s1", 0, 1, 2)
		}, Healthy},
		{"a later run is done", func(s *script) { s.eject(); s.wait(100 * time.Millisecond); s.done("a", "s4", 0) }, Healthy},
		{"an earlier run is done", func(s *script) {
			s.wait(time.Second)
			s.eject()
			s.now -= 100 * time.Millisecond
			s.done("a", "s4", 0)
		}, Ejected},
		{"failures far apart", func(s *script) {
			s.fail("a", "s1", 0)
			s.wait(evidenceTTL)
			s.fail("a", "s2", 0)
			s.fail("a", "s3", 0)
		}, Healthy},
		{"the ejection is over", func(s *script) { s.eject(); s.wait(initialEjection) }, Probing},
		{"a probe is done", func(s *script) { s.eject(); s.wait(initialEjection + time.Second); s.probe(); s.done("a", "s4", 0) }, Healthy},
		{"a probe fails", func(s *script) { s.eject(); s.wait(initialEjection); s.probe(); s.fail("a", "s4", 0) }, Ejected},
		{"a probe fails that fails elsewhere, too", func(s *script) {
			s.eject()
			s.wait(initialEjection)
			s.probe()
			s.fail("a", "s4", 0)
			s.fail("b", "s4", 0)
		}, Probing},
		{"a run from before the ejection fails late", func(s *script) { s.eject(); s.wait(initialEjection); s.State(s.now, "a"); s.fail("a", "s4", 0) }, Probing},
		{"nothing ends for long", func(s *script) {
			s.eject()
			s.wait(initialEjection)
			s.State(s.now, "a")
			s.wait(maxProbing)
		}, Healthy},
		{"the second ejection is longer", func(s *script) {
			s.eject()
			s.wait(initialEjection)
			s.probe()
			s.fail("a", "s4", 0)
			s.wait(2*initialEjection - time.Millisecond)
		}, Ejected},
		{"the worker has started anew", func(s *script) { s.eject(); s.Forget("a") }, Healthy},
		{"the only worker", func(s *script) { s.SetSize(1); s.eject() }, Healthy},
		{"more than half would be ejected", func(s *script) {
			s.SetSize(3)
			s.fail("b", "t1", 0)
			s.fail("b", "t2", 0)
			s.fail("b", "t3", 0)
			s.eject()
		}, Healthy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &script{Detector: New(), now: time.Minute}
			s.SetSize(8)
			test.do(s)
			if got, _ := s.State(s.now, "a"); got != test.want {
				t.Errorf("worker a is %v, want %v", got, test.want)
			}
		})
	}
}

// probe lets runs begin that are ordered after the ejection.
func (s *script) probe() {
	s.State(s.now, "a")
	s.wait(time.Second)
}

// TestFailuresAreForgotten guards against memory that grows with each job that fails, and against a wide step that costs the square of
// its tasks.
func TestFailuresAreForgotten(t *testing.T) {
	s := &script{Detector: New(), now: time.Minute}
	s.SetSize(8)
	for i := range 20_000 {
		s.fail("a", "wide", i)
	}
	if n := len(s.steps[keyOf(task("wide", 0))].failures["a"]); n > maxTasks {
		t.Errorf("%d tasks of one step are remembered, want %d at most", n, maxTasks)
	}
	s.wait(recordTTL + evidenceTTL)
	s.fail("a", "last", 0)
	if len(s.steps) != 1 || len(s.workers["a"].steps) != 1 {
		t.Errorf("%d steps are remembered, %d of them for the worker; want the newest one", len(s.steps), len(s.workers["a"].steps))
	}
}
