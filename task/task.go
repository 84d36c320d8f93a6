package task

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/queue"
)

// State is the state of a task.
type State string

// States of a task.
const (
	Waiting   State = "waiting"
	Running   State = "running"
	Done      State = "done"      // the answer can be collected
	Cancelled State = "cancelled" // the task did not run, or was stopped
	Refused   State = "refused"   // the task did not run and never will
	Unknown   State = "unknown"   // the task may have run and its answer is lost
)

// Ended reports whether a state is final.
func (s State) Ended() bool { return s != Waiting && s != Running }

// Needs is the resources that a task requires of a worker.
type Needs struct {
	Processors   int   `json:"processors,omitempty"`
	MemoryBytes  int64 `json:"memory,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
}

// Task is one task that a caller submitted.
type Task struct {
	ID         string      `json:"id"`
	Team       id.Team     `json:"team"`
	Queue      id.Queue    `json:"queue"`
	Class      queue.Class `json:"class"`
	Key        string      `json:"key,omitempty"`     // hash of the access key that the caller sent, empty without one
	Idempotent bool        `json:"repeats,omitempty"` // may run more than once
	Needs      Needs       `json:"needs,omitzero"`
	Type       string      `json:"type,omitempty"` // content type of the body
	Body       []byte      `json:"body,omitempty"` // dropped once the task has ended
	Submitted  time.Time   `json:"submitted"`
	Deadline   time.Time   `json:"deadline"` // when the task stops waiting for a slot
	State      State       `json:"state"`
	Detail     string      `json:"detail,omitempty"` // reason for the state, such as a refusal or a lost answer
	Status     int         `json:"status,omitempty"` // HTTP status of the endpoint's answer
	AnswerType string      `json:"atype,omitempty"`
	Answer     []byte      `json:"answer,omitempty"`
	Ended      time.Time   `json:"ended,omitzero"`
}

// Retention is how long the answer of an ended task can be collected.
const Retention = time.Hour

// Record is a change of one task in the log: the whole task, when the task is submitted or taken over from another
// member, and a patch for each later change.
type Record struct {
	Task  Task `json:"task"`
	Patch bool `json:"patch,omitempty"` // only the fields that change with the state apply: see Task.patch
}

// Table holds the tasks of one owner.
type Table struct {
	bytes int64 // of all tasks
	tasks map[string]*Task
	order []string // IDs in the order in which the tasks were added
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{tasks: map[string]*Task{}} }

// Get returns a copy of a task, and reports whether the table holds the task.
func (t *Table) Get(taskID string) (Task, bool) {
	task, ok := t.tasks[taskID]
	if !ok {
		return Task{}, false
	}
	return *task, true
}

// Apply applies a record to the table. A repeated record of a whole task, a patch of an unknown task and any record
// that arrives after the task has ended change nothing.
func (t *Table) Apply(r Record) {
	current, ok := t.tasks[r.Task.ID]
	if !ok {
		if r.Patch {
			return
		}
		added := r.Task
		t.tasks[added.ID] = &added
		t.bytes += added.MemoryBytes()
		t.order = append(t.order, added.ID)
		return
	}
	if current.State.Ended() || !r.Patch {
		return
	}
	t.patch(current, r.Task)
}

// patch changes a task of the table.
func (t *Table) patch(current *Task, changed Task) {
	t.bytes -= current.MemoryBytes()
	current.patch(changed)
	t.bytes += current.MemoryBytes()
}

// taskBytes is the memory of a task beside its body, its answer and its texts, in bytes.
const taskBytes = 1_000

// MemoryBytes estimates the memory that a task takes, in bytes.
func (t *Task) MemoryBytes() int64 {
	return int64(taskBytes + len(t.Body) + len(t.Answer) + len(t.Type) + len(t.AnswerType) + len(t.Detail))
}

// MemoryBytes estimates the memory that the tasks of the table take, in bytes.
func (t *Table) MemoryBytes() int64 { return t.bytes }

// patch copies the state and the fields that change with the state, and drops the body once the task has ended.
func (t *Task) patch(changed Task) {
	t.State = changed.State
	t.Detail = changed.Detail
	t.Status = changed.Status
	t.AnswerType = changed.AnswerType
	t.Answer = changed.Answer
	t.Ended = changed.Ended
	if t.State.Ended() {
		t.Body = nil
	}
}

// ResolveRunning updates the running tasks of an owner that has ended. Such a task may have run: an idempotent one
// waits to run again, any other one ends as Unknown.
func (t *Table) ResolveRunning(now time.Time) {
	for _, taskID := range t.order {
		task := t.tasks[taskID]
		if task.State != Running {
			continue
		}
		if task.Idempotent {
			task.State = Waiting
			continue
		}
		t.patch(task, Task{State: Unknown, Detail: "the instance that ran it has ended", Ended: now})
	}
}

// Expire removes tasks that ended more than Retention ago.
func (t *Table) Expire(now time.Time) {
	var kept []string
	for _, taskID := range t.order {
		task := t.tasks[taskID]
		if task.State.Ended() && now.Sub(task.Ended) > Retention {
			t.bytes -= task.MemoryBytes()
			delete(t.tasks, taskID)
			continue
		}
		kept = append(kept, taskID)
	}
	t.order = kept
}

// All returns copies of all tasks, in the order in which they were added.
func (t *Table) All() []Task {
	all := make([]Task, 0, len(t.order))
	for _, taskID := range t.order {
		all = append(all, *t.tasks[taskID])
	}
	return all
}

// Len returns the number of tasks in the table.
func (t *Table) Len() int { return len(t.order) }
