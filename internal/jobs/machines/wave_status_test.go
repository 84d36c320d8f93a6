package machines

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// statusCodec encodes the statuses of waves as text.
type statusCodec struct{ catalog.Codec }

func (statusCodec) WaveStatus(number int, done bool) (stream.Record, error) {
	return stream.Record{Key: fmt.Sprint(number), Value: fmt.Appendf(nil, "done %v", done)}, nil
}

// statusLog is a memoryLog that keeps the statuses of waves.
type statusLog struct {
	*memoryLog
	mu       sync.Mutex
	statuses []string
}

var statusTable = stream.Table{Name: "status"}

func (l *statusLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if t != statusTable {
		return l.memoryLog.Append(ctx, t, records, w)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.statuses = append(l.statuses, string(r.Value))
	}
	return 0, nil
}

// waveService is an instance service that maintains idle instances in no time.
type waveService struct {
	mu         sync.Mutex
	names      []string
	maintained []string
}

func (m *waveService) List(context.Context) ([]catalog.Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []catalog.Instance
	for _, name := range m.names {
		list = append(list, catalog.Instance{Name: name, Pool: "spare", State: catalog.Up, Worker: "w-" + name, Capacity: catalog.Resources{CPU: 16000, MemoryMB: 64000}})
	}
	return list, nil
}

func (m *waveService) Move(context.Context, string, string, string, int64) error { return nil }

func (m *waveService) Maintain(_ context.Context, name string, _ int, _ string, _ int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.names, name) {
		return worker.RefusedError{Reason: worker.Invalid}
	}
	m.maintained = append(m.maintained, name)
	return nil
}

func (m *waveService) join(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = append(m.names, name)
}

// TestStatusOfAWaveThatGoesOn guards against MIXED across a takeover: a wave that was completed without an instance that had
// left stayed completed when the instance was back, since a successor never took it up again. A takeover alone changes
// nothing.
func TestStatusOfAWaveThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &statusLog{memoryLog: &memoryLog{appended: make(chan struct{})}}
		service := &waveService{names: []string{"m0", "m1"}}
		began := time.Now()
		keep := func(ctx context.Context, holder string) {
			_ = NewAutoscaler(AutoscalerConfig{
				Holder: holder, Log: log, Status: statusTable, Codec: statusCodec{}, Machines: service, Clock: bubbleClock{began: began}, Logger: zap.NewNop(),
				HolderCooldown: 3 * time.Second,
				View: func() OperatorSettings {
					return OperatorSettings{Pools: []string{"p"}, Spare: "spare", Waves: []catalog.Wave{{Number: 1, Instances: []string{"m0", "m2"}, Within: time.Minute, AtOnce: 1}}}
				},
				Exchange: func(context.Context, string, Orders) (Load, error) { return Load{}, nil },
			}).Run(ctx)
		}
		check := func(want ...string) {
			t.Helper()
			log.mu.Lock()
			defer log.mu.Unlock()
			if !slices.Equal(log.statuses, want) {
				t.Errorf("statuses %q, want %q", log.statuses, want)
			}
		}
		first, stop := context.WithCancel(t.Context())
		go keep(first, "first")
		time.Sleep(20 * time.Second)
		check("done false", "done true")
		stop()
		second, end := context.WithCancel(t.Context())
		go keep(second, "second")
		time.Sleep(10 * time.Second)
		check("done false", "done true")
		service.join("m2")
		time.Sleep(20 * time.Second)
		check("done false", "done true", "done false", "done true")
		end()
		synctest.Wait()
		if !slices.Contains(service.maintained, "m2") {
			t.Errorf("maintained %v, want m2 too", service.maintained)
		}
	})
}
