package machines

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
)

// Load tells how the work of a pool stands.
type Load struct {
	Hosts   []Host `cbor:"1,keyasint,omitempty"`
	Demand  int    `cbor:"2,keyasint,omitempty"` // thousandths of a core that running and ready tasks ask for
	Lasting int    `cbor:"3,keyasint,omitempty"` // the same for tasks that last
	Memory  int    `cbor:"4,keyasint,omitempty"` // megabytes that all of them ask for
	Spread  int    `cbor:"5,keyasint,omitempty"` // workers needed because few tasks of a step may share one
	Stuck   int    `cbor:"6,keyasint,omitempty"` // tasks that last and found no worker
	Late    int    `cbor:"7,keyasint,omitempty"` // thousandths of a core for running and ready tasks that can only be late

	Claims limit.Claims   `cbor:"8,keyasint,omitempty"`  // of the teams with a limit
	Labels map[string]int `cbor:"9,keyasint,omitempty"`  // the part of the demand that only instances with a label can meet
	Racks  map[string]int `cbor:"10,keyasint,omitempty"` // the part of it whose data is on a rack
}

// Host is a worker of a pool.
type Host struct {
	Worker  string `cbor:"1,keyasint"`
	Used    int    `cbor:"2,keyasint,omitempty"` // thousandths of a core
	Lasting int    `cbor:"3,keyasint,omitempty"` // tasks that last
	Empty   bool   `cbor:"4,keyasint,omitempty"` // gets nothing new and runs nothing
	Usable  bool   `cbor:"5,keyasint,omitempty"`
}

// Orders is what a pool is asked to do with its workers.
type Orders struct {
	Reach int      `cbor:"5,keyasint,omitempty"` // thousandths of a core that the pool can get beside what it has
	Turn  int64    `cbor:"7,keyasint,omitempty"` // number of the round; an order of an earlier one that comes late is refused
	Soon  int      `cbor:"6,keyasint,omitempty"` // those that are on their way, or will be by its part of what there is
	Fence int64    `cbor:"4,keyasint,omitempty"` // of the keeper that gives them; lower ones are refused
	Leave []string `cbor:"1,keyasint,omitempty"` // workers to be emptied
	Later []string `cbor:"2,keyasint,omitempty"` // workers to be emptied soon, where nothing that lasts should start
	Gone  []string `cbor:"3,keyasint,omitempty"` // workers whose instances were moved or taken down

	Parts limit.Parts `cbor:"8,keyasint,omitempty"` // of the teams' limits; nil leaves them as they are
}

// Action is an order for an instance; its outcome comes back as an event.
type Action interface{ action() }

// MoveAction brings an instance into a pool; the outcome goes to Moved.
type MoveAction struct {
	Instance, Pool string
	Worker         string // whose life it ends
}

// MaintainAction takes an instance down for its maintenance; the outcome goes to Maintained.
type MaintainAction struct {
	Instance string
	Wave     int
}

func (MoveAction) action()     {}
func (MaintainAction) action() {}

// Input is what a round of decisions rests on.
type Input struct {
	Now       time.Duration
	Listed    time.Duration // when the list of instances was asked for
	Instances []catalog.Instance
	Loads     map[string]Load // by pool; a pool that did not answer is missing
	Spare     string          // pool whose instances are off, empty where there is none
	Evacuated id.Set[id.DataCentre]
}

// Plan is a round of decisions.
type Plan struct {
	Orders  map[string]Orders
	Actions []Action
	Sizes   map[string]Size
}

// Size is how many instances a pool should have, how many it needs at this moment and how many serve it
// or will shortly.
type Size struct{ Wanted, Needed, Present int }

// goal is why an instance is being emptied.
type goal struct {
	wave  int    // its wave, 0 when it is to leave its pool
	pool  string // the pool it is in
	since time.Duration
}

// transit is an order whose effect the list does not show yet.
type transit struct {
	pool  string // the pool that it will be in
	since time.Duration
	sent  bool // not answered yet
}

// Planner decides which instances move and which are maintained.
type Planner struct {
	waves   map[int]*wave
	leaving map[string]goal
	transit map[string]transit
	wanted  map[string]*demand
	barred  map[[2]string]bool // instances and pools between which the platform allows no move
	busy    map[string]time.Duration
	rests   map[string]time.Duration // instances that an earlier keeper has ordered about, until when it may show
	gone    map[string]time.Duration // workers whose instances were moved or taken down, by when
	worked  bool                     // tasks that do not last have asked for room
}

// NewPlanner returns a planner that knows of no wave.
func NewPlanner() *Planner {
	return &Planner{
		waves: map[int]*wave{}, leaving: map[string]goal{}, transit: map[string]transit{},
		wanted: map[string]*demand{}, barred: map[[2]string]bool{}, busy: map[string]time.Duration{}, rests: map[string]time.Duration{},
		gone: map[string]time.Duration{},
	}
}

// Times of orders.
const (
	transitLimit = 6 * time.Second // after which an order that shows no effect is forgotten
	busyPause    = time.Second     // after an instance refused an order
)

// round is one round of decisions at work.
type round struct {
	*Planner
	Input
	plan    Plan
	byName  map[string]*catalog.Instance
	members map[string][]*catalog.Instance // by pool, with those on their way into it
	hosts   map[string]Host                // by worker
	typical catalog.Amount                 // room of a typical instance
}

// Rest leaves an instance alone until a time, since an earlier keeper has ordered it about.
func (p *Planner) Rest(name string, until time.Duration) {
	p.busy[name] = max(p.busy[name], until)
	p.rests[name] = until
}

// Tick decides one round.
func (p *Planner) Tick(in Input) Plan {
	r := &round{
		Planner: p, Input: in, plan: Plan{Orders: map[string]Orders{}, Sizes: map[string]Size{}},
		byName: map[string]*catalog.Instance{}, members: map[string][]*catalog.Instance{}, hosts: map[string]Host{},
		typical: typicalOf(in.Instances),
	}
	r.index()
	r.settle()
	r.planWaves()
	r.planSizes()
	r.finishLeaving()
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

// settle forgets orders whose effect shows, and goals of instances that have left.
func (r *round) settle() {
	for w, since := range r.gone {
		if r.Now-since > goneLife {
			delete(r.gone, w)
		}
	}
	for name, t := range r.transit {
		m := r.byName[name]
		switch {
		case t.sent:
		case m == nil, r.Now-t.since > transitLimit:
			delete(r.transit, name)
		case r.Listed > t.since && m.State == catalog.Up && m.Pool == t.pool:
			delete(r.transit, name)
		}
	}
	for name, g := range r.leaving {
		m := r.byName[name]
		if m == nil || m.Pool != g.pool && !r.inTransit(name) {
			delete(r.leaving, name)
		}
	}
}

func (r *round) inTransit(name string) bool {
	_, moving := r.transit[name]
	return moving
}

// movable reports whether an instance can be ordered about now.
func (r *round) movable(m *catalog.Instance) bool {
	return m.State == catalog.Up && !r.inTransit(m.Name) && r.Now >= r.busy[m.Name]
}

// usable reports whether an instance serves its pool, or will shortly.
func (r *round) usable(m *catalog.Instance) bool {
	if r.Evacuated.Has(m.DataCentre) {
		return false
	}
	if r.inTransit(m.Name) || m.State == catalog.Moving || m.State == catalog.InUpkeep {
		return true
	}
	if _, leaves := r.leaving[m.Name]; leaves {
		return false
	}
	h, known := r.hosts[m.Worker]
	return m.State == catalog.Up && (!known || h.Usable)
}

// empty reports whether nothing runs on an instance and nothing will.
func (r *round) empty(m *catalog.Instance) bool {
	return m.Pool == r.Spare || r.hosts[m.Worker].Empty
}

func (r *round) move(m *catalog.Instance, pool string) {
	delete(r.leaving, m.Name)
	r.transit[m.Name] = transit{pool: pool, since: r.Now, sent: true}
	r.plan.Actions = append(r.plan.Actions, MoveAction{Instance: m.Name, Pool: pool, Worker: m.Worker})
}

// Outcome is how an order ended.
type Outcome int

// Outcomes of orders.
const (
	Unanswered Outcome = iota // it may be carried out yet
	Carried
	Refused // not now
	Barred  // never
)

// Moved takes in the outcome of a MoveAction.
func (p *Planner) Moved(now time.Duration, a MoveAction, o Outcome) {
	t := p.transit[a.Instance]
	if o == Carried {
		p.retire(now, a.Worker)
	}
	switch o {
	case Carried, Unanswered:
		p.transit[a.Instance] = transit{pool: a.Pool, since: now}
		return
	case Barred:
		p.barred[[2]string{a.Instance, a.Pool}] = true
	case Refused:
		p.busy[a.Instance] = now + busyPause
	}
	if t.pool == a.Pool {
		delete(p.transit, a.Instance)
	}
}

// goneLife is how long a worker is called gone, longer than its entry stays in the workers' table.
const goneLife = 15 * time.Second

// retire notes that the life of a worker is over.
func (p *Planner) retire(now time.Duration, worker string) {
	if worker != "" {
		p.gone[worker] = now
	}
}

// orders tells every pool which of its workers are to be emptied.
func (r *round) orders() {
	for pool := range r.Loads {
		var o Orders
		for _, m := range r.Instances {
			if m.Pool != pool || m.Worker == "" {
				continue
			}
			_, leaves := r.leaving[m.Name]
			switch {
			case leaves, r.inTransit(m.Name):
				o.Leave = append(o.Leave, m.Worker)
			case r.due(m.Name):
				o.Later = append(o.Later, m.Worker)
			}
		}
		for w := range r.gone {
			o.Gone = append(o.Gone, w)
		}
		o.Reach, o.Soon = r.reach(pool), r.coming(pool)
		slices.Sort(o.Leave)
		r.plan.Orders[pool] = o
	}
}
