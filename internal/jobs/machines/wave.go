package machines

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// wave is the maintenance of some instances.
type wave struct {
	catalog.Wave
	began time.Duration
	done  id.Set[string]
	down  map[string]time.Duration // instances taken down, by the time of the order
	asked map[string]string        // worker whose life the first order for an instance was to end
	why   map[string]string        // what each instance waits for
}

// AddWave makes a wave known; done are instances that were maintained before.
func (p *Planner) AddWave(now time.Duration, w catalog.Wave, done []string) {
	if _, known := p.waves[w.Number]; known {
		return
	}
	p.waves[w.Number] = &wave{Wave: w, began: now, done: id.NewSet(done...), down: map[string]time.Duration{}, asked: map[string]string{}, why: map[string]string{}}
}

// DropWave forgets a wave that was withdrawn.
func (p *Planner) DropWave(number int) { delete(p.waves, number) }

// Waves returns the numbers of all waves that are known.
func (p *Planner) Waves() []int {
	var numbers []int
	for n := range p.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// Done returns the instances of a wave that were maintained, and whether that is all of them.
func (p *Planner) Done(number int) ([]string, bool) {
	w, ok := p.waves[number]
	if !ok {
		return nil, false
	}
	var names []string
	for name := range w.done {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, len(w.pending()) == 0
}

func (w *wave) pending() []string {
	var names []string
	for _, name := range w.Instances {
		if !w.done.Has(name) {
			names = append(names, name)
		}
	}
	return names
}

// Maintained takes in the outcome of a MaintainAction.
func (p *Planner) Maintained(now time.Duration, a MaintainAction, o Outcome) {
	w, ok := p.waves[a.Wave]
	if !ok {
		return
	}
	switch o {
	case Carried:
		p.retire(now, w.asked[a.Instance])
		w.done.Add(a.Instance)
		w.down[a.Instance] = now
		delete(p.leaving, a.Instance)
	case Barred:
		w.done.Add(a.Instance)
		delete(w.down, a.Instance)
		delete(p.leaving, a.Instance)
	case Refused:
		delete(w.down, a.Instance)
		delete(w.asked, a.Instance)
		p.busy[a.Instance] = now + busyPause
	case Unanswered:
		// It may be down: it counts as such and the order is repeated.
		w.down[a.Instance] = now
	}
	delete(p.transit, a.Instance)
}

// Waiting tells what each instance of a wave waits for that is not maintained yet.
func (p *Planner) Waiting(number int) map[string]string {
	if w, ok := p.waves[number]; ok {
		return w.why
	}
	return nil
}

// due reports whether an instance waits for its maintenance.
func (p *Planner) due(name string) bool {
	for _, w := range p.waves {
		if slices.Contains(w.Instances, name) && !w.done.Has(name) {
			return true
		}
	}
	return false
}

// minDown is the shortest time that an instance counts as down.
const minDown = time.Second

// planWaves empties the next instances of each wave and takes down those that are empty.
func (r *round) planWaves() {
	for _, number := range r.Waves() {
		r.planWave(r.waves[number])
	}
}

func (r *round) planWave(w *wave) {
	for name, since := range w.down {
		m := r.byName[name]
		if m == nil || m.State == catalog.Up && r.Listed > since+minDown {
			delete(w.down, name)
		}
	}
	down := r.downOf(w)
	room := max(1, w.AtOnce) - down
	emptying := 0
	w.why = map[string]string{}
	var waiting []*catalog.Instance
	for _, name := range w.pending() {
		m := r.byName[name]
		if m == nil {
			if len(r.Instances) > 0 {
				w.done.Add(name) // it has left the fleet
			}
			continue
		}
		w.why[name] = "a turn"
		if g, leaves := r.leaving[name]; leaves && g.wave == w.Number {
			emptying++
			w.why[name] = "its tasks to leave"
			if room > 0 && r.movable(m) && r.empty(m) {
				room--
				r.maintain(w, m)
			}
			continue
		}
		if !r.movable(m) {
			w.why[name] = "being up and at rest"
			continue
		}
		waiting = append(waiting, m)
	}
	r.emptyNext(w, waiting, max(1, w.AtOnce)-down-emptying)
}

// downOf counts the instances of a wave that are down or may be: those of this keeper, those that the list
// shows in their maintenance, and those that an earlier keeper ordered about lately.
func (r *round) downOf(w *wave) int {
	down := len(w.down)
	for _, name := range w.Instances {
		m := r.byName[name]
		if _, own := w.down[name]; own || m == nil {
			continue
		}
		if m.State == catalog.InUpkeep || r.Now < r.rests[name] {
			down++
		}
	}
	return down
}

func (r *round) maintain(w *wave, m *catalog.Instance) {
	w.down[m.Name] = r.Now
	r.transit[m.Name] = transit{pool: m.Pool, since: r.Now, sent: true}
	if _, again := w.asked[m.Name]; !again {
		w.asked[m.Name] = m.Worker
	}
	r.plan.Actions = append(r.plan.Actions, MaintainAction{Instance: m.Name, Wave: w.Number})
}

// emptyNext chooses instances to be emptied: those that are off first, then in calm pools those with tasks
// that last, which take the longest to leave, then the least busy ones of the least busy pools.
func (r *round) emptyNext(w *wave, waiting []*catalog.Instance, room int) {
	slices.SortFunc(waiting, func(a, b *catalog.Instance) int {
		x, y := r.strain(a), r.strain(b)
		if x >= 0 && y >= 0 && x < calmStrain && y < calmStrain {
			if n, m := r.hosts[a.Worker].Lasting, r.hosts[b.Worker].Lasting; n != m {
				return m - n
			}
		}
		if x != y {
			return x - y
		}
		return r.hosts[a.Worker].Used - r.hosts[b.Worker].Used
	})
	for _, m := range waiting {
		if room <= 0 {
			return
		}
		if !r.mayEmpty(w, m) {
			w.why[m.Name] = "others of its pool to serve"
			continue
		}
		r.leaving[m.Name] = goal{wave: w.Number, pool: m.Pool, since: r.Now}
		room--
	}
}

// percent is the unit of strain.
const percent = 100

// strain is how much of its pool's room is asked for, in percent; an instance that is off has none.
func (r *round) strain(m *catalog.Instance) int {
	if m.Pool == r.Spare {
		return -1
	}
	room := 0
	for _, other := range r.members[m.Pool] {
		if r.usable(other) {
			room += other.Capacity.CPU
		}
	}
	if room == 0 {
		return percent
	}
	load := r.Loads[m.Pool]
	return (load.Demand + load.Lasting) * percent / room
}

// Bounds on how many instances of a pool are emptied at once for a wave.
const (
	calmStrain = 55 // percent; below it a pool can miss more of its instances
	calmPart   = 3  // a calm pool misses at most one in so many, and always one
)

// mayEmpty reports whether a pool can miss one more instance now.
func (r *round) mayEmpty(w *wave, m *catalog.Instance) bool {
	if m.Pool == r.Spare {
		return true
	}
	if _, answered := r.Loads[m.Pool]; !answered {
		return false
	}
	away := 0
	for _, other := range r.members[m.Pool] {
		// What leaves because its pool does not need it is not missed.
		g, leaves := r.leaving[other.Name]
		if leaves && g.wave != 0 || other.State != catalog.Up || w.down[other.Name] > 0 {
			away++
		}
	}
	allowed := 1
	if r.strain(m) < calmStrain || r.late(w) {
		allowed = max(1, len(r.members[m.Pool])/calmPart)
	}
	return away < allowed
}

// slowUpkeep is the time that one instance takes from its choice until it serves again.
const slowUpkeep = 6 * time.Second

// late reports whether a wave will not end in time at the pace of one instance a pool.
func (r *round) late(w *wave) bool {
	left := w.began + w.Within - r.Now
	pools := max(1, len(r.Loads))
	rounds := (len(w.pending()) + pools - 1) / pools
	return time.Duration(rounds)*slowUpkeep > left
}
