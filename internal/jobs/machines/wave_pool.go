package machines

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// percent is the denominator of values in percent.
const percent = 100

// Limits on how many instances of a pool are away at once for a wave.
const (
	lowUtilization = 55              // percent; below this a pool can spare as many as awayDivisor allows
	awayDivisor    = 3               // a pool spares at most one in this many instances, and at least one
	wavePeriod     = 6 * time.Second // from the choice of an instance until it serves again after its maintenance
)

// wavePool is a pool during a wave.
type wavePool struct {
	utilization int // demand in percent of capacity; -1 for the spare pool, whose instances are off
	away        int // instances that are down or drained for a wave
	allowed     int // instances that may be away at once
}

// wavePools returns what each pool with members can spare for a wave.
func (r *round) wavePools(w *wave) map[string]*wavePool {
	pending := map[string]int{}
	for _, name := range w.pending() {
		if m := r.byName[name]; m != nil {
			pending[m.Pool]++
		}
	}
	pools := map[string]*wavePool{}
	for i := range r.Instances {
		pool := r.Instances[i].Pool
		if pools[pool] == nil {
			pools[pool] = r.wavePool(w, pool, pending[pool])
		}
	}
	return pools
}

// wavePool returns what one pool can spare, given how many of its instances the wave has yet to maintain.
func (r *round) wavePool(w *wave, name string, pending int) *wavePool {
	members := r.members[name]
	if name == r.Spare {
		return &wavePool{utilization: -1, allowed: len(r.Instances)}
	}
	pool := &wavePool{utilization: r.utilization(name)}
	for _, m := range members {
		if r.isAway(w, m) {
			pool.away++
		}
	}
	if _, answered := r.Loads[name]; !answered {
		return pool
	}
	pool.allowed = max(1, len(members)/awayDivisor)
	if pool.utilization >= lowUtilization {
		pool.allowed = min(pool.allowed, w.atOnce(pending, w.began+w.Within-r.Now))
	}
	return pool
}

// isAway reports whether an instance is down or drained for a wave. An instance that leaves as surplus does not count:
// its pool does not need it.
func (r *round) isAway(w *wave, m *catalog.Instance) bool {
	g, leaves := r.draining[m.Name]
	return leaves && g.wave != 0 || m.State != catalog.Up || w.down[m.Name] > 0
}

// atOnce returns how many of a busy pool's pending instances must be away at once for the wave to end in the time left,
// with one period to spare.
func (w *wave) atOnce(pending int, left time.Duration) int {
	if left <= wavePeriod {
		return max(1, pending)
	}
	return max(1, ceil(pending*int(wavePeriod/time.Millisecond), int((left-wavePeriod)/time.Millisecond)+1))
}

// utilization returns the demand of a pool in percent of its capacity.
func (r *round) utilization(pool string) int {
	capacity := 0
	for _, m := range r.members[pool] {
		if r.usable(m) {
			capacity += m.Capacity.CPU
		}
	}
	if capacity == 0 {
		return percent
	}
	load := r.Loads[pool]
	return (load.Demand + load.LongRunning) * percent / capacity
}
