package machines

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
)

// Load describes the demand and the workers of a pool.
type Load struct {
	Hosts       []Host `cbor:"1,keyasint,omitempty"`
	Demand      int    `cbor:"2,keyasint,omitempty"` // thousandths of a core that running and ready tasks request
	LongRunning int    `cbor:"3,keyasint,omitempty"` // thousandths of a core that long-running tasks request
	Memory      int    `cbor:"4,keyasint,omitempty"` // megabytes that all these tasks request
	MinWorkers  int    `cbor:"5,keyasint,omitempty"` // workers needed because of limits on the tasks of a step per worker
	Unplaceable int    `cbor:"6,keyasint,omitempty"` // long-running tasks that found no worker
	Late        int    `cbor:"7,keyasint,omitempty"` // thousandths of a core for running and ready tasks that can no longer be on time

	LimitDemands limit.Demands  `cbor:"8,keyasint,omitempty"`  // demand of the teams that have a limit
	Labels       map[string]int `cbor:"9,keyasint,omitempty"`  // demand that only instances with the label can meet
	Racks        map[string]int `cbor:"10,keyasint,omitempty"` // demand whose data is on the rack
	Silences     []Silence      `cbor:"11,keyasint,omitempty"` // workers that do not answer their pool
	Owner        int64          `cbor:"12,keyasint,omitempty"` // claim of the pool's owner
}

// Host is a worker of a pool.
type Host struct {
	Worker      string `cbor:"1,keyasint"`
	Used        int    `cbor:"2,keyasint,omitempty"` // thousandths of a core
	LongRunning int    `cbor:"3,keyasint,omitempty"` // long-running tasks
	Empty       bool   `cbor:"4,keyasint,omitempty"` // runs nothing and accepts no new tasks
	Usable      bool   `cbor:"5,keyasint,omitempty"`
}

// Orders tells a pool what to do with its workers and what resources it can expect.
type Orders struct {
	Obtainable       int      `cbor:"5,keyasint,omitempty"`  // thousandths of a core that the pool can get in addition to its own
	Round            int64    `cbor:"7,keyasint,omitempty"`  // number of the round; delayed orders of an earlier round are refused
	Incoming         int      `cbor:"6,keyasint,omitempty"`  // thousandths of a core that are on their way, or will be according to the pool's fair share
	Fence            int64    `cbor:"4,keyasint,omitempty"`  // fencing epoch of the autoscaler that sends the orders; lower ones are refused
	Cordoned         []string `cbor:"1,keyasint,omitempty"`  // cordoned workers, to be emptied now
	ScheduledToDrain []string `cbor:"2,keyasint,omitempty"`  // workers scheduled to drain, which should start no long-running tasks
	Retired          []string `cbor:"3,keyasint,omitempty"`  // workers whose instances were moved or taken down, or may have been
	RetiredBy        []int64  `cbor:"10,keyasint,omitempty"` // number of the order that retired each of them

	Allocations limit.Allocations        `cbor:"8,keyasint,omitempty"`  // allocations of the teams' limits; nil leaves them unchanged
	Owner       int64                    `cbor:"11,keyasint,omitempty"` // claim of the owner that the allocations are for
	Overdrafts  map[string]limit.Ceiling `cbor:"12,keyasint,omitempty"` // teams of which a task may start beyond the allocation
	Gone        []int64                  `cbor:"9,keyasint,omitempty"`  // numbers of the silences after which the instance no longer had the worker
}

// Action is an order for an instance; its outcome is reported back to the Planner.
type Action interface{ action() }

// MoveAction moves an instance into a pool; its outcome is passed to RecordMove.
type MoveAction struct {
	Instance, Pool string
	Worker         string // worker whose incarnation the move ends
}

// MaintainAction takes an instance down for maintenance; its outcome is passed to RecordMaintenance.
type MaintainAction struct {
	Instance string
	Wave     int
}

func (MoveAction) action()     {}
func (MaintainAction) action() {}

// Input holds the data for one round of decisions.
type Input struct {
	Now       time.Duration
	Listed    time.Duration // when the list of instances was requested
	Instances []catalog.Instance
	Loads     map[string]Load // by pool; a pool that did not answer is missing
	Spare     string          // pool whose instances are off, empty where there is none
	Evacuated id.Set[id.DataCentre]
}

// Plan holds the decisions of one round.
type Plan struct {
	Orders  map[string]Orders
	Actions []Action
	Sizes   map[string]Size
}

// Size holds how many instances a pool should have, how many it needs now, and how many serve it or will shortly.
type Size struct{ Wanted, Needed, Present int }

// drainGoal records why an instance is being drained.
type drainGoal struct {
	wave  int    // wave that the instance is maintained for, 0 when the instance leaves its pool
	pool  string // pool of the instance when the drain began
	since time.Duration
}

// transit is an order whose effect the list of instances does not show yet.
type transit struct {
	pool  string // pool of the instance after the order
	since time.Duration
	sent  bool // waiting for the answer to the order
}

// Planner decides which instances move and which are maintained.
type Planner struct {
	presence       presence
	waves          map[int]*wave
	draining       map[string]drainGoal
	transit        map[string]transit
	demands        map[string]*demand
	forbidden      map[[2]string]bool // pairs of instance and pool for which the platform forbids the move
	cooldownUntil  map[string]time.Duration
	inheritedUntil map[string]time.Duration // instances ordered by an earlier holder, until when such an order may take effect
	retired        map[string]retirement    // workers whose instances were moved or taken down, or may have been
	orderNumber    int64                    // number of the newest retirement
	hosted         map[string]hostedWorker  // newest worker that the list showed on each instance
	sawDemand      bool                     // whether tasks other than long-running ones have requested resources
}

// NewPlanner returns a planner without waves.
func NewPlanner() *Planner {
	return &Planner{
		presence: newPresence(), waves: map[int]*wave{}, draining: map[string]drainGoal{}, transit: map[string]transit{},
		demands: map[string]*demand{}, forbidden: map[[2]string]bool{}, cooldownUntil: map[string]time.Duration{}, inheritedUntil: map[string]time.Duration{},
		retired: map[string]retirement{}, hosted: map[string]hostedWorker{},
	}
}

// Timeouts of orders.
const (
	transitTimeout = 6 * time.Second // after which an order without visible effect is dropped
	refusalBackoff = time.Second     // before another order to an instance that refused one
)

// round holds the state of one round of decisions.
type round struct {
	*Planner
	Input
	plan    Plan
	byName  map[string]*catalog.Instance
	members map[string][]*catalog.Instance // by pool, including instances on their way into the pool
	hosts   map[string]Host                // by worker
	typical catalog.Resources              // average resources of an instance
}

// SetCooldown sets the end of the cooldown of an instance that an earlier holder sent an order to.
func (p *Planner) SetCooldown(name string, until time.Duration) {
	p.cooldownUntil[name] = max(p.cooldownUntil[name], until)
	p.inheritedUntil[name] = until
}

// Tick decides one round.
func (p *Planner) Tick(in Input) Plan {
	r := &round{
		Planner: p, Input: in, plan: Plan{Orders: map[string]Orders{}, Sizes: map[string]Size{}},
		byName: map[string]*catalog.Instance{}, members: map[string][]*catalog.Instance{}, hosts: map[string]Host{},
		typical: typicalOf(in.Instances),
	}
	r.index()
	r.presence.record(in.Listed, in.Instances)
	r.settle()
	r.planWaves()
	r.planSizes()
	r.turnOffDrained()
	r.orders()
	return r.plan
}

func (r *round) index() {
	for _, load := range r.Loads {
		for _, h := range load.Hosts {
			r.hosts[h.Worker] = h
		}
	}
	for i := range r.Instances {
		m := &r.Instances[i]
		r.byName[m.Name] = m
		pool := m.Pool
		if t, moving := r.transit[m.Name]; moving {
			pool = t.pool
		}
		r.members[pool] = append(r.members[pool], m)
	}
}

// settle drops orders whose effect the list shows or that timed out, drains of instances that have left their pool,
// retired workers after retiredTTL, and what concerns instances that have left the fleet.
func (r *round) settle() {
	r.retireOrdered()
	r.forgetForbidden()
	for w, retired := range r.retired {
		if r.Now-retired.at > retiredTTL {
			delete(r.retired, w)
		}
	}
	for name, t := range r.transit {
		m := r.byName[name]
		switch {
		case t.sent:
		case r.Now-t.since > transitTimeout, r.hasLeft(name, t.since):
			delete(r.transit, name)
		case m != nil && r.Listed > t.since && m.State == catalog.Up && m.Pool == t.pool:
			delete(r.transit, name)
		}
	}
	for name, g := range r.draining {
		m := r.byName[name]
		hasMoved := m != nil && m.Pool != g.pool && !r.inTransit(name)
		if hasMoved || r.hasLeft(name, g.since) {
			delete(r.draining, name)
		}
	}
}

func (r *round) inTransit(name string) bool {
	_, moving := r.transit[name]
	return moving
}

// movable reports whether an instance can be given an order now.
func (r *round) movable(m *catalog.Instance) bool {
	return m.State == catalog.Up && !r.inTransit(m.Name) && r.Now >= r.cooldownUntil[m.Name]
}

// usable reports whether an instance serves its pool, or will shortly.
func (r *round) usable(m *catalog.Instance) bool {
	if r.Evacuated.Has(m.DataCentre) {
		return false
	}
	if r.inTransit(m.Name) || m.State == catalog.Moving || m.State == catalog.InMaintenance {
		return true
	}
	if _, leaves := r.draining[m.Name]; leaves {
		return false
	}
	h, known := r.hosts[m.Worker]
	return m.State == catalog.Up && (!known || h.Usable)
}

// empty reports whether an instance runs nothing and accepts no new tasks.
func (r *round) empty(m *catalog.Instance) bool {
	return m.Pool == r.Spare || r.hosts[m.Worker].Empty
}

func (r *round) move(m *catalog.Instance, pool string) {
	delete(r.draining, m.Name)
	r.transit[m.Name] = transit{pool: pool, since: r.Now, sent: true}
	r.plan.Actions = append(r.plan.Actions, MoveAction{Instance: m.Name, Pool: pool, Worker: m.Worker})
}

// Outcome is how an order ended.
type Outcome int

// Outcomes of orders.
const (
	Unanswered Outcome = iota // the order may have been carried out, or may still be
	Completed
	Refused    // the order may succeed later
	Forbidden  // the order can never succeed; of a move also that there is no such instance
	NoInstance // there is no such instance to maintain
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unanswered", "completed", "refused", "forbidden", "no such instance"}[o]
}

// RecordMove applies the outcome of a MoveAction.
func (p *Planner) RecordMove(now time.Duration, a MoveAction, o Outcome) {
	t := p.transit[a.Instance]
	switch o {
	case Completed, Unanswered:
		p.retire(now, a.Worker)
		p.transit[a.Instance] = transit{pool: a.Pool, since: now}
		return
	case Forbidden, NoInstance:
		p.forbidden[[2]string{a.Instance, a.Pool}] = true
	case Refused:
		p.cooldownUntil[a.Instance] = now + refusalBackoff
	}
	if t.pool == a.Pool {
		delete(p.transit, a.Instance)
	}
}

// orders plans the orders of every pool, such as which of its workers to drain.
func (r *round) orders() {
	for pool := range r.Loads {
		var o Orders
		for _, m := range r.Instances {
			if m.Pool != pool || m.Worker == "" {
				continue
			}
			_, leaves := r.draining[m.Name]
			switch {
			case leaves, r.inTransit(m.Name):
				o.Cordoned = append(o.Cordoned, m.Worker)
			case r.awaitsMaintenance(m.Name):
				o.ScheduledToDrain = append(o.ScheduledToDrain, m.Worker)
			}
		}
		for w, retired := range r.retired {
			o.Retired, o.RetiredBy = append(o.Retired, w), append(o.RetiredBy, retired.order)
		}
		o.Obtainable, o.Incoming = r.obtainable(pool), r.incoming(pool)
		slices.Sort(o.Cordoned)
		r.plan.Orders[pool] = o
	}
}
