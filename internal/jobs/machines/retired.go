package machines

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// An order for an instance ends its worker, whose entry stays in the workers' table for a while. The pool must place
// nothing there, and must not take the end for a crash. An order without an answer may have been carried out, and may
// still be; the list of instances shows what an order has done, whoever gave it and whatever became of its answer.

// retiredTTL is how long a worker is reported as retired; it is longer than the worker's entry stays in the workers'
// table.
const retiredTTL = 15 * time.Second

// ordersPerHolder is the most retirements that one holder numbers.
const ordersPerHolder = 1 << 24

// retirement is the end of a worker by an order, which may not have come yet.
type retirement struct {
	at    time.Duration
	order int64 // a pool that has found the worker alive ignores the same order
}

// hostedWorker is a worker on an instance, as the list of instances showed it.
type hostedWorker struct{ worker, pool string }

// NumberOrders makes the planner number its retirements above those of all holders with a lower fence.
func (p *Planner) NumberOrders(fence int64) { p.orderNumber = fence * ordersPerHolder }

// retire records that an order has ended the incarnation of a worker, or may have.
func (p *Planner) retire(now time.Duration, worker string) {
	if worker == "" {
		return
	}
	p.orderNumber++
	p.retired[worker] = retirement{at: now, order: p.orderNumber}
}

// retireOrdered retires the workers that are gone from their instances because these were moved or taken down, as the list
// shows.
func (r *round) retireOrdered() {
	for i := range r.Instances {
		m := &r.Instances[i]
		before, known := r.hosted[m.Name]
		ordered := m.State == catalog.Moving || m.State == catalog.InMaintenance || m.Pool != before.pool
		if known && before.worker != m.Worker && ordered {
			r.retire(r.Now, before.worker)
		}
		if m.Worker != "" || ordered {
			r.hosted[m.Name] = hostedWorker{worker: m.Worker, pool: m.Pool}
		}
	}
}
