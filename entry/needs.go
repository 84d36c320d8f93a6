package entry

import (
	"fmt"

	"marigoldshed.example/marigoldshed/common/id"
)

// Needs holds the resources that a request requires of a worker. Zero fields require nothing.
type Needs struct {
	Processors   int
	MemoryBytes  int64
	Accelerators int
}

// fits reports whether a worker has the resources that a request requires.
func (w *worker) fits(n Needs) bool {
	return w.processors >= n.Processors && w.memoryBytes >= n.MemoryBytes && w.accelerators >= n.Accelerators
}

// checkNeeds refuses a request that no worker of its pool can ever run, whatever their state.
func (c *Control) checkNeeds(pool id.Pool, n Needs) error {
	if n == (Needs{}) {
		return nil
	}
	known := 0
	for name, instance := range c.tables.Instances {
		if instance.Pool != pool {
			continue
		}
		known++
		if w := c.workers[name]; w != nil && w.fits(n) {
			return nil
		}
	}
	return RefusedError{Status: statusUnprocessable, Reason: fmt.Sprintf(
		"none of the %d workers of pool %s has %d processors, %d bytes of memory and %d accelerators",
		known, pool, n.Processors, n.MemoryBytes, n.Accelerators)}
}
