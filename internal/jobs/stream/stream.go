package stream

import (
	"context"
	"fmt"
	"time"
)

// Table names one partition of a keyed topic; the newest record of each key is kept for good.
type Table struct {
	Name string
	Part int
}

// String returns the name and the partition.
func (t Table) String() string { return fmt.Sprintf("%s/%d", t.Name, t.Part) }

// Record is one keyed record; without a value it removes its key.
type Record struct {
	Key   string
	Value []byte
}

// Kept is a record at its offset.
type Kept struct {
	Record
	Offset int64
}

// Batch is a run of records as they were written.
type Batch struct {
	Next    int64 // offset after the last record of the batch
	Records []Kept
}

// Page is a part of the newest records by key.
type Page struct {
	Items []Kept
	More  bool
	End   int64 // offset after the newest record of the table when the page was read
}

// Writer fences and orders the appends of one owner: an append below the highest epoch is refused, and
// one with the sequence number of an earlier one is answered as that was.
type Writer struct {
	Epoch    int64
	Sequence int64
}

// Log is the platform's store of tables.
type Log interface {
	// Append adds all records or none and returns the offset of the first; w is nil for appends that
	// nothing fences. It fails with NotDoneError, FencedError, SequenceError or, when the records may
	// yet be added, any other error.
	Append(ctx context.Context, t Table, records []Record, w *Writer) (int64, error)
	// Fence refuses the appends of every writer below an epoch from now on; FencedError reports a higher one.
	Fence(ctx context.Context, t Table, epoch int64) error
	// Read returns records from an offset on and waits up to a time for the first; TrimmedError reports
	// that they are no longer kept.
	Read(ctx context.Context, t Table, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key after a key, in the order of keys.
	Newest(ctx context.Context, t Table, after string) (Page, error)
}

// Conditional is a store whose appends can rest on what a table holds.
type Conditional interface {
	// AppendAt adds all records or none provided that the table ends at an offset, that is, that nobody has
	// written to it since it was read up to there. It fails with a ChangedError when it ends elsewhere, with a
	// NotDoneError or, when the records may yet be added on that condition, with any other error.
	AppendAt(ctx context.Context, t Table, records []Record, end int64) error
}

// Member is one process of a group.
type Member struct {
	Group      string
	Name       string
	Topics     []string
	TTL        time.Duration // silence after which the store gives the member's parts to others
	Generation int64         // last one heard of, 0 at first
}

// Assignment answers a member that has joined; the generation rises whenever a member comes or goes.
type Assignment struct{ Generation int64 }

// Owner is a member that holds some part of the group's topics, and so is alive.
type Owner struct{ Member string }

// Groups is the platform's store of group memberships.
type Groups interface {
	// Join enters a group or stays in it.
	Join(ctx context.Context, m Member) (Assignment, error)
	// Leave gives the member's parts to the others at once.
	Leave(ctx context.Context, m Member) error
	// Owners returns the members that hold parts, once for each part.
	Owners(ctx context.Context, group string) ([]Owner, error)
}

// NotDoneError reports a call that had no effect and never will.
type NotDoneError struct{ Reason string }

// Error returns the reason.
func (e NotDoneError) Error() string { return "store: nothing was done: " + e.Reason }

// FencedError reports that a higher epoch is in force.
type FencedError struct{ Epoch int64 }

// Error returns the epoch that is too low.
func (e FencedError) Error() string { return fmt.Sprintf("store: epoch %d is fenced off", e.Epoch) }

// SequenceError reports an append out of order.
type SequenceError struct{ Expected int64 }

// Error returns the sequence number that the store expects.
func (e SequenceError) Error() string { return fmt.Sprintf("store: sequence %d is next", e.Expected) }

// ChangedError reports a table that does not end where the writer has read up to.
type ChangedError struct{ End int64 }

// Error returns where the table ends.
func (e ChangedError) Error() string { return fmt.Sprintf("store: the table ends at %d", e.End) }

// TrimmedError reports that records are no longer kept.
type TrimmedError struct{ First int64 }

// Error returns the oldest offset that is kept.
func (e TrimmedError) Error() string {
	return fmt.Sprintf("store: records before %d are gone", e.First)
}
