package machines

import (
	"fmt"
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// addLabels gives the instances of a fleet the labels a and b in turn, and every three successive ones a rack.
func addLabels(f *fleet) {
	for i := range f.instances {
		f.instances[i].Labels = []string{[]string{"a", "b"}[i%2]}
		f.instances[i].Rack = fmt.Sprintf("r%d", i/3)
	}
}

func (f *fleet) count(pool string, has func(m catalog.Instance) bool) int {
	count := 0
	for _, m := range f.instances {
		if m.Pool == pool && has(m) {
			count++
		}
	}
	return count
}

// TestLabelledWork runs a small amount of work that requires a label in a pool that has shrunk: the pool gets or keeps
// instances with the label, and does not grow by others.
func TestLabelledWork(t *testing.T) {
	for _, label := range []string{"a", "b"} {
		f := newFleet(map[string]int{"p": 6, "q": 4, "spare": 2})
		addLabels(f)
		f.loads["p"], f.loads["q"] = Load{Demand: 1000}, Load{Demand: 1000}
		f.play(30)
		f.loads["p"] = Load{Demand: 20_000, Labels: map[string]int{label: 20_000}}
		f.play(30)
		has := func(m catalog.Instance) bool { return m.Labels[0] == label }
		if got, all := f.count("p", has), f.size("p"); got < 2 || all > 3 {
			t.Errorf("%d of %d instances of the pool have label %s", got, all, label)
		}
	}
}

// TestLabelThatNoInstanceHas guards against a pool that keeps growing because of a label that no instance has.
func TestLabelThatNoInstanceHas(t *testing.T) {
	f := newFleet(map[string]int{"p": 6, "spare": 6})
	addLabels(f)
	f.loads["p"] = Load{Demand: 16_000, Labels: map[string]int{"c": 16_000}}
	f.play(40)
	if got := f.size("p"); got != minInstances {
		t.Errorf("the pool has %d instances", got)
	}
}

// TestWorkNearItsData runs a surge whose data is on one rack: instances of that rack are moved in first.
func TestWorkNearItsData(t *testing.T) {
	f := newFleet(map[string]int{"p": 2, "spare": 10})
	addLabels(f)
	f.loads["p"] = Load{Demand: 50_000, Racks: map[string]int{"r3": 30_000}}
	f.play(10)
	if got := f.count("p", func(m catalog.Instance) bool { return m.Rack == "r3" }); got < 2 {
		t.Errorf("%d instances of the pool are on the rack", got)
	}
}
