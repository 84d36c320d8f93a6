package machines

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// Bounds on the sizes of pools.
const (
	minInstances = 2               // in a pool that runs work
	headroom     = 108             // percent of the demand that a pool has room for
	shrinkAfter  = 2 * time.Second // time for which a pool keeps the room that it last needed
)

// demand remembers what a pool needed lately.
type demand struct {
	peak time.Duration // when the size below was last needed
	size int
}

// planSizes brings instances to pools that ask for more than they have, and empties those that are left
// over: at once when another pool is short of them, else when its pool has not needed them for a while.
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
			missing[pool] = gap - r.recall(pool, gap)
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
			r.shed(pool, surplus)
		}
	}
	slices.SortFunc(short, func(a, b string) int { return missing[b] - missing[a] })
	for _, pool := range short {
		r.fill(pool, missing[pool])
	}
	for pool := range r.plan.Sizes {
		r.fillLabels(pool)
	}
	if deficit <= 0 {
		r.serveLate()
	}
}

// measure finds the sizes of the pools, cut to what there is.
func (r *round) measure() {
	needs, floors, wanted := map[string]int{}, map[string]int{}, map[string]int{}
	for pool, load := range r.Loads {
		if pool == r.Spare {
			continue
		}
		needs[pool], wanted[pool] = r.size(pool, load)
		floors[pool] = max(minInstances, load.Spread, ceil(load.Lasting*headroom/percent, max(1, r.typical.CPU)))
	}
	for pool, part := range ration(needs, floors, r.serving()) {
		held := wanted[pool]
		if part < needs[pool] {
			held = part
		}
		r.plan.Sizes[pool] = Size{Wanted: held, Needed: part, Present: r.present(pool)}
	}
}

// serving counts the instances that serve a pool, will shortly or could.
func (r *round) serving() int {
	count := 0
	for _, m := range r.Instances {
		if m.State != catalog.Down && !r.Evacuated.Has(m.DataCentre) {
			count++
		}
	}
	return count
}

// serveLate brings instances that no pool needs to those with work that can only be late.
func (r *round) serveLate() {
	for pool, load := range r.Loads {
		size := r.plan.Sizes[pool]
		if extra := ceil(load.Late, max(1, r.typical.CPU)); extra > 0 && r.worked {
			r.fill(pool, size.Needed+extra-max(size.Present, size.Needed))
		}
	}
}

// idle counts the instances that no pool uses, or that are on their way out of one.
func (r *round) idle() int {
	count := 0
	for _, m := range r.members[r.Spare] {
		if r.movable(m) && !r.Evacuated.Has(m.DataCentre) {
			count++
		}
	}
	for name, g := range r.leaving {
		if m := r.byName[name]; m != nil && g.wave == 0 {
			count++
		}
	}
	return count
}

// size returns how many instances a pool needs now, and how many it should have: at once more when it
// asks for more, and fewer only when it has asked for fewer for a while.
func (r *round) size(pool string, load Load) (needed, held int) {
	if r.typical.CPU == 0 {
		return 0, 0
	}
	now := max(minInstances, load.Spread, ceil((load.Demand+load.Lasting)*headroom/percent, r.typical.CPU),
		ceil(load.Memory*headroom/percent, max(1, r.typical.MemoryMB)))
	if load.Stuck > 0 {
		now = max(now, r.present(pool)+1)
	}
	d, known := r.wanted[pool]
	if !known {
		d = &demand{size: max(now, r.present(pool)), peak: r.Now}
		r.wanted[pool] = d
	}
	r.worked = r.worked || load.Demand > 0
	switch {
	case !r.worked:
		// Before any work has come, every pool keeps what operators gave it.
		d.size, d.peak = max(now, d.size, len(r.members[pool])), r.Now
		if load.Stuck == 0 {
			now = min(now, r.present(pool))
		}
	case now >= d.size, r.Now-d.peak > shrinkAfter:
		d.size, d.peak = now, r.Now
	}
	return now, d.size
}

func ceil(amount, unit int) int { return (amount + unit - 1) / unit }

// typicalOf returns the room of a typical instance.
func typicalOf(instances []catalog.Instance) catalog.Amount {
	var sum catalog.Amount
	for _, m := range instances {
		sum = sum.Plus(m.Capacity)
	}
	n := max(1, len(instances))
	return catalog.Amount{CPU: sum.CPU / n, MemoryMB: sum.MemoryMB / n, Accelerators: sum.Accelerators / n}
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

// recall keeps instances that were about to leave a pool, and returns how many.
func (r *round) recall(pool string, most int) int {
	kept := 0
	for _, m := range r.members[pool] {
		if g, leaves := r.leaving[m.Name]; kept < most && leaves && g.wave == 0 && !r.inTransit(m.Name) {
			delete(r.leaving, m.Name)
			kept++
		}
	}
	return kept
}

// shed begins to empty the instances of a pool that have the least to do.
func (r *round) shed(pool string, most int) {
	var free []*catalog.Instance
	short := r.shortageOf(pool)
	for _, m := range r.members[pool] {
		if short.needs(m) {
			continue
		}
		if _, leaves := r.leaving[m.Name]; !leaves && r.movable(m) && r.usable(m) && r.hosts[m.Worker].Lasting == 0 {
			free = append(free, m)
		}
	}
	slices.SortFunc(free, func(a, b *catalog.Instance) int {
		if x, y := short.likes(a), short.likes(b); x != y {
			if y {
				return -1
			}
			return 1
		}
		return r.hosts[a.Worker].Used - r.hosts[b.Worker].Used
	})
	for _, m := range free[:min(most, len(free))] {
		r.leaving[m.Name] = goal{pool: pool, since: r.Now}
	}
}

// fill brings instances into a pool, those first that its work needs most.
func (r *round) fill(pool string, missing int) {
	if missing <= 0 {
		return
	}
	var offered []*catalog.Instance
	for i := range r.Instances {
		if m := &r.Instances[i]; r.offered(m, pool) {
			offered = append(offered, m)
		}
	}
	short := r.shortageOf(pool)
	for ; missing > 0 && len(offered) > 0; missing-- {
		best := 0
		for i := range offered {
			if short.worth(offered[i]) > short.worth(offered[best]) {
				best = i
			}
		}
		short.take(offered[best])
		r.move(offered[best], pool)
		offered = slices.Delete(offered, best, best+1)
	}
}

// fillLabels brings instances into a pool whose tasks can run nowhere else, however many others it has.
func (r *round) fillLabels(pool string) {
	short := r.shortageOf(pool)
	for i := range r.Instances {
		m := &r.Instances[i]
		if short.lacksLabel(m) && r.offered(m, pool) {
			short.take(m)
			r.move(m, pool)
		}
	}
}

// offered reports whether an instance can be moved into a pool: one that is off, or that another pool can spare.
func (r *round) offered(m *catalog.Instance, pool string) bool {
	g, leaves := r.leaving[m.Name]
	spare := m.Pool == r.Spare && !leaves
	surplus := m.Pool != pool && leaves && g.wave == 0 && r.empty(m)
	return (spare || surplus) && r.movable(m) && !r.Evacuated.Has(m.DataCentre) && !r.barred[[2]string{m.Name, pool}]
}

// finishLeaving turns off the instances that no pool needs.
func (r *round) finishLeaving() {
	if r.Spare == "" {
		return
	}
	for name, g := range r.leaving {
		m := r.byName[name]
		if g.wave != 0 || m == nil || !r.movable(m) || !r.empty(m) || r.barred[[2]string{name, r.Spare}] {
			continue
		}
		r.move(m, r.Spare)
	}
}

// reach returns the processors that a pool can get beside what it has, in thousandths of a core: instances
// on their way to it, and those that no pool needs now.
func (r *round) reach(pool string) int {
	count := r.idle() + r.arriving(pool)
	for other, size := range r.plan.Sizes {
		if other != pool {
			count += max(0, size.Present-size.Needed)
		}
	}
	return count * r.typical.CPU
}

// coming returns the processors of the instances that are on their way to a pool, or will be by its part of what
// there is, in thousandths of a core.
func (r *round) coming(pool string) int {
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
