package entry

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
)

// pool is this instance's state of one pool: the waiting requests, the running requests and the workers.
type pool struct {
	name       id.Pool
	waitQueue  *queue.WaitQueue
	workers    []*worker // workers that accept new requests
	slots      int       // total slots of workers
	running    map[id.Team]int
	allocated  map[id.Team]int           // slots allocated to each team on this instance
	slack      int                       // additional slots for any team
	runTimes   map[id.Team]time.Duration // smoothed run time of a request
	shortSince time.Time                 // since when demand has exceeded the slots
}

// worker is this instance's state of one worker.
type worker struct {
	name    id.Instance
	address netip.AddrPort
	dc      id.DataCentre
	rack    id.Rack
	slots   int

	processors   int
	memoryBytes  int64
	accelerators int

	running    int
	rank       uint64    // breaks ties differently on every member
	free       int       // free slots it last reported, less those used since; -1 if unknown
	refusals   int       // consecutive refusals for lack of slots
	fullUntil  time.Time // with no free slots, not tried again until then
	avoidUntil time.Time // not tried again until then, after failures
	failures   int       // consecutive failures
	downSince  time.Time // since when it has not answered; zero if it answers
}

// Backoff of workers that refuse or fail.
const (
	minFullBackoff  = 50 * time.Millisecond
	maxFullBackoff  = 400 * time.Millisecond
	minAvoidBackoff = 250 * time.Millisecond
	maxAvoidBackoff = 4 * time.Second
	failureLimit    = 5 // consecutive failed answers before a worker is avoided
)

// pool returns the pool with a name and creates it if necessary.
func (c *Control) pool(name id.Pool) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{
			name: name, waitQueue: queue.NewWaitQueue(c.config.Order), running: map[id.Team]int{},
			allocated: map[id.Team]int{}, runTimes: map[id.Team]time.Duration{},
		}
		c.pools[name] = p
	}
	return p
}

// refreshPools updates pools and workers from the tables.
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
		usable := instance.State == fleet.Up || c.config.DisabledChecks.IgnoreLeaving
		if !usable || c.isOut(instance.DataCentre) {
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

// choose returns the best worker of a pool for a request. It prefers workers without accelerators if the request needs
// none, then those in the own data centre, then the least loaded.
func (c *Control) choose(now time.Time, p *pool, n Needs) (*worker, bool) {
	var best *worker
	for _, w := range p.workers {
		if w.running >= w.slots || w.free == 0 && now.Before(w.fullUntil) || now.Before(w.avoidUntil) || !w.fits(n) {
			continue
		}
		if best == nil || c.isBetter(w, best, n) {
			best = w
		}
	}
	return best, best != nil
}

// isBetter reports whether worker a is a better choice than worker b.
func (c *Control) isBetter(a, b *worker, n Needs) bool {
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

// occupySlot records that a slot of a worker is about to be used. Once no slot is known to be free, the worker is not
// used until a request ends there and reports free slots, or until fullUntil.
func (w *worker) occupySlot(now time.Time) {
	w.running++
	if w.free <= 0 {
		return
	}
	w.free--
	if w.free == 0 {
		w.fullUntil = now.Add(minFullBackoff)
	}
}

// recordFull records that a worker refused a request for lack of slots.
func (w *worker) recordFull(now time.Time) {
	w.free = 0
	w.fullUntil = now.Add(min(maxFullBackoff, minFullBackoff<<min(w.refusals, 8)))
	w.refusals++
}

// recordFreeSlots records the number of free slots that a worker reported.
func (w *worker) recordFreeSlots(free int) {
	w.refusals = 0
	w.free = free
}

// backOff avoids a worker for a time that doubles with every consecutive failure.
func (w *worker) backOff(now time.Time) {
	w.failures++
	backoff := min(maxAvoidBackoff, minAvoidBackoff<<min(w.failures-1, 8))
	w.avoidUntil = now.Add(backoff)
}

// reachable returns the number of slots of workers that are not being avoided.
func (p *pool) reachable(now time.Time) int {
	slots := 0
	for _, w := range p.workers {
		if !now.Before(w.avoidUntil) {
			slots += w.slots
		}
	}
	return slots
}
