package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/limit"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Load of the tests of upper limits.
const (
	limitedTask     = 1700 * time.Millisecond
	limitedCPU      = 1700
	limitedLength   = 30 * time.Second
	limitRound      = 200 * time.Millisecond // between two rounds of the allocator
	limitChangeAt   = 5 * time.Second
	limitAge        = time.Second      // for which a pool may go by an earlier limit
	limitTurnSlack  = time.Second      // that a turn may take longer than a task
	limitDisruption = 10 * time.Second // for which turns may stand still while the limit, owners or allocators change
)

// limitedPools are pools that share the upper limit of one team, each with its own simulated workers, and the allocator between them.
type limitedPools struct {
	t         *testing.T
	sims      []*simulation
	owners    []*fakeOwner
	names     []string
	allocator *limit.Allocator
	limits    []catalog.Resources // of each pool's view
	inForce   []catalog.Resources // limits that may be in force
	cut       map[int]bool        // pools that the allocator does not reach
	late      map[int]limit.Grant // grants that arrive after a later one
	rounds    int
	paused    bool                  // there is no allocator
	lastStart map[int]time.Duration // when a pool last started a task, or had none waiting
	waited    map[int]time.Duration // longest wait of a pool with waiting tasks
	starts    map[int]int
}

func newLimitedPools(t *testing.T, seed uint64, pools int, r catalog.Resources) *limitedPools {
	l := &limitedPools{
		t: t, allocator: limit.NewAllocator(), inForce: []catalog.Resources{r}, cut: map[int]bool{}, late: map[int]limit.Grant{},
		lastStart: map[int]time.Duration{}, waited: map[int]time.Duration{}, starts: map[int]int{},
	}
	for i := range pools {
		w := newSimulation(seed*100+uint64(i), 4)
		w.began = func(run worker.Run, step *job.Step) { l.checkStart(i, run, step) }
		l.sims = append(l.sims, w)
		l.names = append(l.names, fmt.Sprintf("p%d", i))
		l.limits = append(l.limits, r)
		l.owners = append(l.owners, nil)
	}
	for i := range pools {
		l.takeOver(i)
	}
	return l
}

// takeOver gives a pool a new owner.
func (l *limitedPools) takeOver(i int) {
	if old := l.owners[i]; old != nil {
		old.terminated = true
	}
	l.owners[i] = l.sims[i].takeOver()
	l.setLimit(i, l.limits[i])
}

func (l *limitedPools) setLimit(i int, r catalog.Resources) {
	l.limits[i] = r
	l.owners[i].pool.SetLimits(map[string]catalog.Resources{"t": r}, len(l.sims))
}

// running returns what all pools have running.
func (l *limitedPools) running() catalog.Resources {
	var sum catalog.Resources
	for _, w := range l.sims {
		for _, f := range w.workers {
			for _, r := range f.runs {
				sum = sum.Add(r.need)
			}
		}
	}
	return sum
}

// checkStart checks that what ran before a start was within a limit that may be in force.
func (l *limitedPools) checkStart(i int, run worker.Run, step *job.Step) {
	l.starts[i]++
	l.lastStart[i] = l.sims[i].now
	before := l.running().Sub(needOf(step))
	for _, r := range l.inForce {
		if within(before.CPU, r.CPU) && within(before.MemoryMB, r.MemoryMB) && within(before.Accelerators, r.Accelerators) {
			return
		}
	}
	l.t.Errorf("%v: QUOTA: %v of pool %d starts while %+v runs; limits that may be in force: %+v", l.sims[i].now, run, i, before, l.inForce)
}

// exchange is one round of the allocator.
func (l *limitedPools) exchange() {
	if l.paused {
		return
	}
	grants := l.allocator.Allocate(l.names)
	for i, name := range l.names {
		if l.cut[i] {
			l.late[i] = grants[name]
			continue
		}
		l.owners[i].runOnControlThread(func() {
			p, at := l.owners[i].pool, l.sims[i].moment()
			p.SetAllocations(at, grants[name])
			l.allocator.RecordDemand(name, p.config.Fence, p.Load(at).LimitDemands)
		})
	}
}

// run runs all pools in step until a time.
func (l *limitedPools) run(until time.Duration) {
	const step = 20 * time.Millisecond
	for now := l.sims[0].now; now < until; now += step {
		for _, w := range l.sims {
			w.run(now + step)
		}
		if l.rounds++; l.rounds%int(limitRound/step) == 0 {
			l.exchange()
		}
		l.recordWaits()
	}
}

func (l *limitedPools) recordWaits() {
	for i, o := range l.owners {
		now := l.sims[i].now
		if len(o.pool.waiting(l.sims[i].moment())) == 0 {
			l.lastStart[i] = now
		}
		l.waited[i] = max(l.waited[i], now-l.lastStart[i])
	}
}

// submit submits a job to one pool every gap.
func (l *limitedPools) submit(i int, gap time.Duration, step job.Step) {
	w := l.sims[i]
	for k := range int(limitedLength / gap) {
		w.after(time.Duration(k)*gap, func() {
			name := fmt.Sprintf("%016x", k+1)
			w.submit(name, job.Spec{Queue: "q", Team: "t", Policy: job.Policy{Attempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond}, Steps: []job.Step{step}})
			for index := range step.Count {
				w.work[job.Name{Job: job.ID(name), Index: index}] = limitedTask
			}
		})
	}
}

// at schedules something for a time.
func (l *limitedPools) at(when time.Duration, do func()) { l.sims[0].after(when-l.sims[0].now, do) }

// change changes the limit: the pools learn of it one after another.
func (l *limitedPools) change(when time.Duration, r catalog.Resources) {
	l.at(when, func() { l.inForce = append(l.inForce, r) })
	for i := range l.sims {
		l.at(when+limitAge*time.Duration(i+1)/time.Duration(len(l.sims)), func() { l.setLimit(i, r) })
	}
	l.at(when+limitAge+time.Millisecond, func() { l.inForce = []catalog.Resources{r} })
}

// TestPoolsKeepUpperLimitTogether guards against pools that each start one task of a team beyond its upper limit, and against pools that
// wait for ever since others use the limit.
func TestPoolsKeepUpperLimitTogether(t *testing.T) {
	large, small, tiny := catalog.Resources{CPU: 200_000}, catalog.Resources{CPU: 2000}, catalog.Resources{CPU: 1000}
	task := job.Step{Count: 1, CPU: limitedCPU, MemoryMB: 200, Estimate: limitedTask}
	four, gang := task, task
	four.Count = 4
	gang.Count, gang.CPU, gang.Gang = 3, 900, true
	tests := []struct {
		name   string
		pools  int
		limit  catalog.Resources
		step   job.Step
		script func(l *limitedPools)
	}{
		{"the limit falls", 4, large, task, func(l *limitedPools) { l.change(limitChangeAt, small) }},
		{"the limit falls below one task", 4, large, task, func(l *limitedPools) { l.change(limitChangeAt, tiny) }},
		{"the limit falls and rises again and again", 4, large, task, func(l *limitedPools) {
			for i := range 6 {
				l.change(limitChangeAt+time.Duration(i)*3*time.Second, []catalog.Resources{small, large, tiny}[i%3])
			}
		}},
		{"a small limit from the start", 4, small, task, nil},
		{"a limit below one task", 4, tiny, task, nil},
		{"a limit of two tasks", 4, catalog.Resources{CPU: 4000}, task, nil},
		{"six pools", 6, small, task, nil},
		{"four tasks a job", 4, small, four, nil},
		{"a gang of more than the limit less one task", 3, catalog.Resources{CPU: 2600}, gang, nil},
		{"a limit of memory", 4, catalog.Resources{MemoryMB: 250}, task, nil},
		{"one pool", 1, tiny, task, nil},
		{"owners change", 4, small, task, func(l *limitedPools) {
			for i := range 24 {
				l.at(limitChangeAt+time.Duration(i)*700*time.Millisecond, func() { l.takeOver(i % 4) })
			}
		}},
		{"the allocator changes", 4, small, task, func(l *limitedPools) {
			for i := range 8 {
				l.at(limitChangeAt+time.Duration(i)*2300*time.Millisecond, func() { l.allocator = limit.NewAllocator() })
			}
		}},
		{"allocator and owners change as the limit falls", 4, large, task, func(l *limitedPools) {
			l.change(limitChangeAt, small)
			for i := range 4 {
				l.at(limitChangeAt+time.Duration(i)*300*time.Millisecond, func() {
					l.allocator = limit.NewAllocator()
					l.takeOver(i)
				})
			}
		}},
		{"there is no allocator for a while", 4, small, task, func(l *limitedPools) {
			l.at(limitChangeAt, func() { l.paused = true })
			l.at(limitChangeAt+5*time.Second, func() { l.paused, l.allocator = false, limit.NewAllocator() })
		}},
		{"a pool is out of reach", 4, small, task, func(l *limitedPools) {
			l.at(limitChangeAt, func() { l.cut[1] = true })
			l.at(limitChangeAt+5*time.Second, func() { l.cut[1] = false })
		}},
		{"late grants reach the next owner", 4, small, task, func(l *limitedPools) {
			for i := range 20 {
				l.at(limitChangeAt+time.Duration(i)*time.Second, func() { l.cut[i%4] = true })
				l.at(limitChangeAt+time.Duration(i)*time.Second+300*time.Millisecond, func() {
					l.cut[i%4] = false
					l.takeOver(i % 4)
				})
				l.at(limitChangeAt+time.Duration(i)*time.Second+700*time.Millisecond, func() {
					l.owners[i%4].pool.SetAllocations(l.sims[i%4].moment(), l.late[i%4])
				})
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				l := newLimitedPools(t, seed, test.pools, test.limit)
				for i := range test.pools {
					l.submit(i, 700*time.Millisecond, test.step)
				}
				if test.script != nil {
					test.script(l)
				}
				l.run(limitedLength)
				bound := time.Duration(test.pools) * (limitedTask + limitTurnSlack)
				if test.script != nil {
					bound += limitDisruption
				}
				l.checkTurns(seed, bound)
			}
		})
	}
}

// checkTurns checks that each pool started tasks and waited for its turn no longer than the bound.
func (l *limitedPools) checkTurns(seed uint64, bound time.Duration) {
	for i := range l.sims {
		if l.waited[i] > bound || l.starts[i] == 0 {
			l.t.Errorf("seed %d: pool %d started %d tasks and none for %v, want at most %v", seed, i, l.starts[i], l.waited[i], bound)
		}
	}
}

// TestOnlyPoolOfTeamWaitsForNoRound guards against rounds of the allocator between two tasks of a team that sends its work to one pool.
func TestOnlyPoolOfTeamWaitsForNoRound(t *testing.T) {
	l := newLimitedPools(t, 1, 4, catalog.Resources{CPU: 1000})
	l.submit(0, 3*time.Second, job.Step{Count: 1, CPU: limitedCPU, MemoryMB: 200, Estimate: limitedTask})
	l.run(2500 * time.Millisecond) // until the first task has ended
	l.waited[0] = 0
	l.run(limitedLength)
	if want := int(limitedLength / (3 * time.Second)); l.starts[0] != want || l.waited[0] >= limitRound/2 {
		t.Errorf("%d tasks started, one after %v; want %d of them, each within half a round", l.starts[0], l.waited[0], want)
	}
}

// TestLimitThatFallsBeforeStarts guards against starts that were decided under a higher limit and waited for the store: the first task of
// a team may start, and no other.
func TestLimitThatFallsBeforeStarts(t *testing.T) {
	tests := []struct {
		name   string
		before catalog.Resources
		after  catalog.Resources
		want   int // starts
	}{
		{"the limit stays", catalog.Resources{CPU: 20_000}, catalog.Resources{CPU: 20_000}, 4},
		{"the limit falls", catalog.Resources{CPU: 20_000}, catalog.Resources{CPU: 800}, 2},
		{"a limit of memory comes", catalog.Resources{}, catalog.Resources{MemoryMB: 400}, 1},
		{"the limit rises", catalog.Resources{CPU: 20_000}, catalog.Resources{CPU: 40_000}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, o := newSettledSimulation(t)
			p, at := o.pool, w.moment()
			spec := shortJob(4) // of 800 thousandths of a core and 500 MB each
			spec.ID, spec.Team = "0000000000000001", "t"
			p.Actions()
			p.SetLimits(map[string]catalog.Resources{"t": test.before}, 1)
			p.Submit(at, spec)
			p.Place(at)
			b := p.Flush()
			p.SetLimits(map[string]catalog.Resources{"t": test.after}, 1)
			p.RecordStored(at, b)
			p.SendStarts(at)
			starts := 0
			for _, a := range p.Actions() {
				if _, ok := a.(StartAction); ok {
					starts++
				}
			}
			if starts != test.want {
				t.Errorf("%d tasks start, want %d", starts, test.want)
			}
		})
	}
}
