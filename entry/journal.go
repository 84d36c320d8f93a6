package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/task"
)

// Bounds of the task journal.
const (
	journalDelay = 20 * time.Millisecond // delay before an append, so that records are batched
	journalBatch = 200                   // records in one append
	journalBytes = 1 << 20               // memory of the tasks in one append, one task at least
	journalQueue = 1024                  // records that wait for an append
)

// journal writes task records to the member's own stream of the platform's log and batches them.
type journal struct {
	control *Control
	entries chan journalEntry
}

// journalEntry is a record to write and the channel on which its writer waits.
type journalEntry struct {
	record task.Record
	done   chan error
}

func newJournal(c *Control) *journal {
	return &journal{control: c, entries: make(chan journalEntry, journalQueue)}
}

// taskStream returns the name of the stream that holds a member's tasks.
func taskStream(member id.Member) string { return "tasks-" + string(member) }

// write returns when the log has confirmed a record. It fails if the append fails or the context ends first.
func (j *journal) write(ctx context.Context, r task.Record) error {
	e := journalEntry{record: r, done: make(chan error, 1)}
	select {
	case j.entries <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop appends queued records until the context ends.
func (j *journal) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-j.entries:
			sleep(ctx, journalDelay)
			j.append(ctx, j.collectBatch(first))
		}
	}
}

// collectBatch returns the queued records that fit into one append.
func (j *journal) collectBatch(first journalEntry) []journalEntry {
	batch := []journalEntry{first}
	bytes := first.record.Task.MemoryBytes()
	for len(batch) < journalBatch && bytes < journalBytes {
		select {
		case e := <-j.entries:
			batch = append(batch, e)
			bytes += e.record.Task.MemoryBytes()
		default:
			return batch
		}
	}
	return batch
}

// append writes a batch and retries failed appends for submitTimeout. A record that is written twice has no further
// effect.
func (j *journal) append(ctx context.Context, batch []journalEntry) {
	c := j.control
	records := make([]task.Record, 0, len(batch))
	for _, e := range batch {
		records = append(records, e.record)
	}
	data, err := json.Marshal(records)
	until := time.Now().Add(submitTimeout)
	for err == nil {
		callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		err = c.config.Log.Append(callCtx, taskStream(c.Member()), data)
		cancel()
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			break
		}
		sleep(ctx, c.timing.Tick)
		err = nil
	}
	for _, e := range batch {
		e.done <- errors.Trace(err)
	}
}
