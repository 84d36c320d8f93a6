package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/task"
)

// Bounds of one append of tasks.
const (
	journalPause = 20 * time.Millisecond // between appends, so that records travel together
	journalBatch = 200                   // records
	journalQueue = 1024                  // records that wait
)

// journal writes records of tasks to the member's own stream of the platform's log, many in one append.
type journal struct {
	control *Control
	entries chan journalEntry
}

// journalEntry is a record on its way, and where its writer waits.
type journalEntry struct {
	record task.Record
	done   chan error
}

func newJournal(c *Control) *journal {
	return &journal{control: c, entries: make(chan journalEntry, journalQueue)}
}

// taskStream returns the name of the stream that holds a member's tasks.
func taskStream(member id.Member) string { return "tasks-" + string(member) }

// write returns once the log holds a record; it fails when the log has not confirmed it in time.
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

// loop appends what waits until the context ends.
func (j *journal) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-j.entries:
			pause(ctx, journalPause)
			j.append(ctx, j.gather(first))
		}
	}
}

// gather returns everything that waits, as far as one append takes it.
func (j *journal) gather(first journalEntry) []journalEntry {
	batch := []journalEntry{first}
	for len(batch) < journalBatch {
		select {
		case e := <-j.entries:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// append writes a batch, again and again for a while: a record that stands twice changes nothing.
func (j *journal) append(ctx context.Context, batch []journalEntry) {
	c := j.control
	records := make([]task.Record, 0, len(batch))
	for _, e := range batch {
		records = append(records, e.record)
	}
	data, err := json.Marshal(records)
	until := time.Now().Add(submitPatience)
	for err == nil {
		call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		err = c.config.Log.Append(call, taskStream(c.Member()), data)
		cancel()
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			break
		}
		pause(ctx, c.timing.Tick)
		err = nil
	}
	for _, e := range batch {
		e.done <- errors.Trace(err)
	}
}
