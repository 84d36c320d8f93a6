package machines

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

var errNoAnswer = errors.New("no answer")

// bubbleClock reads the time of a test's bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Moment() pool.Moment {
	return pool.Moment{Steady: time.Since(c.began) + time.Hour, Wall: time.Now()}
}

// keptLog is a log in memory with one fenced table.
type keptLog struct {
	mu       sync.Mutex
	records  []stream.Record
	epoch    int64
	recorded chan struct{} // closed with the first numbered append
	once     sync.Once
}

func (l *keptLog) Append(_ context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != Table() {
		return 0, nil
	}
	if w != nil && w.Epoch < l.epoch {
		return 0, stream.FencedError{Epoch: w.Epoch}
	}
	if w != nil {
		l.once.Do(func() { close(l.recorded) })
	}
	l.records = append(l.records, records...)
	return int64(len(l.records) - len(records)), nil
}

func (l *keptLog) Fence(_ context.Context, _ stream.Table, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return stream.FencedError{Epoch: epoch}
	}
	l.epoch = epoch
	return nil
}

func (l *keptLog) Read(context.Context, stream.Table, int64, time.Duration) (stream.Batch, error) {
	return stream.Batch{}, nil
}

func (l *keptLog) Newest(context.Context, stream.Table, string) (stream.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := stream.Page{End: int64(len(l.records))}
	for i, r := range l.records {
		page.Items = append(page.Items, stream.Kept{Record: r, Offset: int64(i)})
	}
	return page, nil
}

// slowLog answers the numbered appends of one keeper late, and its proofs not at all once it has appended.
type slowLog struct {
	*keptLog
	late time.Duration
}

func (l *slowLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	offset, err := l.keptLog.Append(ctx, t, records, w)
	if w != nil {
		time.Sleep(l.late)
	}
	return offset, err
}

func (l *slowLog) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	select {
	case <-l.recorded:
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return errNoAnswer
	default:
		return l.keptLog.Fence(ctx, t, epoch)
	}
}

// movedAbout is an instance service that does not answer one keeper; it may carry its orders out as long as they are held open.
type movedAbout struct {
	mu     sync.Mutex
	silent string
	last   map[string]time.Time // by instance, until when an order of the silent keeper may be carried out
	first  map[string]time.Time // by instance, when the other keeper orders it about first
}

func (m *movedAbout) List(context.Context) ([]catalog.Instance, error) {
	var list []catalog.Instance
	for i := range 8 {
		list = append(list, catalog.Instance{
			Name: fmt.Sprintf("m%d", i), Pool: "spare", State: catalog.Up, Worker: fmt.Sprintf("w%d", i),
			Capacity: catalog.Amount{CPU: 16000, MemoryMB: 64000},
		})
	}
	return list, nil
}

func (m *movedAbout) Move(ctx context.Context, instance, _, holder string, _ int64) error {
	const patience = 1500 * time.Millisecond // of the call
	if ctx.Err() != nil {
		return errNoAnswer // nothing is sent
	}
	if holder == m.silent {
		ctx, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		<-ctx.Done()
		m.mu.Lock()
		m.last[instance] = time.Now()
		m.mu.Unlock()
		return errNoAnswer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, again := m.first[instance]; !again {
		m.first[instance] = time.Now()
	}
	return nil
}

func (m *movedAbout) Maintain(context.Context, string, int, string, int64) error { return nil }

// TestSuccessorLeavesInstancesAloneAfterUnansweredOrders has a keeper's orders go unanswered, and its successor claim the
// instances right after they were recorded: it orders none of them about before its turn.
func TestSuccessorLeavesInstancesAloneAfterUnansweredOrders(t *testing.T) {
	tests := []struct {
		name string
		late time.Duration // the answer to the record
		sent bool          // whether the keeper may send its orders after it
	}{
		{"recorded at once", 0, true},
		{"recorded late", time.Second, true},
		{"recorded too late", 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const turn = 3 * time.Second
				log := &keptLog{recorded: make(chan struct{})}
				service := &movedAbout{silent: "first", last: map[string]time.Time{}, first: map[string]time.Time{}}
				keep := func(ctx context.Context, holder string, l stream.Log) {
					ctx, cancel := context.WithCancel(ctx)
					defer cancel()
					_ = NewKeeper(KeeperConfig{
						Holder: holder, Log: l, Machines: service, Clock: bubbleClock{began: time.Now()}, Logger: zap.NewNop(), Turn: turn,
						View: func() Published { return Published{Pools: []string{"p"}, Spare: "spare"} },
						Ask: func(context.Context, string, Orders) (Load, error) {
							return Load{Demand: 128000, Lasting: 128000}, nil
						},
					}).Run(ctx)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go keep(ctx, "first", &slowLog{keptLog: log, late: test.late})
				<-log.recorded
				go keep(ctx, "second", log)
				time.Sleep(15 * time.Second)
				cancel()
				synctest.Wait()
				if len(service.first) == 0 {
					t.Fatal("the successor gives no orders")
				}
				if sent := len(service.last) > 0; sent != test.sent {
					t.Errorf("the keeper before sends orders: %v, want %v", sent, test.sent)
				}
				for instance, last := range service.last {
					if gap := service.first[instance].Sub(last); gap < turn {
						t.Errorf("%s is ordered about %v after an order of the keeper before may be carried out", instance, gap)
					}
				}
			})
		})
	}
}
