package machines

import (
	"time"

	"go.uber.org/zap"
)

// waitLogInterval is the interval between log lines on what waves wait for.
const waitLogInterval = 2 * time.Second

// logWaiting logs what the instances of each wave wait for.
func (k *Keeper) logWaiting(now time.Duration) {
	if now-k.waitLogged < waitLogInterval {
		return
	}
	k.waitLogged = now
	for _, number := range k.planner.Waves() {
		if waiting := k.planner.Waiting(number); len(waiting) > 0 {
			k.config.Logger.Info("wave in progress", zap.Int("wave", number), zap.Int("left", len(waiting)), zap.Any("waiting", waiting))
		}
	}
}

// logSizes logs each pool whose wanted size has changed.
func (k *Keeper) logSizes(sizes map[string]Size) {
	for pool, size := range sizes {
		if k.sizes[pool].Wanted != size.Wanted {
			load := k.loads[pool]
			k.config.Logger.Info("pool size decided", zap.String("pool", pool), zap.Int("wanted", size.Wanted),
				zap.Int("present", size.Present), zap.Int("demand", load.Demand), zap.Int("lasting", load.Lasting))
		}
	}
	k.sizes = sizes
}
