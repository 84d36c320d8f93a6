package shard

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// fakeLog is a log in memory. loseAnswers is the number of next appends that take effect but whose answers get lost; down
// makes appends and fences fail.
type fakeLog struct {
	mu          sync.Mutex
	tables      map[stream.Table]*fakeTable
	loseAnswers int
	down        bool
	held        map[stream.Table]time.Duration // reads that wait this long or longer are held, by table
	reads       map[stream.Table]int           // reads so far, by table
}

type fakeTable struct {
	records  []stream.Record
	epoch    int64
	sequence int64 // next sequence number of the epoch
}

var errNoAnswer = errors.New("no answer")

func newFakeLog() *fakeLog {
	return &fakeLog{tables: map[stream.Table]*fakeTable{}, held: map[stream.Table]time.Duration{}, reads: map[stream.Table]int{}}
}

// holdReads leaves reads of a table that wait for the given time or longer without an answer until releaseReads.
func (l *fakeLog) holdReads(t stream.Table, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[t] = wait
}

func (l *fakeLog) releaseReads(t stream.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, t)
}

func (l *fakeLog) holds(t stream.Table, wait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, held := l.held[t]
	return held && wait >= from
}

func (l *fakeLog) countRead(t stream.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[t]++
}

func (l *fakeLog) readCount(t stream.Table) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads[t]
}

func (l *fakeLog) set(lose int, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers, l.down = lose, down
}

func (l *fakeLog) table(t stream.Table) *fakeTable {
	found, ok := l.tables[t]
	if !ok {
		found = &fakeTable{}
		l.tables[t] = found
	}
	return found
}

func (l *fakeLog) Append(_ context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, stream.NotDoneError{Reason: "down"}
	}
	table := l.table(t)
	if w != nil {
		switch {
		case w.Epoch < table.epoch:
			return 0, stream.FencedError{Epoch: w.Epoch}
		case w.Epoch > table.epoch:
			table.epoch, table.sequence = w.Epoch, w.Sequence
		case w.Sequence != table.sequence:
			return 0, stream.SequenceError{Expected: table.sequence}
		}
		table.sequence = w.Sequence + 1
	}
	offset := int64(len(table.records))
	table.records = append(table.records, records...)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, errNoAnswer
	}
	return offset, nil
}

func (l *fakeLog) AppendAt(_ context.Context, t stream.Table, records []stream.Record, end int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return stream.NotDoneError{Reason: "down"}
	}
	table := l.table(t)
	if at := int64(len(table.records)); at != end {
		return stream.ChangedError{End: at}
	}
	table.records = append(table.records, records...)
	return nil
}

func (l *fakeLog) Fence(_ context.Context, t stream.Table, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return stream.NotDoneError{Reason: "down"}
	}
	table := l.table(t)
	if epoch < table.epoch {
		return stream.FencedError{Epoch: epoch}
	}
	if epoch > table.epoch {
		table.epoch, table.sequence = epoch, 0
	}
	return nil
}

func (l *fakeLog) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	until := time.Now().Add(wait)
	l.countRead(t)
	for {
		batch := l.read(t, from)
		if !l.holds(t, wait) && (len(batch.Records) > 0 || !time.Now().Before(until)) {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return stream.Batch{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (l *fakeLog) read(t stream.Table, from int64) stream.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := stream.Batch{Next: from, End: int64(len(l.table(t).records))}
	for _, r := range l.table(t).records[from:] {
		batch.Records = append(batch.Records, stream.StoredRecord{Record: r, Offset: batch.Next})
		batch.Next++
	}
	return batch
}

func (l *fakeLog) Newest(_ context.Context, t stream.Table, after string) (stream.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]stream.StoredRecord{}
	for i, r := range l.table(t).records {
		newest[r.Key] = stream.StoredRecord{Record: r, Offset: int64(i)}
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := stream.Page{End: int64(len(l.table(t).records))}
	for key, stored := range newest {
		if key > after {
			page.Items = append(page.Items, stored)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	const pageItems = 3
	if len(page.Items) > pageItems {
		page.Items, page.More = page.Items[:pageItems], true
	}
	return page, nil
}
