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

// bubbleClock reads the fake time of a synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Moment() pool.Moment {
	return pool.Moment{Steady: time.Since(c.began) + time.Hour, Wall: time.Now()}
}

// memoryLog is an in-memory log with one fenced table.
type memoryLog struct {
	mu       sync.Mutex
	records  []stream.Record
	epoch    int64
	appended chan struct{} // closed by the first append with a sequence number
	once     sync.Once
}

func (l *memoryLog) Append(_ context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != Table() {
		return 0, nil
	}
	if w != nil && w.Epoch < l.epoch {
		return 0, stream.FencedError{Epoch: w.Epoch}
	}
	if w != nil {
		l.once.Do(func() { close(l.appended) })
	}
	l.records = append(l.records, records...)
	return int64(len(l.records) - len(records)), nil
}

func (l *memoryLog) Fence(_ context.Context, _ stream.Table, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return stream.FencedError{Epoch: epoch}
	}
	l.epoch = epoch
	return nil
}

func (l *memoryLog) Read(context.Context, stream.Table, int64, time.Duration) (stream.Batch, error) {
	return stream.Batch{}, nil
}

func (l *memoryLog) Newest(context.Context, stream.Table, string) (stream.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := stream.Page{End: int64(len(l.records))}
	for i, r := range l.records {
		page.Items = append(page.Items, stream.StoredRecord{Record: r, Offset: int64(i)})
	}
	return page, nil
}

// slowLog delays the answers to one autoscaler's appends, and answers none of its proofs after the first append.
type slowLog struct {
	*memoryLog
	delay time.Duration
}

func (l *slowLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	offset, err := l.memoryLog.Append(ctx, t, records, w)
	if w != nil {
		time.Sleep(l.delay)
	}
	return offset, err
}

func (l *slowLog) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	select {
	case <-l.appended:
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return errNoAnswer
	default:
		return l.memoryLog.Fence(ctx, t, epoch)
	}
}

// silentService is an instance service that never answers the silent holder, whose orders it may carry out until their
// calls end.
type silentService struct {
	mu          sync.Mutex
	silent      string
	lastCallEnd map[string]time.Time // by instance, when the last call of the silent holder ended
	firstOrder  map[string]time.Time // by instance, when the other holder first sent an order
}

func (m *silentService) List(context.Context) ([]catalog.Instance, error) {
	var list []catalog.Instance
	for i := range 8 {
		list = append(list, catalog.Instance{
			Name: fmt.Sprintf("m%d", i), Pool: "spare", State: catalog.Up, Worker: fmt.Sprintf("w%d", i),
			Capacity: catalog.Resources{CPU: 16000, MemoryMB: 64000},
		})
	}
	return list, nil
}

func (m *silentService) Move(ctx context.Context, instance, _, holder string, _ int64) error {
	const callTimeout = 1500 * time.Millisecond // of a call of the silent holder
	if ctx.Err() != nil {
		return errNoAnswer // the order is not sent
	}
	if holder == m.silent {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		m.mu.Lock()
		m.lastCallEnd[instance] = time.Now()
		m.mu.Unlock()
		return errNoAnswer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, again := m.firstOrder[instance]; !again {
		m.firstOrder[instance] = time.Now()
	}
	return nil
}

func (m *silentService) Maintain(context.Context, string, int, string, int64) error { return nil }

// TestSuccessorLeavesInstancesAloneAfterUnansweredOrders guards against a successor that claims the instances right after
// its predecessor recorded orders and sends orders to the same instances, while the predecessor's unanswered ones may
// still be carried out: the successor observes the cooldown.
func TestSuccessorLeavesInstancesAloneAfterUnansweredOrders(t *testing.T) {
	tests := []struct {
		name string
		late time.Duration // delay of the answer to the record
		sent bool          // whether the first holder may still send its orders then
	}{
		{"recorded at once", 0, true},
		{"recorded late", time.Second, true},
		{"recorded too late", 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const cooldown = 3 * time.Second
				log := &memoryLog{appended: make(chan struct{})}
				service := &silentService{silent: "first", lastCallEnd: map[string]time.Time{}, firstOrder: map[string]time.Time{}}
				keep := func(ctx context.Context, holder string, l stream.Log) {
					ctx, cancel := context.WithCancel(ctx)
					defer cancel()
					_ = NewAutoscaler(AutoscalerConfig{
						Holder: holder, Log: l, Machines: service, Clock: bubbleClock{began: time.Now()}, Logger: zap.NewNop(), HolderCooldown: cooldown,
						View: func() OperatorSettings { return OperatorSettings{Pools: []string{"p"}, Spare: "spare"} },
						Exchange: func(context.Context, string, Orders) (Load, error) {
							return Load{Demand: 128000, LongRunning: 128000}, nil
						},
					}).Run(ctx)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go keep(ctx, "first", &slowLog{memoryLog: log, delay: test.late})
				<-log.appended
				go keep(ctx, "second", log)
				time.Sleep(15 * time.Second)
				cancel()
				synctest.Wait()
				if len(service.firstOrder) == 0 {
					t.Fatal("the successor sends no orders")
				}
				if sent := len(service.lastCallEnd) > 0; sent != test.sent {
					t.Errorf("first holder sends orders: %v, want %v", sent, test.sent)
				}
				for instance, last := range service.lastCallEnd {
					if gap := service.firstOrder[instance].Sub(last); gap < cooldown {
						t.Errorf("%s gets an order %v after the end of the first holder's call, which is within the cooldown", instance, gap)
					}
				}
			})
		})
	}
}
