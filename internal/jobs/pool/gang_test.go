package pool

import (
	"fmt"
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestGangPrefersOneRack checks that a gang which should stay on one rack is placed on a rack that can hold it, if there is one.
func TestGangPrefersOneRack(t *testing.T) {
	step := job.Step{Count: 4, CPU: 1000, Gang: true, SameRack: true}
	racks := func(sizes ...string) []*host {
		var hosts []*host
		for i, rack := range sizes {
			hosts = append(hosts, &host{info: catalog.Worker{
				ID: fmt.Sprintf("w%d", i), Rack: rack, Capacity: catalog.Resources{CPU: 2000, MemoryMB: 1000},
			}})
		}
		return hosts
	}
	tests := []struct {
		name   string
		hosts  []*host
		groups int
		first  int // workers in the best group
	}{
		{"one rack holds it", racks("a", "b", "b", "c"), 1, 2},
		{"the roomier rack comes first", racks("a", "a", "b", "b", "b"), 2, 3},
		{"no rack holds it", racks("a", "b", "c"), 1, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			groups := gangHosts(&step, test.hosts)
			if len(groups) != test.groups || len(groups[0]) != test.first {
				t.Errorf("got %d groups, the first with %d workers", len(groups), len(groups[0]))
			}
		})
	}
}
