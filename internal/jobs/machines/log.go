package machines

import (
	"time"

	"go.uber.org/zap"
)

// waitLogInterval is the interval between log lines on what waves wait for.
const waitLogInterval = 2 * time.Second

// logWaiting logs what the instances of each wave wait for.
func (a *Autoscaler) logWaiting(now time.Duration) {
	if now-a.waitLogged < waitLogInterval {
		return
	}
	a.waitLogged = now
	for _, number := range a.planner.Waves() {
		if waiting := a.planner.Waiting(number); len(waiting) > 0 {
			a.config.Logger.Info("wave in progress", zap.Int("wave", number), zap.Int("left", len(waiting)), zap.Any("waiting", waiting))
		}
	}
}

// logSizes logs each pool whose wanted size has changed.
func (a *Autoscaler) logSizes(sizes map[string]Size) {
	for pool, size := range sizes {
		if a.sizes[pool].Wanted != size.Wanted {
			load := a.loads[pool]
			a.config.Logger.Info("pool size decided", zap.String("pool", pool), zap.Int("wanted", size.Wanted),
				zap.Int("present", size.Present), zap.Int("demand", load.Demand), zap.Int("lasting", load.LongRunning))
		}
	}
	a.sizes = sizes
}
