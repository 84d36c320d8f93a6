package attempt

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Retention is how long a Table remembers an attempt.
const Retention = 10 * time.Minute

// Key is a caller's idempotency key. It includes the team, so that two teams may use the same value.
type Key struct {
	Team  id.Team
	Value string
}

// State is the state of an attempt.
type State string

// States of an attempt.
const (
	Open     State = "open"     // waiting or running
	Answered State = "answered" // the caller received the endpoint's answer
	NotRun   State = "not run"  // rejected before it could start
	Unknown  State = "unknown"  // may have run
)

// Attempt is one use of a key.
type Attempt struct {
	Key    Key
	ID     string    // distinguishes the attempts of one key
	Holder id.Member // member that serves the attempt
	State  State
	At     time.Time
}

// KeyUsedError reports that another attempt has already used the key.
type KeyUsedError struct{ First Attempt }

// Error returns the key and the state of the first attempt.
func (e KeyUsedError) Error() string {
	return fmt.Sprintf("key %q was used before: %s", e.First.Key.Value, e.First.State)
}

// TableFullError reports that a table holds the maximum number of keys.
type TableFullError struct{ Entries int }

// Error returns the number of keys in the table.
func (e TableFullError) Error() string { return fmt.Sprintf("%d keys are remembered", e.Entries) }

// Table holds the latest attempt of each key for at least Retention.
type Table struct {
	limit    int // keys
	attempts map[Key]Attempt
	order    []Key // in the order in which the keys were added
}

// NewTable returns an empty table for a number of keys.
func NewTable(limit int) *Table { return &Table{limit: limit, attempts: map[Key]Attempt{}} }

// Reserve records an attempt. It fails with KeyUsedError when another attempt has used the key, unless that attempt did
// not run, and with TableFullError when the table is full. Reserving the same attempt again succeeds.
func (t *Table) Reserve(a Attempt) error {
	first, ok := t.attempts[a.Key]
	if ok && first.ID != a.ID && first.State != NotRun {
		return KeyUsedError{First: first}
	}
	if !ok && len(t.attempts) >= t.limit {
		return TableFullError{Entries: len(t.attempts)}
	}
	if !ok {
		t.order = append(t.order, a.Key)
	}
	t.attempts[a.Key] = a
	return nil
}

// Finish records the final state of an attempt. It does nothing when the key now belongs to another attempt.
func (t *Table) Finish(a Attempt) {
	current, ok := t.attempts[a.Key]
	if !ok || current.ID != a.ID {
		return
	}
	current.State = a.State
	t.attempts[a.Key] = current
}

// MarkUnknown sets the open attempts of a member that has ended to Unknown, because they may have run.
func (t *Table) MarkUnknown(holder id.Member) {
	for key, a := range t.attempts {
		if a.Holder == holder && a.State == Open {
			a.State = Unknown
			t.attempts[key] = a
		}
	}
}

// Expire removes attempts that are at least Retention old and no longer open. It goes through the keys in the order
// in which they were added and stops at the first attempt that has to stay.
func (t *Table) Expire(now time.Time) {
	expired := 0
	for expired < len(t.order) {
		a := t.attempts[t.order[expired]]
		if now.Sub(a.At) < Retention || a.State == Open {
			break
		}
		delete(t.attempts, t.order[expired])
		expired++
	}
	t.order = t.order[expired:]
}

// All returns every attempt, in the order in which the keys were added.
func (t *Table) All() []Attempt {
	all := make([]Attempt, 0, len(t.order))
	for _, key := range t.order {
		all = append(all, t.attempts[key])
	}
	return all
}

// Merge adds the attempts of another table whose keys this table does not hold.
func (t *Table) Merge(others []Attempt) {
	for _, a := range others {
		if _, ok := t.attempts[a.Key]; !ok {
			t.attempts[a.Key] = a
			t.order = append(t.order, a.Key)
		}
	}
}
