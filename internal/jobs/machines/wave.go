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
	instances    id.Set[string] // all instances of the wave
	began        time.Duration
	done         id.Set[string]           // maintained instances, and those that the platform's wave does not have
	left         id.Set[string]           // other instances that are known to have left the fleet, until they are back
	returned     bool                     // an instance that is still to be maintained is listed
	down         map[string]time.Duration // instances taken down, with the time of the order
	firstWorkers map[string]string        // worker whose incarnation the first order for the instance was to end
	waitReasons  map[string]string        // what each pending instance waits for
	withdrawn    bool                     // the operators have withdrawn the wave; it only waits for its orders and instances
}

// AddWave adds a wave, which may have been withdrawn before; done names its instances that are already maintained.
func (p *Planner) AddWave(now time.Duration, w catalog.Wave, done []string) {
	if p.HasWave(w.Number) {
		return
	}
	added := &wave{
		Wave: w, instances: id.NewSet(w.Instances...), began: now, done: id.NewSet(done...), left: id.Set[string]{},
		down: map[string]time.Duration{}, firstWorkers: map[string]string{}, waitReasons: map[string]string{},
	}
	if withdrawn, ok := p.waves[w.Number]; ok {
		added.done, added.down, added.firstWorkers = withdrawn.done, withdrawn.down, withdrawn.firstWorkers
	}
	p.waves[w.Number] = added
}

// Waves returns the sorted numbers of all waves that are not withdrawn.
func (p *Planner) Waves() []int {
	var numbers []int
	for n, w := range p.waves {
		if !w.withdrawn {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// WaveProgress is how far a wave has come.
type WaveProgress struct {
	Done     []string // maintained instances, sorted
	Complete bool     // none is pending; those that have left the fleet are not
	Returned bool     // one that is pending is listed, such as one that had left
}

// Progress returns how far a wave has come.
func (p *Planner) Progress(number int) WaveProgress {
	w, ok := p.waves[number]
	if !ok {
		return WaveProgress{}
	}
	var names []string
	for name := range w.done {
		names = append(names, name)
	}
	slices.Sort(names)
	pending := w.pending()
	staying := slices.ContainsFunc(pending, func(name string) bool { return !w.left.Has(name) })
	return WaveProgress{Done: names, Complete: !staying, Returned: w.returned}
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

// RecordMaintenance applies the outcome of a MaintainAction.
func (p *Planner) RecordMaintenance(now time.Duration, a MaintainAction, o Outcome) {
	w, ok := p.waves[a.Wave]
	if !ok {
		return
	}
	switch o {
	case Completed:
		p.retire(now, w.firstWorkers[a.Instance])
		w.done.Add(a.Instance)
		w.down[a.Instance] = now
		delete(p.draining, a.Instance)
	case Forbidden:
		w.done.Add(a.Instance)
		delete(w.down, a.Instance)
		delete(p.draining, a.Instance)
	case NoInstance:
		p.presence.recordNone(now, a.Instance)
		delete(w.down, a.Instance)
		delete(w.firstWorkers, a.Instance)
		delete(p.draining, a.Instance)
		p.cooldownUntil[a.Instance] = now + refusalBackoff
	case Refused:
		delete(w.down, a.Instance)
		delete(w.firstWorkers, a.Instance)
		p.cooldownUntil[a.Instance] = now + refusalBackoff
	case Unanswered:
		// The instance may be down: it is counted as down and the order is repeated.
		p.retire(now, w.firstWorkers[a.Instance])
		w.down[a.Instance] = now
	}
	delete(p.transit, a.Instance)
}

// Waiting returns what each pending instance of a wave waits for.
func (p *Planner) Waiting(number int) map[string]string {
	if w, ok := p.waves[number]; ok {
		return w.waitReasons
	}
	return nil
}

// awaitsMaintenance reports whether an instance is still to be maintained by a wave.
func (p *Planner) awaitsMaintenance(name string) bool {
	for _, w := range p.waves {
		if !w.withdrawn && w.instances.Has(name) && !w.done.Has(name) {
			return true
		}
	}
	return false
}

// minDown is the shortest time that an instance counts as down.
const minDown = time.Second

// planWaves drains the next instances of each wave and takes down those that are empty.
func (r *round) planWaves() {
	r.dropWithdrawn()
	for _, number := range r.Waves() {
		r.planWave(r.waves[number])
	}
}

// settleDown drops the instances of a wave that are up again or have left.
func (r *round) settleDown(w *wave) {
	for name, since := range w.down {
		m := r.byName[name]
		isUp := m != nil && m.State == catalog.Up && r.Listed > since+minDown
		if isUp || m == nil && r.hasLeft(name, since) {
			delete(w.down, name)
		}
	}
}

// settleLeft records which pending instances of a wave are known to have left, and whether one that stays is listed.
func (r *round) settleLeft(w *wave) {
	w.left = id.Set[string]{}
	for _, name := range w.pending() {
		if r.hasLeft(name, w.began) {
			w.left.Add(name)
		}
	}
	w.returned = r.listsPending(w)
}

func (r *round) planWave(w *wave) {
	r.settleDown(w)
	r.settleLeft(w)
	down := r.countDown(w)
	free := max(1, w.AtOnce) - down
	draining := 0
	w.waitReasons = map[string]string{}
	var waiting []*catalog.Instance
	for _, name := range w.pending() {
		if w.left.Has(name) {
			continue
		}
		g, leaves := r.draining[name]
		drains := leaves && g.wave == w.Number
		if drains {
			draining++
		}
		m := r.byName[name]
		if m == nil {
			w.waitReasons[name] = "being listed"
			continue
		}
		w.waitReasons[name] = "a free place in the wave"
		if drains {
			w.waitReasons[name] = "its tasks to drain"
			if free > 0 && r.movable(m) && r.empty(m) {
				free--
				r.maintain(w, m)
			}
			continue
		}
		if !r.movable(m) {
			w.waitReasons[name] = "being up, with no pending order or cooldown"
			continue
		}
		waiting = append(waiting, m)
	}
	r.drainNext(w, waiting, max(1, w.AtOnce)-down-draining)
}

// countDown counts the instances of a wave that are down or may be: those that this autoscaler took down, those that
// the list shows in maintenance or lacks without proof that they are not, and those that an earlier holder recently sent
// orders to.
func (r *round) countDown(w *wave) int {
	down := len(w.down)
	for _, name := range w.Instances {
		if _, own := w.down[name]; own {
			continue
		}
		m := r.byName[name]
		inMaintenance := m != nil && m.State == catalog.InMaintenance || m == nil && r.mayBeDown(w, name)
		if inMaintenance || r.Now < r.inheritedUntil[name] {
			down++
		}
	}
	return down
}

func (r *round) maintain(w *wave, m *catalog.Instance) {
	w.down[m.Name] = r.Now
	r.transit[m.Name] = transit{pool: m.Pool, since: r.Now, sent: true}
	if _, again := w.firstWorkers[m.Name]; !again {
		w.firstWorkers[m.Name] = m.Worker
	}
	r.plan.Actions = append(r.plan.Actions, MaintainAction{Instance: m.Name, Wave: w.Number})
}

// drainNext chooses the instances to drain next: first those that are off, then in pools of low utilization those
// with long-running tasks, which take the longest to drain, then the least busy ones of the least busy pools.
func (r *round) drainNext(w *wave, waiting []*catalog.Instance, free int) {
	pools := r.wavePools(w)
	slices.SortFunc(waiting, func(a, b *catalog.Instance) int {
		x, y := pools[a.Pool].utilization, pools[b.Pool].utilization
		if x >= 0 && y >= 0 && x < lowUtilization && y < lowUtilization {
			if n, m := r.hosts[a.Worker].LongRunning, r.hosts[b.Worker].LongRunning; n != m {
				return m - n
			}
		}
		if x != y {
			return x - y
		}
		return r.hosts[a.Worker].Used - r.hosts[b.Worker].Used
	})
	for _, m := range waiting {
		if free <= 0 {
			return
		}
		pool := pools[m.Pool]
		if pool.away >= pool.allowed {
			w.waitReasons[m.Name] = "other instances of its pool to serve"
			continue
		}
		r.draining[m.Name] = drainGoal{wave: w.Number, pool: m.Pool, since: r.Now}
		pool.away++
		free--
	}
}
