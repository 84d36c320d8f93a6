package entry

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
)

// pool is this instance's side of one pool: who waits for it, who runs in it, and where.
type pool struct {
	name      id.Pool
	line      *queue.Line
	workers   []*worker // instances that new work may go to
	slots     int       // of those
	running   map[id.Team]int
	allocated map[id.Team]int           // slots that are allocated to each team here
	slack     int                       // further slots for any team
	took      map[id.Team]time.Duration // smoothed time that a request runs
	short     time.Time                 // since when demand has been above the slots
}

// worker is this instance's side of one worker.
type worker struct {
	name    id.Instance
	address netip.AddrPort
	dc      id.DataCentre
	rack    id.Rack
	slots   int

	processors   int
	memoryBytes  int64
	accelerators int

	running  int
	rank     uint64    // orders equals differently on every member
	free     int       // slots that it said were free, less those used since; -1 when not known
	refusals int       // in a row for lack of slots
	full     time.Time // not asked again for a slot until then
	avoid    time.Time // not tried again until then
	failures int       // in a row
	down     time.Time // since when it has not answered at all
}

// Intervals for workers that refuse or fail.
const (
	fullLeast    = 50 * time.Millisecond
	fullMost     = 400 * time.Millisecond
	avoidLeast   = 250 * time.Millisecond
	avoidMost    = 4 * time.Second
	failureLimit = 5 // failed answers in a row before a worker is avoided
)

// pool returns the pool of a name, making it if need be.
func (c *Control) pool(name id.Pool) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{
			name: name, line: queue.NewLine(c.config.Order), running: map[id.Team]int{},
			allocated: map[id.Team]int{}, took: map[id.Team]time.Duration{},
		}
		c.pools[name] = p
	}
	return p
}

// refreshPools brings pools and workers up to date with the tables.
func (c *Control) refreshPools() {
	for _, p := range c.pools {
		p.workers = nil
		p.slots = 0
	}
	for _, rule := range c.tables.Rules().Pools {
		c.pool(rule.Name)
	}
	for name, instance := range c.tables.Instances {
		w := c.worker(name, instance)
		usable := instance.State == fleet.Up || c.config.Planted.IgnoreLeaving
		if !usable || c.out(instance.DataCentre) {
			continue
		}
		p := c.pool(instance.Pool)
		p.workers = append(p.workers, w)
		p.slots += w.slots
	}
	for name, w := range c.workers {
		if _, ok := c.tables.Instances[name]; !ok && w.running == 0 {
			delete(c.workers, name)
		}
	}
}

func (c *Control) worker(name id.Instance, instance *fleet.Instance) *worker {
	w, ok := c.workers[name]
	if !ok || w.address != instance.Address && w.running == 0 {
		w = &worker{name: name, free: -1, rank: xxhash.Sum64String(string(c.self) + string(name))}
		c.workers[name] = w
	}
	w.address = instance.Address
	w.dc = instance.DataCentre
	w.rack = instance.Rack
	w.slots = instance.Slots
	w.processors = instance.Processors
	w.memoryBytes = instance.MemoryBytes
	w.accelerators = instance.Accelerators
	return w
}

// choose returns the worker of a pool for a request: one without accelerators that it does not need, in
// the own data centre, and the least loaded, in this order.
func (c *Control) choose(now time.Time, p *pool, n Needs) (*worker, bool) {
	var best *worker
	for _, w := range p.workers {
		if w.running >= w.slots || w.free == 0 && now.Before(w.full) || now.Before(w.avoid) || !w.fits(n) {
			continue
		}
		if best == nil || c.prefer(w, best, n) {
			best = w
		}
	}
	return best, best != nil
}

// prefer reports whether a worker is the better choice of two.
func (c *Control) prefer(a, b *worker, n Needs) bool {
	if n.Accelerators == 0 && (a.accelerators == 0) != (b.accelerators == 0) {
		return a.accelerators == 0
	}
	home := c.config.DataCentre
	if (a.dc == home) != (b.dc == home) {
		return a.dc == home
	}
	x := a.running * b.slots
	y := b.running * a.slots
	if x != y {
		return x < y
	}
	return a.rank < b.rank
}

// use notes that a slot of a worker is about to be used. Once none is known to be free, the worker is
// left alone until a request ends there and says how many are, or until it is time to ask again.
func (w *worker) use(now time.Time) {
	w.running++
	if w.free <= 0 {
		return
	}
	w.free--
	if w.free == 0 {
		w.full = now.Add(fullLeast)
	}
}

// lacks notes that a worker refused for lack of slots.
func (w *worker) lacks(now time.Time) {
	w.free = 0
	w.full = now.Add(min(fullMost, fullLeast<<min(w.refusals, 8)))
	w.refusals++
}

// tells notes how many slots a worker said were free.
func (w *worker) tells(free int) {
	w.refusals = 0
	w.free = free
}

// trouble keeps work away from a worker for a time that doubles with every failure in a row.
func (w *worker) trouble(now time.Time) {
	w.failures++
	wait := min(avoidMost, avoidLeast<<min(w.failures-1, 8))
	w.avoid = now.Add(wait)
}

// reachable returns the slots of workers that are not being avoided.
func (p *pool) reachable(now time.Time) int {
	slots := 0
	for _, w := range p.workers {
		if !now.Before(w.avoid) {
			slots += w.slots
		}
	}
	return slots
}
