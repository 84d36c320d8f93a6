package stream

import (
	"context"
	"fmt"
	"time"
)

// Table names one partition of a keyed topic. The store keeps the newest record of each key indefinitely.
type Table struct {
	Name string
	Part int
}

// String returns the name and the partition.
func (t Table) String() string { return fmt.Sprintf("%s/%d", t.Name, t.Part) }

// StoredRecord is a stored record with its offset.
type StoredRecord struct {
	Record
	Offset int64
}

// Batch is a sequence of consecutive records in the order in which they were written.
type Batch struct {
	Next    int64 // offset after the last record of the batch
	End     int64 // offset after the newest record of the table when it was read
	Records []StoredRecord
}

// Reading is one read of a table, with the steady times at which it was sent and answered.
type Reading struct {
	From           int64         // offset from which on records were asked for
	Wait           time.Duration // how long the read was to wait for the first one
	Sent, Answered time.Duration
}

// CompleteAt returns the steady time as of which a batch shows all records of its table, or 0 if the table has more. The store
// answers as soon as there is a record, so after a wait without any the table had none until then, whoever has passed the
// answer on.
func (b Batch) CompleteAt(r Reading) time.Duration {
	empty := b.Next == r.From && b.End <= b.Next // an instance of an earlier version reports no end
	switch {
	case empty && r.Answered-r.Sent >= r.Wait:
		return r.Sent + r.Wait
	case empty || b.Next == b.End:
		return r.Sent
	}
	return 0
}

// Page is one page of the newest records, ordered by key.
type Page struct {
	Items []StoredRecord
	More  bool
	End   int64 // offset after the newest record of the table when the page was read
}

// Writer fences and orders the appends of one owner. The store refuses an append below the highest epoch. It may answer
// an append that repeats an earlier sequence number as it answered the earlier one, without adding records.
type Writer struct {
	Epoch    int64
	Sequence int64
}

// Log is the platform's store of tables.
type Log interface {
	// Append adds all records or none and returns the offset of the first. w is nil for unfenced appends. After a
	// NotDoneError, a FencedError or a SequenceError this call has added nothing; after any other error the records
	// may still be added.
	Append(ctx context.Context, t Table, records []Record, w *Writer) (int64, error)
	// Fence makes the store refuse appends of every writer below an epoch from now on. It fails with a FencedError
	// when a higher epoch is already in force.
	Fence(ctx context.Context, t Table, epoch int64) error
	// Read returns records from an offset on and waits for the first one for at most the given time. It fails with a
	// TrimmedError when records at that offset are no longer kept.
	Read(ctx context.Context, t Table, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page of the newest records of all keys greater than after, ordered by key.
	Newest(ctx context.Context, t Table, after string) (Page, error)
}

// ConditionalLog is a store with conditional appends.
type ConditionalLog interface {
	// AppendAt adds all records or none, on the condition that the table ends at the given offset, that is, that
	// nobody has written to the table since it was read up to there. It fails with a ChangedError when the table ends
	// elsewhere and with a NotDoneError when nothing was added; after any other error the records may still be added
	// under the same condition.
	AppendAt(ctx context.Context, t Table, records []Record, end int64) error
}

// Member is one process of a group.
type Member struct {
	Group      string
	Name       string
	Topics     []string
	TTL        time.Duration // time without a join after which the store assigns the member's partitions to others
	Generation int64         // last generation that the member received, 0 at first
}

// Assignment is the reply to a member that joins. The generation rises whenever a member joins or leaves.
type Assignment struct{ Generation int64 }

// PartitionOwner is a member that holds a partition of the group's topics, which shows that it is alive.
type PartitionOwner struct{ Member string }

// Groups is the platform's store of group memberships.
type Groups interface {
	// Join adds a member to a group or renews its membership.
	Join(ctx context.Context, m Member) (Assignment, error)
	// Leave removes a member from its group, so that its partitions go to the other members at once.
	Leave(ctx context.Context, m Member) error
	// Owners returns the members that hold partitions, once per partition.
	Owners(ctx context.Context, group string) ([]PartitionOwner, error)
}

// NotDoneError reports a call that had no effect and will have none later.
type NotDoneError struct{ Reason string }

// Error returns a message with the reason.
func (e NotDoneError) Error() string { return "store: nothing was done: " + e.Reason }

// FencedError reports that a higher epoch is in force.
type FencedError struct{ Epoch int64 }

// Error returns a message with the epoch.
func (e FencedError) Error() string { return fmt.Sprintf("store: epoch %d is fenced off", e.Epoch) }

// SequenceError reports an append out of order.
type SequenceError struct{ Expected int64 }

// Error returns a message with the sequence number that the store expects.
func (e SequenceError) Error() string { return fmt.Sprintf("store: sequence %d is next", e.Expected) }

// ChangedError reports that a table does not end at the offset up to which the writer has read it.
type ChangedError struct{ End int64 }

// Error returns a message with the end offset of the table.
func (e ChangedError) Error() string { return fmt.Sprintf("store: the table ends at %d", e.End) }

// TrimmedError reports that records are no longer kept.
type TrimmedError struct{ First int64 }

// Error returns a message with the oldest offset that is kept.
func (e TrimmedError) Error() string {
	return fmt.Sprintf("store: records before %d are gone", e.First)
}
