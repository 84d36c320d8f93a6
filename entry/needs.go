package entry

import (
	"fmt"

	"marigoldshed.example/marigoldshed/common/id"
)

// Needs is what a request declares that a worker must have; zero fields ask for nothing.
type Needs struct {
	Processors   int
	MemoryBytes  int64
	Accelerators int
}

// fits reports whether a worker has what a request needs.
func (w *worker) fits(n Needs) bool {
	return w.processors >= n.Processors && w.memoryBytes >= n.MemoryBytes && w.accelerators >= n.Accelerators
}

// checkNeeds refuses a request that no worker of its pool can ever run, in whatever state they are.
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
