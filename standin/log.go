package standin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/control/store"
)

// Errors of a platform with injected faults.
var (
	errDown = errors.New("the platform is down")
	errLost = errors.New("the platform's answer was lost")
)

// LogFault is how a Log misbehaves.
type LogFault struct {
	Down   bool          // every call fails without effect
	Lose   bool          // appends take effect and then fail
	Repeat bool          // appends take effect twice
	Slow   time.Duration // additional delay of every call
}

// Log is an in-memory append-only log. It implements store.Log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	fault   LogFault
	appends int
}

// stream is one stream of a Log.
type stream struct {
	first    int64 // oldest offset that can be read
	records  [][]byte
	times    []time.Time   // when each record arrived
	appended chan struct{} // closed at the next append
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*stream{}} }

// SetFault sets how the log misbehaves from now on.
func (l *Log) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// AppendCount returns the number of appends that took effect.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// ExpireBefore makes the records of a stream before an offset unreadable.
func (l *Log) ExpireBefore(name string, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.first = max(s.first, offset)
}

// Copy returns a copy of the log without faults that holds all records, including expired ones. Checks use the copy.
func (l *Log) Copy() *Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := NewLog()
	for name, s := range l.streams {
		snapshot.stream(name).records = append([][]byte(nil), s.records...)
		snapshot.stream(name).times = append([]time.Time(nil), s.times...)
	}
	return snapshot
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) injectFault(ctx context.Context) (LogFault, error) {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	if f.Slow > 0 {
		if err := sleep(ctx, f.Slow); err != nil {
			return f, err
		}
	}
	if f.Down {
		return f, errDown
	}
	return f, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Append adds a record to a stream.
func (l *Log) Append(ctx context.Context, name string, data []byte) error {
	f, err := l.injectFault(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.add(data)
	if f.Repeat {
		s.add(data)
	}
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	if f.Lose {
		return errLost
	}
	return nil
}

func (s *stream) add(data []byte) {
	s.records = append(s.records, append([]byte(nil), data...))
	s.times = append(s.times, time.Now())
}

// ArrivalTimes returns the arrival time of each record of a stream, indexed by offset.
func (l *Log) ArrivalTimes(name string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.stream(name).times...)
}

// Next returns the offset after the newest record of a stream.
func (l *Log) Next(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.stream(name).records))
}

// maxBatch bounds the number of records that one read returns.
const maxBatch = 512

// Read returns the records of a stream starting at an offset, or the newest record if the offset is negative. If there
// are none, Read waits for one until the given time is over.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (store.Batch, error) {
	if _, err := l.injectFault(ctx); err != nil {
		return store.Batch{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		batch, appended := l.batch(name, from)
		if len(batch.Records) > 0 || wait == 0 || from < batch.First {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		case <-deadline.C:
			_, err := l.injectFault(ctx)
			return batch, err
		case <-appended:
		}
	}
}

func (l *Log) batch(name string, from int64) (store.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := int64(len(s.records))
	batch := store.Batch{First: s.first, Next: next}
	if from < 0 {
		from = max(s.first, next-1)
	}
	for offset := max(from, s.first); offset < next && len(batch.Records) < maxBatch; offset++ {
		batch.Records = append(batch.Records, store.StoredRecord{Offset: offset, Data: s.records[offset]})
	}
	if from < s.first {
		batch.Records = nil
	}
	return batch, s.appended
}
