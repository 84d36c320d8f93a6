package machines

import (
	"time"

	"go.uber.org/zap"
)

// waitLog is the time between two lines on what a wave waits for.
const waitLog = 2 * time.Second

// logWaiting tells what the instances of a wave wait for.
func (k *Keeper) logWaiting(now time.Duration) {
	if now-k.told < waitLog {
		return
	}
	k.told = now
	for _, number := range k.planner.Waves() {
		if waiting := k.planner.Waiting(number); len(waiting) > 0 {
			k.config.Logger.Info("wave goes on", zap.Int("wave", number), zap.Int("left", len(waiting)), zap.Any("waiting", waiting))
		}
	}
}

// logSizes leaves a line for each pool whose wanted size has changed.
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
