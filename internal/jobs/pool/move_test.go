package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// entryTTL is how long the entry of a worker stays after its end.
const entryTTL = 4500 * time.Millisecond

// moveAway moves a worker's instance to another pool, from which the given one comes instead. Its entry stays for a while.
func (w *simulation) moveAway(id, instead string) {
	f := w.workers[id]
	if f.dead {
		return
	}
	w.kill(id)
	f.entryUntil = w.now + entryTTL
	w.after(entryTTL, func() {
		delete(w.workers, id)
		w.addWorker(instead)
	})
}

// moveObserver moves the instance of a worker as soon as a run of a job is placed there, some times.
type moveObserver struct {
	causeObserver
	w      *simulation
	job    job.ID
	moves  int
	retire func(worker string) // tells the owner of the move; may be nil
}

func (o *moveObserver) Placed(_ *job.Spec, task job.Name, _ int, worker string, _ time.Duration) {
	if task.Job != o.job || o.moves == 0 {
		return
	}
	o.moves--
	instead := fmt.Sprintf("m%d", o.moves)
	o.w.after(0, func() { o.w.moveAway(worker, instead) })
	if o.retire != nil {
		o.w.after(300*time.Millisecond, func() { o.retire(worker) })
	}
}

// TestMovedWorkersDoNotFailJob guards against issue 31, "failed, and no task has failed": tasks were placed on workers that
// had just been moved to another pool, five such runs counted as crashes of their workers, and the job was given up.
func TestMovedWorkersDoNotFailJob(t *testing.T) {
	const name = job.ID("0000000000000001")
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprintf("the owner is told of the moves: %v", told), func(t *testing.T) {
			for seed := range uint64(10) {
				w := newSimulation(seed, 6)
				o := w.takeOver()
				observer := &moveObserver{causeObserver: causeObserver{causes: map[Cause]int{}}, w: w, job: name, moves: 8}
				if told {
					observer.retire = func(worker string) {
						o.runOnControlThread(func() { o.pool.Retire([]Retirement{{Worker: worker, Order: int64(observer.moves) + 1}}) })
					}
				}
				o.pool.config.Observer = observer
				w.submit("00000000000000ff", longRunningJob())
				w.submit(string(name), shortJob(1))
				w.run(2 * time.Minute)
				if _, ended := w.jobEnds[name]; !ended || observer.givenUp > 0 || observer.moves > 0 || len(w.violations) > 0 {
					t.Errorf("seed %d: ended %v, %d tasks given up, %d moves left; %v", seed, ended, observer.givenUp, observer.moves, w.violations)
				}
				if told && observer.causes[Crashed] > 0 {
					t.Errorf("seed %d: %d runs ended as crashed by moves", seed, observer.causes[Crashed])
				}
			}
		})
	}
}
