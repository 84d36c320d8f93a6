package task

import (
	"testing"
	"time"
)

// TestMemoryOfTheTable guards against memory that is counted after a task has given it back, or that is not counted at all.
func TestMemoryOfTheTable(t *testing.T) {
	now := time.Unix(1000, 0)
	body, answer := make([]byte, 10_000), make([]byte, 500)
	tests := []struct {
		name   string
		change func(*Table)
		want   int64
	}{
		{"an accepted task", func(x *Table) { x.Apply(Record{Task: Task{ID: "a", State: Waiting, Body: body}}) }, taskBytes + 10_000},
		{"its repeated record", func(x *Table) { x.Apply(Record{Task: Task{ID: "a", State: Waiting, Body: body}}) }, taskBytes + 10_000},
		{"a task that runs", func(x *Table) { x.Apply(Record{Task: Task{ID: "a", State: Running}, Patch: true}) }, taskBytes + 10_000},
		{"an ended one has its answer only", func(x *Table) {
			x.Apply(Record{Task: Task{ID: "a", State: Done, Answer: answer, Ended: now}, Patch: true})
		}, taskBytes + 500},
		{"a patch after its end", func(x *Table) { x.Apply(Record{Task: Task{ID: "a", State: Running}, Patch: true}) }, taskBytes + 500},
		{"an expired one", func(x *Table) { x.Expire(now.Add(2 * Retention)) }, 0},
	}
	table := NewTable()
	for _, test := range tests {
		test.change(table)
		if got := table.MemoryBytes(); got != test.want {
			t.Errorf("%s: %d bytes are counted, want %d", test.name, got, test.want)
		}
	}
}

// TestMemoryOfInterruptedTasks guards against memory of the bodies of tasks whose outcome is unknown.
func TestMemoryOfInterruptedTasks(t *testing.T) {
	table := NewTable()
	table.Apply(Record{Task: Task{ID: "a", State: Running, Body: make([]byte, 10_000)}})
	table.ResolveRunning(time.Unix(1000, 0))
	task, _ := table.Get("a")
	if got, want := table.MemoryBytes(), task.MemoryBytes(); task.State != Unknown || got != want {
		t.Errorf("%d bytes are counted for a task that is %s, want %d", got, task.State, want)
	}
}
