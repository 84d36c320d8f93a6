package attempt

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Bounds of a book.
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

// FullError reports that a book can remember no more keys.
type FullError struct{ Entries int }

// Error returns the number of keys.
func (e FullError) Error() string { return fmt.Sprintf("%d keys are remembered", e.Entries) }

// Book remembers attempts for the retention time.
type Book struct {
	attempts map[Key]Attempt
	ages     []Key // in order of first use
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{attempts: map[Key]Attempt{}} }

// Reserve records an attempt; it fails with UsedError when another attempt of the key may have run
// and with FullError when the book is full. Reserving the same attempt again succeeds.
func (b *Book) Reserve(a Attempt) error {
	first, ok := b.attempts[a.Key]
	if ok && first.ID != a.ID && first.State != NotRun {
		return UsedError{First: first}
	}
	if !ok && len(b.attempts) >= maxEntries {
		return FullError{Entries: len(b.attempts)}
	}
	if !ok {
		b.ages = append(b.ages, a.Key)
	}
	b.attempts[a.Key] = a
	return nil
}

// Finish records what an attempt has come to; the state of another attempt stays as it is.
func (b *Book) Finish(a Attempt) {
	first, ok := b.attempts[a.Key]
	if !ok || first.ID != a.ID {
		return
	}
	first.State = a.State
	b.attempts[a.Key] = first
}

// Lose marks the open attempts of a member that has ended: they may have run.
func (b *Book) Lose(holder id.Member) {
	for key, a := range b.attempts {
		if a.Holder == holder && a.State == Open {
			a.State = Unknown
			b.attempts[key] = a
		}
	}
}

// Expire forgets attempts that are older than the retention time and no longer open.
func (b *Book) Expire(now time.Time) {
	kept := 0
	for kept < len(b.ages) {
		a := b.attempts[b.ages[kept]]
		if now.Sub(a.At) < Retention || a.State == Open {
			break
		}
		delete(b.attempts, b.ages[kept])
		kept++
	}
	b.ages = b.ages[kept:]
}

// All returns every attempt in order of first use.
func (b *Book) All() []Attempt {
	all := make([]Attempt, 0, len(b.ages))
	for _, key := range b.ages {
		all = append(all, b.attempts[key])
	}
	return all
}

// Merge adds attempts of another book that this one does not know.
func (b *Book) Merge(others []Attempt) {
	for _, a := range others {
		if _, ok := b.attempts[a.Key]; !ok {
			b.attempts[a.Key] = a
			b.ages = append(b.ages, a.Key)
		}
	}
}
