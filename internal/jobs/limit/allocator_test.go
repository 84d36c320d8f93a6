package limit

import (
	"math/rand/v2"
	"testing"
)

// fakePool uses as much of its part as it wishes; what it uses ends only when a test says so.
type fakePool struct{ part, used, wish int }

func (p *fakePool) run() { p.used = max(p.used, min(p.wish, p.part)) }

func (p *fakePool) claims() Claims {
	return Claims{"t": {Used: p.used, Wish: max(p.used, p.wish), Part: p.part}}
}

func deal(t *testing.T, d *Dealer, pools map[string]*fakePool, names []string, reached func(pool string) bool) {
	t.Helper()
	dealt := d.Deal(names)
	for _, name := range names {
		p := pools[name]
		if dealt != nil && reached(name) {
			p.part = dealt[name]["t"]
		}
		p.run()
		if reached(name) {
			d.Hear(name, p.claims())
		}
	}
	sum := 0
	for _, p := range pools {
		sum += p.used
	}
	if sum > Whole {
		t.Fatalf("the pools use %d of %d: %v", sum, Whole, dealt)
	}
}

func always(string) bool { return true }

// TestLimitFollowsDemand replays demand that goes from pool to pool: each in its turn gets nearly all of the limit.
func TestLimitFollowsDemand(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	pools := map[string]*fakePool{}
	for _, name := range names {
		pools[name] = &fakePool{part: Floor(len(names))}
	}
	d := NewDealer()
	for _, turn := range names {
		for _, p := range pools {
			p.wish, p.used = 10, min(p.used, 10) // the tasks of the last turn have ended
		}
		pools[turn].wish = 2000
		for range 4 {
			deal(t, d, pools, names, always)
		}
		if got := pools[turn].used; got < Whole-3*Floor(4)-10 {
			t.Errorf("pool %s may use %d in its turn", turn, got)
		}
	}
}

// TestLimitHolds deals at random while pools cannot be reached, owners change and another dealer takes over.
func TestLimitHolds(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		pools := map[string]*fakePool{}
		for _, name := range names {
			pools[name] = &fakePool{part: Floor(len(names))}
		}
		d := NewDealer()
		for range 60 {
			for _, p := range pools {
				p.wish = random.IntN(1500)
				p.used = random.IntN(p.used + 1)
				if random.IntN(20) == 0 {
					p.part = min(p.part, Floor(len(names))) // a new owner, or nothing was dealt for a while
				}
			}
			if random.IntN(15) == 0 {
				d = NewDealer()
				for _, name := range names {
					if random.IntN(2) == 0 {
						d.Hear(name, pools[name].claims())
					}
				}
			}
			deal(t, d, pools, names, func(string) bool { return random.IntN(4) > 0 })
		}
	}
}
