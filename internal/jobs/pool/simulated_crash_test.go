package pool

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// workerDowntime is how long a crashed worker is away unless a test asks for another time.
const workerDowntime = 3400 * time.Millisecond

// crashAfter crashes the worker when a run has lasted for the given time.
func (f *fakeWorker) crashAfter(after time.Duration, run worker.Run, serial int) {
	w := f.w
	if w.crashes[run.Task] >= 3 {
		w.afterThree[run.Task]++
		if w.afterThree[run.Task] == 3 {
			w.addViolation("BUDGET: %v is the third start after three workers have crashed under its task", run)
		}
	}
	w.after(after, func() {
		if now, ok := f.runs[run]; !ok || now.serial != serial || f.dead {
			return
		}
		w.recordCrash(f, run.Task)
		w.kill(f.id)
		w.after(w.downtime, func() { w.replace(f.id) })
	})
}

func (w *simulation) recordCrash(f *fakeWorker, under job.Name) {
	for run := range f.runs {
		w.crashes[run.Task]++
	}
	w.crashed = append(w.crashed, under)
}

// replace starts a crashed worker again, under its id or under a new one.
func (w *simulation) replace(id string) {
	if w.sameID {
		w.restart(id)
		return
	}
	delete(w.workers, id)
	w.serial++
	w.addWorker(fmt.Sprintf("%s-%d", id[:2], w.serial))
}
