package limit

import (
	"math/rand/v2"
	"testing"
)

// fakePool uses as much of its allocation as it requests; its use falls only when a test lowers it.
type fakePool struct {
	owner                       int64
	allocation, used, requested int
}

func (p *fakePool) run() { p.used = max(p.used, min(p.requested, p.allocation)) }

func (p *fakePool) demand() Demands {
	return Demands{"t": {Used: p.used, Requested: max(p.used, p.requested), Allocation: p.allocation}}
}

func allocate(t *testing.T, a *Allocator, pools map[string]*fakePool, names []string, reached func(pool string) bool) {
	t.Helper()
	grants := a.Allocate(names)
	for _, name := range names {
		p := pools[name]
		if grants != nil && reached(name) && grants[name].Owner == p.owner {
			p.allocation = grants[name].Allocations["t"]
		}
		p.run()
		if reached(name) {
			a.RecordDemand(name, p.owner, p.demand())
		}
	}
	sum := 0
	for _, p := range pools {
		sum += p.used
	}
	if sum > FullLimit {
		t.Fatalf("the pools use %d of a limit of %d; latest grants: %v", sum, FullLimit, grants)
	}
}

func always(string) bool { return true }

// TestLimitFollowsDemand moves the demand from pool to pool: each busy pool gets nearly all of the limit.
func TestLimitFollowsDemand(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	pools := map[string]*fakePool{}
	for _, name := range names {
		pools[name] = &fakePool{owner: 1, allocation: Initial(len(names))}
	}
	a := NewAllocator()
	for _, busy := range names {
		for _, p := range pools {
			p.requested, p.used = 10, min(p.used, 10) // the tasks of the previous busy pool have ended
		}
		pools[busy].requested = 2000
		for range 4 {
			allocate(t, a, pools, names, always)
		}
		if got := pools[busy].used; got < FullLimit-3*Initial(4)-10 {
			t.Errorf("pool %s uses only %d while it is the busy one", busy, got)
		}
	}
}

// TestLimitHolds checks that the pools never exceed the limit while demand varies at random, pools are unreachable,
// owners change and another allocator takes over.
func TestLimitHolds(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		pools := map[string]*fakePool{}
		for _, name := range names {
			pools[name] = &fakePool{owner: 1, allocation: Initial(len(names))}
		}
		a := NewAllocator()
		for range 60 {
			for _, p := range pools {
				p.requested = random.IntN(1500)
				p.used = random.IntN(p.used + 1)
				switch random.IntN(40) {
				case 0:
					p.owner, p.allocation = p.owner+1, Initial(len(names)) // a new owner
				case 1:
					p.allocation = min(p.allocation, Fallback(len(names))) // no allocation arrived for a while
				}
			}
			if random.IntN(15) == 0 {
				a = NewAllocator()
				for _, name := range names {
					if random.IntN(2) == 0 {
						a.RecordDemand(name, pools[name].owner, pools[name].demand())
					}
				}
			}
			allocate(t, a, pools, names, func(string) bool { return random.IntN(4) > 0 })
		}
	}
}
