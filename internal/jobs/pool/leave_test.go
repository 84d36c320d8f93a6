package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Times of the tests of tasks that leave their workers.
const (
	leaveAt    = 3 * time.Second // a worker with a task is to be emptied
	storeDelay = 4500 * time.Millisecond
	leaveEnds  = 30 * time.Second
)

// leaveScript is what happens to a job of three long-running tasks of which one may be unavailable at the same time.
type leaveScript struct {
	*simulation
	owner *fakeOwner
}

const leavingJob = job.ID("0000000000000001")

// workerOfTask returns the worker that runs a task.
func (s *leaveScript) workerOfTask(index int) string {
	return s.workerOf[job.Name{Job: leavingJob, Index: index}]
}

// starts returns how often a task has started.
func (s *leaveScript) starts(index int) int {
	return s.owners[len(s.owners)-1].pool.jobs[leavingJob].job.Occurrences[0].Steps[0][index].Run
}

// cordonDuringOutage has the worker of task 0 emptied while the log stores nothing.
func (s *leaveScript) cordonDuringOutage() {
	s.owner.storeDelay = storeDelay
	s.cordoned = []string{s.workerOfTask(0)}
	s.after(100*time.Millisecond, func() { s.owner.storeDelay = 0 })
}

// dieBeforeStop has the owner end after it is stored that task 0 leaves, and before it sends the stop.
func (s *leaveScript) dieBeforeStop() {
	s.owner.storeDelay = 200 * time.Millisecond
	s.cordoned = []string{s.workerOfTask(0)}
	s.after(150*time.Millisecond, func() { s.owner.terminated = true })
}

// TestLeaveIsDecidedAgainOnceStored guards against stops of long-running tasks that were decided before an outage of the store and
// ordered after it, though the step's budget no longer bears them or the worker is no longer to be emptied (AVAIL), and against tasks
// that never leave.
func TestLeaveIsDecidedAgainOnceStored(t *testing.T) {
	tests := []struct {
		name      string
		script    func(s *leaveScript)
		mustLeave bool // task 0 has to start elsewhere
	}{
		{"nothing else happens", (*leaveScript).cordonDuringOutage, true},
		{"another task is lost with its worker", func(s *leaveScript) {
			s.cordonDuringOutage()
			lost := s.workerOfTask(1)
			s.after(time.Second, func() { s.kill(lost) })
		}, true},
		{"the worker is kept", func(s *leaveScript) {
			s.cordonDuringOutage()
			s.after(time.Second, func() { s.cordoned = nil })
		}, false},
		{"the owner is replaced before it sends the stop, and another task is lost", func(s *leaveScript) {
			s.dieBeforeStop()
			lost := s.workerOfTask(1)
			s.after(50*time.Millisecond, func() { s.kill(lost) })
			s.after(time.Second, func() { s.owner = s.takeOver() })
		}, true},
		{"the owner is replaced before it sends the stop, and the worker is kept", func(s *leaveScript) {
			s.dieBeforeStop()
			s.after(time.Second, func() {
				s.cordoned = nil
				s.owner = s.takeOver()
			})
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newSimulation(seed, 5)
				s := &leaveScript{simulation: w, owner: w.takeOver()}
				spec := longRunningJob()
				spec.Steps[0].PerWorker = 1
				w.after(time.Second, func() { w.submit(string(leavingJob), spec) })
				w.after(leaveAt, func() { test.script(s) })
				w.run(leaveEnds)
				for _, v := range w.violations {
					t.Errorf("seed %d: %s", seed, v)
				}
				if left := s.starts(0) > 1; left != test.mustLeave {
					t.Errorf("seed %d: task 0 has left its worker: %v, want %v", seed, left, test.mustLeave)
				}
				if n := w.countRunning(leavingJob); n != 3 {
					t.Errorf("seed %d: %d tasks run at the end, want 3", seed, n)
				}
				if w.isLeaving(leavingJob) {
					t.Errorf("seed %d: it is stored that a task leaves", seed)
				}
			}
		})
	}
}

func (w *simulation) countRunning(name job.ID) int {
	sum := 0
	for task, n := range w.activeRuns {
		if task.Job == name {
			sum += n
		}
	}
	return sum
}

// isLeaving reports whether it is stored that a task of a job leaves its worker.
func (w *simulation) isLeaving(name job.ID) bool {
	j := job.New(w.log[name].Spec)
	j.Restore(*w.log[name].Progress)
	for _, t := range j.Occurrences[0].Steps[0] {
		if t.Leaving {
			return true
		}
	}
	return false
}
