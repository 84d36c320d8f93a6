package machines

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// TestWithdrawnWaveMaintainsNothing guards against the maintenance of an instance that is back, for a wave that had ended without
// it and that the operators have withdrawn since.
func TestWithdrawnWaveMaintainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &statusLog{memoryLog: &memoryLog{appended: make(chan struct{})}}
		service := &waveService{names: []string{"m0", "m1"}}
		var withdrawn atomic.Bool
		view := func() OperatorSettings {
			s := OperatorSettings{Pools: []string{"p"}, Spare: "spare"}
			if !withdrawn.Load() {
				s.Waves = []catalog.Wave{{Number: 1, Instances: []string{"m0", "m2"}, Within: time.Minute, AtOnce: 1}}
			}
			return s
		}
		a := NewAutoscaler(AutoscalerConfig{
			Holder: "a", Log: log, Status: statusTable, Codec: statusCodec{}, Machines: service, Clock: bubbleClock{began: time.Now()},
			Logger: zap.NewNop(), HolderCooldown: 3 * time.Second, View: view,
			Exchange: func(context.Context, string, Orders) (Load, error) { return Load{}, nil },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		time.Sleep(20 * time.Second)
		withdrawn.Store(true)
		time.Sleep(time.Second)
		service.join("m2")
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		if slices.Contains(service.maintained, "m2") {
			t.Errorf("maintained %v, want m0 only", service.maintained)
		}
	})
}
