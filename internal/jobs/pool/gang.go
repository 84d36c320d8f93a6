package pool

import (
	"slices"
	"strings"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// placeGang starts all members of a gang, or none.
func (p *Pool) placeGang(at Moment, it *item, hosts []*host, o *offer) {
	step := &it.entry.job.Spec.Steps[it.step]
	tasks := it.occurrence.Steps[it.step]
	if !p.team(it.entry.job.Spec.Team).admits(step) {
		return
	}
	latest := 0
	for i := range tasks {
		if tasks[i].Placed() {
			return
		}
		latest = max(latest, tasks[i].Run)
	}
	for _, group := range gangHosts(step, hosts) {
		if p.placeMembers(at, it, latest, group, o) {
			it.entry.suspectSince = 0
			return
		}
	}
	if it.hasSuspects() {
		it.entry.recordUnisolated(at)
	}
}

// gangHosts returns the groups of workers that a gang may be placed on, best first. If the gang should stay on one
// rack, these are the racks that can hold it; if there are none, or any rack will do, the only group is all workers.
func gangHosts(step *job.Step, hosts []*host) [][]*host {
	if !step.SameRack {
		return [][]*host{hosts}
	}
	racks := map[string][]*host{}
	for _, h := range hosts {
		racks[h.info.Rack] = append(racks[h.info.Rack], h)
	}
	var groups [][]*host
	for _, group := range racks {
		if canHoldGang(step, group) {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(a, b []*host) int {
		if x, y := freeCPU(a), freeCPU(b); x != y {
			return y - x
		}
		return strings.Compare(a[0].info.Rack, b[0].info.Rack)
	})
	if len(groups) == 0 {
		return [][]*host{hosts}
	}
	return groups
}

func freeCPU(hosts []*host) int {
	sum := 0
	for _, h := range hosts {
		sum += h.free().CPU
	}
	return sum
}

// canHoldGang reports whether workers could hold a gang if only long-running tasks ran there.
func canHoldGang(step *job.Step, hosts []*host) bool {
	members := 0
	for _, h := range hosts {
		members += h.memberCapacity(step)
	}
	return members >= step.Count
}

// memberCapacity returns how many tasks of a step a worker could hold if only its long-running tasks ran there.
func (h *host) memberCapacity(step *job.Step) int {
	if !h.info.Has(step.Label) {
		return 0
	}
	free := h.info.Capacity
	for _, r := range h.runs {
		if r.step.LongRunning {
			free = free.Sub(r.need)
		}
	}
	count := taskCapacity(free, step)
	if step.PerWorker > 0 {
		count = min(count, step.PerWorker)
	}
	return count
}

// taskCapacity returns how many tasks of a step fit into the given resources, up to step.Count.
func taskCapacity(free catalog.Resources, step *job.Step) int {
	need := needOf(step)
	if !free.Covers(need) {
		return 0
	}
	count := step.Count
	for _, pair := range [...][2]int{{free.CPU, need.CPU}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			count = min(count, pair[0]/pair[1])
		}
	}
	return count
}

// hostForMember returns a worker for a member of a gang, or nil if it fits nowhere.
func (p *Pool) hostForMember(at Moment, it *item, t *job.Task, hosts []*host, o *offer) *host {
	step := &it.entry.job.Spec.Steps[it.step]
	if isHeld(step, t) {
		return nil
	}
	if t.Crash.Suspected {
		return p.hostForSuspect(at, it, t, hosts, o)
	}
	return p.hostFor(it, t, hosts, o)
}

// placeMembers starts all members of a gang on some workers, or none.
func (p *Pool) placeMembers(at Moment, it *item, latest int, hosts []*host, o *offer) bool {
	tasks := it.occurrence.Steps[it.step]
	var placed []*run
	for i := range tasks {
		tasks[i].Run = latest
		h := p.hostForMember(at, it, &tasks[i], hosts, o)
		if h == nil {
			for _, r := range placed {
				p.dropUnsent(r)
				p.release(r)
				r.task.Run = latest
			}
			return false
		}
		placed = append(placed, p.place(at, it.entry, &tasks[i], h))
	}
	return true
}
