package job

import (
	"time"
)

// State is the state of a job.
type State int

// States of a job; the last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Ended reports whether a state is final.
func (s State) Ended() bool { return s >= Completed }

// String returns the state's name.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Task is one member of a step.
type Task struct {
	Name     Name
	Done     bool
	Failures int // failed runs
	Crash    CrashRecord
	Run      int    // number of the latest run, 0 before the first
	Worker   string // worker that has or may have the latest run, empty when no run can exist
	// WorkerStart is the start of the worker's incarnation that the latest run was ordered for, zero if that is unknown.
	WorkerStart time.Time
	// UsualLease tells that no call for an earlier incarnation can have granted that one a longer lease than its owner.
	UsualLease bool
	Checkpoint string // latest known checkpoint to resume from
	Leaving    bool   // the latest run is to end so that the task can start on another worker
	Strays     int    // earlier runs that workers still have; not stored
}

// Placed reports whether a run of the task exists or may exist.
func (t *Task) Placed() bool { return t.Worker != "" }

// Waiting reports whether the task still has to run and no run of it can exist.
func (t *Task) Waiting() bool { return !t.Done && !t.Placed() && t.Strays == 0 }

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Number int
	Steps  [][]Task
	left   []int // tasks of each step that are not done
}

// Job is an accepted job.
type Job struct {
	Spec                Spec
	State               State
	Ended               time.Time     // time of day, which only owners of earlier versions go by
	EndedAt             time.Duration // uptime of the pool when the end was stored, 0 if unknown
	Begun               bool          // a task has started
	Occurrences         []*Occurrence
	finishedOccurrences int // occurrences that are done
	next                int // number of the next occurrence to become due
}

// New returns a job that has no started tasks.
func New(spec Spec) *Job {
	j := &Job{Spec: spec}
	if spec.Times == 0 {
		j.open(0)
	}
	return j
}

func (j *Job) open(number int) {
	o := &Occurrence{Number: number, Steps: make([][]Task, len(j.Spec.Steps)), left: make([]int, len(j.Spec.Steps))}
	for s, step := range j.Spec.Steps {
		o.Steps[s] = make([]Task, step.Count)
		o.left[s] = step.Count
		for i := range o.Steps[s] {
			o.Steps[s][i].Name = Name{Job: j.Spec.ID, Occurrence: number, Step: s, Index: i}
		}
	}
	j.Occurrences = append(j.Occurrences, o)
	j.next = max(j.next, number+1)
}

// Advance opens the occurrences that are due, as far as the bound on open tasks allows, and reports whether it opened
// any.
func (j *Job) Advance(now time.Time) bool {
	opened := false
	for !j.State.Ended() && j.next < j.Spec.Times && j.mayOpen() && !now.Before(j.Spec.Due(j.next)) {
		j.open(j.next)
		opened = true
	}
	return opened
}

// mayOpen reports whether one more occurrence keeps the tasks of the unfinished ones within maxTasks.
func (j *Job) mayOpen() bool {
	unfinished := len(j.Occurrences) - j.finishedOccurrences
	return unfinished == 0 || (unfinished+1)*j.Spec.tasks() <= maxTasks
}

// Task returns the task of the given name, or nil when the job has no such task.
func (j *Job) Task(n Name) *Task {
	for _, o := range j.Occurrences {
		if o.Number != n.Occurrence {
			continue
		}
		if n.Step < 0 || n.Step >= len(o.Steps) || n.Index < 0 || n.Index >= len(o.Steps[n.Step]) {
			return nil
		}
		return &o.Steps[n.Step][n.Index]
	}
	return nil
}

// Ready reports whether all steps that a step depends on are done.
func (j *Job) Ready(o *Occurrence, step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		if o.left[before] > 0 {
			return false
		}
	}
	return true
}

// Finish marks a task done, or all tasks of its step if the step is a gang. It completes the job when the last
// occurrence is done.
func (j *Job) Finish(t *Task, now time.Time) {
	for _, o := range j.Occurrences {
		if o.Number == t.Name.Occurrence {
			j.finish(o, t)
			break
		}
	}
	if j.finishedOccurrences >= max(1, j.Spec.Times) && !j.State.Ended() {
		j.end(Completed, now)
	}
}

func (j *Job) finish(o *Occurrence, t *Task) {
	step := t.Name.Step
	members := []*Task{t}
	if j.Spec.Steps[step].Gang {
		members = members[:0]
		for i := range o.Steps[step] {
			members = append(members, &o.Steps[step][i])
		}
	}
	before := o.remaining()
	for _, m := range members {
		if m.Done {
			continue
		}
		m.Done = true
		m.Checkpoint = ""
		o.left[step]--
	}
	if before > 0 && o.remaining() == 0 {
		j.finishedOccurrences++
	}
}

func (o *Occurrence) remaining() int {
	sum := 0
	for _, left := range o.left {
		sum += left
	}
	return sum
}

// Fail counts a failed run of a task; the job fails with the last attempt that its queue allows. Failed runs of
// long-running tasks are not counted.
func (j *Job) Fail(t *Task, now time.Time) {
	if j.Spec.Steps[t.Name.Step].LongRunning {
		return
	}
	t.Failures++
	if j.Spec.Policy.Attempts > 0 && t.Failures >= j.Spec.Policy.Attempts && !j.State.Ended() {
		j.end(Failed, now)
	}
}

// GiveUp ends the job as failed, since a task of it crashes workers.
func (j *Job) GiveUp(now time.Time) {
	if !j.State.Ended() {
		j.end(Failed, now)
	}
}

// Cancel cancels the job and reports whether the job had not ended before.
func (j *Job) Cancel(now time.Time) bool {
	if j.State.Ended() {
		return false
	}
	j.end(Cancelled, now)
	return true
}

func (j *Job) end(s State, now time.Time) {
	j.State = s
	j.Ended = now
}

// Start records that a run of a task is about to start on an incarnation of a worker and returns the run's number.
func (j *Job) Start(t *Task, on Incarnation, usualLease bool) int {
	t.Run++
	t.Worker, t.WorkerStart, t.UsualLease = on.Worker, on.StartedAt, usualLease
	if !j.State.Ended() {
		j.State = Running
	}
	return t.Run
}

// LongestChain returns the length of the longest chain of steps that are not done, with the given length of each step.
func (j *Job) LongestChain(o *Occurrence, length func(step int) time.Duration) time.Duration {
	var longest time.Duration
	lengths := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		for _, before := range j.Spec.Steps[i].After {
			lengths[i] = max(lengths[i], lengths[before])
		}
		if o.left[i] > 0 {
			lengths[i] += length(i)
		}
		longest = max(longest, lengths[i])
	}
	return longest
}

// Left returns how many tasks of a step are not done.
func (o *Occurrence) Left(step int) int { return o.left[step] }

// Due returns the time until the occurrence is due, which is negative afterwards.
func (o *Occurrence) Due(j *Job, now time.Time) time.Duration {
	return j.Spec.Due(o.Number).Sub(now)
}
