package pool

import "time"

// instance returns the name of the worker's instance, which stays when a crashed worker is replaced.
func (f *fakeWorker) instance() string { return f.id[:2] }

// workerOn returns the id of the worker that an instance has now, or an empty string.
func (w *simulation) workerOn(instance string) string {
	for id, f := range w.workers {
		if f.instance() == instance && !f.dead {
			return id
		}
	}
	return ""
}

// askInstances asks the instance service about the silent workers of an owner again and again, as an autoscaler does. The
// answers come late, and not in order.
func (o *fakeOwner) askInstances(latest time.Duration) {
	w := o.w
	if o.terminated {
		return
	}
	w.after(200*time.Millisecond, func() { o.askInstances(latest) })
	o.runOnControlThread(func() {
		silences := o.pool.Silences()
		w.after(time.Duration(w.random.IntN(300))*time.Millisecond, func() {
			var gone []int64
			for _, s := range silences {
				if w.workerOn(s.Instance) != s.Worker {
					gone = append(gone, s.Number)
				}
			}
			w.after(time.Duration(w.random.Int64N(int64(latest))), func() {
				for _, owner := range w.owners {
					owner.runOnControlThread(func() { owner.pool.EndGone(w.moment(), gone) })
				}
			})
		})
	})
}
