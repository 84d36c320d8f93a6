package attempt

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Bounds of a table.
const (
	Retention  = 10 * time.Minute
	maxEntries = 200_000
)

// Key is a caller's idempotency key; two teams may use the same value.
type Key struct {
	Team  id.Team
	Value string
}

// State is how far an attempt has come.
type State string

// States of an attempt.
const (
	Open     State = "open"     // waiting or running
	Answered State = "answered" // the caller got the endpoint's answer
	NotRun   State = "not run"  // refused before it could start
	Unknown  State = "unknown"  // may have run
)

// Attempt is one use of a key.
type Attempt struct {
	Key    Key
	ID     string    // names this attempt among those of the same key
	Holder id.Member // member that serves it
	State  State
	At     time.Time
}

// UsedError reports a key that another attempt has used.
type UsedError struct{ First Attempt }

// Error returns what the first attempt has come to.
func (e UsedError) Error() string {
	return fmt.Sprintf("key %q was used before: %s", e.First.Key.Value, e.First.State)
}

// FullError reports that a table can remember no more keys.
type FullError struct{ Entries int }

// Error returns the number of keys.
func (e FullError) Error() string { return fmt.Sprintf("%d keys are remembered", e.Entries) }

// Table remembers attempts for the retention time.
type Table struct {
	attempts map[Key]Attempt
	ages     []Key // in order of first use
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{attempts: map[Key]Attempt{}} }

// Reserve records an attempt; it fails with UsedError when another attempt of the key may have run
// and with FullError when the table is full. Reserving the same attempt again succeeds.
func (t *Table) Reserve(a Attempt) error {
	first, ok := t.attempts[a.Key]
	if ok && first.ID != a.ID && first.State != NotRun {
		return UsedError{First: first}
	}
	if !ok && len(t.attempts) >= maxEntries {
		return FullError{Entries: len(t.attempts)}
	}
	if !ok {
		t.ages = append(t.ages, a.Key)
	}
	t.attempts[a.Key] = a
	return nil
}

// Finish records what an attempt has come to; the state of another attempt stays as it is.
func (t *Table) Finish(a Attempt) {
	first, ok := t.attempts[a.Key]
	if !ok || first.ID != a.ID {
		return
	}
	first.State = a.State
	t.attempts[a.Key] = first
}

// Lose marks the open attempts of a member that has ended: they may have run.
func (t *Table) Lose(holder id.Member) {
	for key, a := range t.attempts {
		if a.Holder == holder && a.State == Open {
			a.State = Unknown
			t.attempts[key] = a
		}
	}
}

// Expire forgets attempts that are older than the retention time and no longer open.
func (t *Table) Expire(now time.Time) {
	kept := 0
	for kept < len(t.ages) {
		a := t.attempts[t.ages[kept]]
		if now.Sub(a.At) < Retention || a.State == Open {
			break
		}
		delete(t.attempts, t.ages[kept])
		kept++
	}
	t.ages = t.ages[kept:]
}

// All returns every attempt in order of first use.
func (t *Table) All() []Attempt {
	all := make([]Attempt, 0, len(t.ages))
	for _, key := range t.ages {
		all = append(all, t.attempts[key])
	}
	return all
}

// Merge adds attempts of another table that this one does not know.
func (t *Table) Merge(others []Attempt) {
	for _, a := range others {
		if _, ok := t.attempts[a.Key]; !ok {
			t.attempts[a.Key] = a
			t.ages = append(t.ages, a.Key)
		}
	}
}
