package machines

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// Bounds on the sizes of pools.
const (
	minInstances = 2               // minimum of a pool that runs work
	headroom     = 108             // capacity of a pool in percent of its demand
	shrinkAfter  = 2 * time.Second // how long a pool keeps the size that it last needed
)

// demand is the recent demand of a pool.
type demand struct {
	peak time.Duration // when the size below was last needed
	size int
}

// planSizes moves instances to pools that need more than they have, and drains surplus ones: at once when another
// pool is short of instances, otherwise after shrinkAfter.
func (r *round) planSizes() {
	if r.Spare == "" {
		return
	}
	r.measure()
	var short []string
	missing := map[string]int{}
	deficit := -r.idle()
	for pool, size := range r.plan.Sizes {
		if gap := size.Needed - size.Present; gap > 0 {
			missing[pool] = gap - r.cancelDrains(pool, gap)
			deficit += missing[pool]
			short = append(short, pool)
		}
	}
	for pool, size := range r.plan.Sizes {
		surplus := size.Present - size.Wanted - ceil(r.Loads[pool].Late, max(1, r.typical.CPU))
		if unneeded := size.Present - size.Needed; deficit > 0 && unneeded > surplus {
			surplus = max(surplus, min(unneeded, deficit))
			deficit -= surplus
		}
		if surplus > 0 {
			r.drainSurplus(pool, surplus)
		}
	}
	slices.SortFunc(short, func(a, b string) int { return missing[b] - missing[a] })
	for _, pool := range short {
		r.moveIn(pool, missing[pool])
	}
	for pool := range r.plan.Sizes {
		r.moveInLabelled(pool)
	}
	if deficit <= 0 {
		r.serveLate()
	}
}

// measure computes the sizes of the pools, limited to the instances that exist.
func (r *round) measure() {
	needs, floors, wanted := map[string]int{}, map[string]int{}, map[string]int{}
	for pool, load := range r.Loads {
		if pool == r.Spare {
			continue
		}
		needs[pool], wanted[pool] = r.size(pool, load)
		floors[pool] = max(minInstances, load.MinWorkers, ceil(load.LongRunning*headroom/percent, max(1, r.typical.CPU)))
	}
	for pool, share := range fairShare(needs, floors, r.serving()) {
		size := wanted[pool]
		if share < needs[pool] {
			size = share
		}
		r.plan.Sizes[pool] = Size{Wanted: size, Needed: share, Present: r.present(pool)}
	}
}

// serving counts the instances that are not down, in data centres that are not evacuated.
func (r *round) serving() int {
	count := 0
	for _, m := range r.Instances {
		if m.State != catalog.Down && !r.Evacuated.Has(m.DataCentre) {
			count++
		}
	}
	return count
}

// serveLate moves instances that no pool needs to pools with work that can no longer be on time.
func (r *round) serveLate() {
	for pool, load := range r.Loads {
		size := r.plan.Sizes[pool]
		if extra := ceil(load.Late, max(1, r.typical.CPU)); extra > 0 && r.sawDemand {
			r.moveIn(pool, size.Needed+extra-max(size.Present, size.Needed))
		}
	}
}

// idle counts the instances that no pool uses, and those that are being drained to leave their pool.
func (r *round) idle() int {
	count := 0
	for _, m := range r.members[r.Spare] {
		if r.movable(m) && !r.Evacuated.Has(m.DataCentre) {
			count++
		}
	}
	for name, g := range r.draining {
		if m := r.byName[name]; m != nil && g.wave == 0 {
			count++
		}
	}
	return count
}

// size returns how many instances a pool needs now, and how many it should have. The latter grows at once with the
// need and shrinks only after the need was lower for shrinkAfter.
func (r *round) size(pool string, load Load) (needed, target int) {
	if r.typical.CPU == 0 {
		return 0, 0
	}
	now := max(minInstances, load.MinWorkers, ceil((load.Demand+load.LongRunning)*headroom/percent, r.typical.CPU),
		ceil(load.Memory*headroom/percent, max(1, r.typical.MemoryMB)))
	if load.Unplaceable > 0 {
		now = max(now, r.present(pool)+1)
	}
	d, known := r.demands[pool]
	if !known {
		d = &demand{size: max(now, r.present(pool)), peak: r.Now}
		r.demands[pool] = d
	}
	r.sawDemand = r.sawDemand || load.Demand > 0
	switch {
	case !r.sawDemand:
		// Before any work arrives, every pool keeps the instances that operators gave it.
		d.size, d.peak = max(now, d.size, len(r.members[pool])), r.Now
		if load.Unplaceable == 0 {
			now = min(now, r.present(pool))
		}
	case now >= d.size, r.Now-d.peak > shrinkAfter:
		d.size, d.peak = now, r.Now
	}
	return now, d.size
}

func ceil(value, unit int) int { return (value + unit - 1) / unit }

// typicalOf returns the average resources of an instance.
func typicalOf(instances []catalog.Instance) catalog.Resources {
	var sum catalog.Resources
	for _, m := range instances {
		sum = sum.Add(m.Capacity)
	}
	n := max(1, len(instances))
	return catalog.Resources{CPU: sum.CPU / n, MemoryMB: sum.MemoryMB / n, Accelerators: sum.Accelerators / n}
}

// present counts the instances that serve a pool or will shortly.
func (r *round) present(pool string) int {
	count := 0
	for _, m := range r.members[pool] {
		if r.usable(m) {
			count++
		}
	}
	return count
}

// cancelDrains cancels the drain of up to most instances that were leaving a pool, and returns how many it kept.
func (r *round) cancelDrains(pool string, most int) int {
	kept := 0
	for _, m := range r.members[pool] {
		if g, leaves := r.draining[m.Name]; kept < most && leaves && g.wave == 0 && !r.inTransit(m.Name) {
			delete(r.draining, m.Name)
			kept++
		}
	}
	return kept
}

// drainSurplus starts to drain up to most instances of a pool without long-running tasks: those on preferred racks
// last, otherwise the least busy ones first.
func (r *round) drainSurplus(pool string, most int) {
	var free []*catalog.Instance
	short := r.shortageOf(pool)
	for _, m := range r.members[pool] {
		if short.mustKeep(m) {
			continue
		}
		if _, leaves := r.draining[m.Name]; !leaves && r.movable(m) && r.usable(m) && r.hosts[m.Worker].LongRunning == 0 {
			free = append(free, m)
		}
	}
	slices.SortFunc(free, func(a, b *catalog.Instance) int {
		if x, y := short.prefersToKeep(a), short.prefersToKeep(b); x != y {
			if y {
				return -1
			}
			return 1
		}
		return r.hosts[a.Worker].Used - r.hosts[b.Worker].Used
	})
	for _, m := range free[:min(most, len(free))] {
		r.draining[m.Name] = drainGoal{pool: pool, since: r.Now}
	}
}

// moveIn moves instances into a pool, first those with labels or racks in short supply.
func (r *round) moveIn(pool string, missing int) {
	if missing <= 0 {
		return
	}
	var offered []*catalog.Instance
	for i := range r.Instances {
		if m := &r.Instances[i]; r.canMoveInto(m, pool) {
			offered = append(offered, m)
		}
	}
	short := r.shortageOf(pool)
	for ; missing > 0 && len(offered) > 0; missing-- {
		best := 0
		for i := range offered {
			if short.rank(offered[i]) > short.rank(offered[best]) {
				best = i
			}
		}
		short.subtract(offered[best])
		r.move(offered[best], pool)
		offered = slices.Delete(offered, best, best+1)
	}
}

// moveInLabelled moves instances into a pool for tasks that require their labels, whatever the size of the pool.
func (r *round) moveInLabelled(pool string) {
	short := r.shortageOf(pool)
	for i := range r.Instances {
		m := &r.Instances[i]
		if short.lacksLabel(m) && r.canMoveInto(m, pool) {
			short.subtract(m)
			r.move(m, pool)
		}
	}
}

// canMoveInto reports whether an instance can be moved into a pool: it is off, or drained as surplus of another pool.
func (r *round) canMoveInto(m *catalog.Instance, pool string) bool {
	g, leaves := r.draining[m.Name]
	spare := m.Pool == r.Spare && !leaves
	surplus := m.Pool != pool && leaves && g.wave == 0 && r.empty(m)
	return (spare || surplus) && r.movable(m) && !r.Evacuated.Has(m.DataCentre) && !r.forbidden[[2]string{m.Name, pool}]
}

// turnOffDrained moves drained instances that no pool needs into the spare pool, where they are off.
func (r *round) turnOffDrained() {
	if r.Spare == "" {
		return
	}
	for name, g := range r.draining {
		m := r.byName[name]
		if g.wave != 0 || m == nil || !r.movable(m) || !r.empty(m) || r.forbidden[[2]string{name, r.Spare}] {
			continue
		}
		r.move(m, r.Spare)
	}
}

// obtainable returns the processors that a pool can get in addition to its own, in thousandths of a core: those of
// instances on their way to the pool, and those that no pool needs now.
func (r *round) obtainable(pool string) int {
	count := r.idle() + r.arriving(pool)
	for other, size := range r.plan.Sizes {
		if other != pool {
			count += max(0, size.Present-size.Needed)
		}
	}
	return count * r.typical.CPU
}

// incoming returns the processors of the instances that are on their way to a pool, or will be according to its fair
// share, in thousandths of a core.
func (r *round) incoming(pool string) int {
	count := r.arriving(pool)
	size := r.plan.Sizes[pool]
	return max(count, size.Needed-(size.Present-count)) * r.typical.CPU
}

// arriving counts the instances that are on their way to a pool.
func (r *round) arriving(pool string) int {
	count := 0
	for _, m := range r.members[pool] {
		if r.inTransit(m.Name) || m.State != catalog.Up {
			count++
		}
	}
	return count
}
