package task

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/queue"
)

// State is how far a task has come.
type State string

// States of a task.
const (
	Waiting   State = "waiting"
	Running   State = "running"
	Done      State = "done"      // its answer can be collected
	Cancelled State = "cancelled" // it did not run, or was stopped
	Refused   State = "refused"   // it did not run and never will
	Unknown   State = "unknown"   // it may have run and its answer is lost
)

// Ended reports whether a state is final.
func (s State) Ended() bool { return s != Waiting && s != Running }

// Needs is what a task declares that a worker must have.
type Needs struct {
	Processors   int   `json:"processors,omitempty"`
	MemoryBytes  int64 `json:"memory,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
}

// Task is one task of a caller.
type Task struct {
	ID         string      `json:"id"`
	Team       id.Team     `json:"team"`
	Queue      id.Queue    `json:"queue"`
	Class      queue.Class `json:"class"`
	Key        string      `json:"key,omitempty"`     // hash of the key that it came with
	Idempotent bool        `json:"repeats,omitempty"` // may run more than once
	Needs      Needs       `json:"needs,omitzero"`
	Type       string      `json:"type,omitempty"` // content type of the body
	Body       []byte      `json:"body,omitempty"` // dropped once the task has ended
	Submitted  time.Time   `json:"submitted"`
	Deadline   time.Time   `json:"deadline"` // when to give up waiting for a slot
	State      State       `json:"state"`
	Detail     string      `json:"detail,omitempty"` // why it was refused or is unknown
	Status     int         `json:"status,omitempty"` // of the endpoint's answer
	AnswerType string      `json:"atype,omitempty"`
	Answer     []byte      `json:"answer,omitempty"`
	Ended      time.Time   `json:"ended,omitzero"`
}

// Retention is how long an ended task can be collected.
const Retention = time.Hour

// Record is a change of one task as it stands in the log: the whole task when it was submitted, and
// what changed afterwards.
type Record struct {
	Task  Task `json:"task"`
	Patch bool `json:"patch,omitempty"` // only the state and what it brings has changed
}

// Table holds the tasks of one owner.
type Table struct {
	tasks map[string]*Task
	order []string // of submission
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{tasks: map[string]*Task{}} }

// Get returns a copy of a task and whether the table holds it.
func (t *Table) Get(name string) (Task, bool) {
	found, ok := t.tasks[name]
	if !ok {
		return Task{}, false
	}
	return *found, true
}

// Apply takes a record into the table; one that stands twice or arrives after the task's end changes
// nothing.
func (t *Table) Apply(r Record) {
	found, ok := t.tasks[r.Task.ID]
	if !ok {
		if r.Patch {
			return
		}
		added := r.Task
		t.tasks[added.ID] = &added
		t.order = append(t.order, added.ID)
		return
	}
	if found.State.Ended() || !r.Patch {
		return
	}
	found.patch(r.Task)
}

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

// Inherit decides what becomes of tasks whose owner has ended: those that may have run are not run
// again unless they are idempotent.
func (t *Table) Inherit(now time.Time) {
	for _, name := range t.order {
		found := t.tasks[name]
		if found.State != Running {
			continue
		}
		if found.Idempotent {
			found.State = Waiting
			continue
		}
		found.patch(Task{State: Unknown, Detail: "the instance that ran it has ended", Ended: now})
	}
}

// Expire forgets tasks that ended longer ago than the retention time.
func (t *Table) Expire(now time.Time) {
	var kept []string
	for _, name := range t.order {
		found := t.tasks[name]
		if found.State.Ended() && now.Sub(found.Ended) > Retention {
			delete(t.tasks, name)
			continue
		}
		kept = append(kept, name)
	}
	t.order = kept
}

// All returns copies of every task in order of submission.
func (t *Table) All() []Task {
	all := make([]Task, 0, len(t.order))
	for _, name := range t.order {
		all = append(all, *t.tasks[name])
	}
	return all
}

// Len returns how many tasks the table holds.
func (t *Table) Len() int { return len(t.order) }
