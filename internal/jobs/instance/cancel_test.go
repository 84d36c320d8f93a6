package instance

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// TestJobHandedInAfterItsCancelStaysCancelled guards against issue 34: a cancellation that came before its job was answered that
// there is no such job, and the job, whose request was still on its way, was accepted afterwards and ran.
func TestJobHandedInAfterItsCancelStaysCancelled(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0001")
	tests := []struct {
		name string
		play func(w *cancelWorld, n *Instance)
	}{
		{"at the owner", func(w *cancelWorld, n *Instance) { w.submit(n, name) }},
		{"twice", func(w *cancelWorld, n *Instance) {
			w.submit(n, name)
			w.submit(n, name)
		}},
		{"through the intake", func(w *cancelWorld, n *Instance) { w.submitToIntake(w.submittedSpec(n, name)) }},
		{"at the next owner", func(w *cancelWorld, n *Instance) {
			w.disown("old")
			w.own("old")
			w.submit(n, name)
		}},
		{"through the intake, at the next owner", func(w *cancelWorld, n *Instance) {
			w.disown("old")
			w.submitToIntake(w.submittedSpec(n, name))
			w.own("old")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCancelWorld(t, routeConfig(3, "q", "old"), "old", "new", "third")
			n := w.start(routeConfig(3, "q", "old"))
			for range 2 {
				if !w.cancel(n, name) {
					t.Error("the cancellation of a job that nobody submitted was not answered that there is none")
				}
			}
			if _, err := n.State(t.Context(), w.queue(n, name), name); !errors.As(err, new(NoJobError)) {
				t.Errorf("state of a job that was only cancelled: error %v", err)
			}
			test.play(w, n)
			w.checkCancelled(n, name)
		})
	}
}

// TestCancelIsKeptWhileAnotherPoolIsSilent guards against issue 34: the pool of a job did not have it yet, the owner of a pool that
// had nothing to do with it was silent, and the cancellation was stored for that pool alone.
func TestCancelIsKeptWhileAnotherPoolIsSilent(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0005")
	w := newCancelWorld(t, routeConfig(3, "q", "old"), "old", "new")
	n := w.start(routeConfig(3, "q", "old"))
	w.submit(n, "5c0e7a21d94b000a")
	w.cancel(n, name)
	w.submit(n, name)
	w.checkCancelled(n, name)
}

// TestCancelReachesForwardedJob guards against issue 34: a cancellation that came while its job was on its way from a former
// pool to the one that its route belongs to was acknowledged, and the job ran in the other pool.
func TestCancelReachesForwardedJob(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0002")
	tests := []struct {
		name string
		at   func(before, after *Instance) *Instance // where the cancellation comes
		play func(w *cancelWorld)                    // what happens before it comes
	}{
		{"at an instance that knows where the route has moved", func(_, after *Instance) *Instance { return after }, func(*cancelWorld) {}},
		{"at an instance that does not", func(before, _ *Instance) *Instance { return before }, func(*cancelWorld) {}},
		{"while the newer pool has no owner", func(_, after *Instance) *Instance { return after }, func(w *cancelWorld) { w.disown("new") }},
		{"while the former pool has no owner", func(_, after *Instance) *Instance { return after }, func(w *cancelWorld) { w.disown("old") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCancelWorld(t, routeConfig(5, "q", "new"), "old", "new")
			before, after := w.forwardSlowly(name)
			test.play(w)
			w.cancel(test.at(before, after), name)
			for _, pool := range []string{"old", "new", "third"} {
				if w.owner.shards[pool] == nil {
					w.own(pool)
				}
			}
			w.checkCancelled(after, name)
		})
	}
}

// TestJobHandedInAfterItsCancelInAnotherPool guards against issue 34: a job was cancelled before its request came, and when its
// route had moved in between, the newer pool did not know and ran it.
func TestJobHandedInAfterItsCancelInAnotherPool(t *testing.T) {
	const name, other = job.ID("5c0e7a21d94b0001"), job.ID("5c0e7a21d94b000a")
	tests := []struct {
		name   string
		before func(w *cancelWorld, n *Instance) // what happens before the cancellation, at the instance where it comes
		after  func(w *cancelWorld)              // what happens between the cancellation and the request
	}{
		{"the route had no jobs", func(*cancelWorld, *Instance) {}, func(*cancelWorld) {}},
		{"the route had jobs", func(w *cancelWorld, n *Instance) { w.submit(n, other) }, func(*cancelWorld) {}},
		{"the route moves twice", func(*cancelWorld, *Instance) {}, func(w *cancelWorld) {
			w.submit(w.start(routeConfig(4, "q", "third")), other)
		}},
		{"the former pool changes its owner", func(*cancelWorld, *Instance) {}, func(w *cancelWorld) {
			w.disown("old")
			w.own("old")
		}},
		{"the former pool had no owner", func(w *cancelWorld, _ *Instance) { w.disown("old") }, func(w *cancelWorld) { w.own("old") }},
		{"the request comes through the former pool's intake", func(*cancelWorld, *Instance) {}, func(w *cancelWorld) {
			w.submit(w.start(routeConfig(5, "q", "new")), other)
			w.submitToIntake(w.submittedSpec(w.start(routeConfig(3, "q", "old")), name))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCancelWorld(t, routeConfig(5, "q", "new"), "old", "new", "third")
			n := w.start(routeConfig(3, "q", "old"))
			test.before(w, n)
			w.cancel(n, name)
			test.after(w)
			after := w.start(routeConfig(5, "q", "new"))
			w.submit(after, name)
			w.checkCancelled(after, name)
		})
	}
}

// TestJobThatMovesBetweenQuestionsIsFound guards against issue 34: pools were asked for a job one after the other, and one that went
// from the second to the first in between was called unknown.
func TestJobThatMovesBetweenQuestionsIsFound(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0003")
	tests := []struct {
		name string
		ask  func(w *cancelWorld, n *Instance)
	}{
		{"for its state", func(w *cancelWorld, n *Instance) {
			if _, err := n.State(w.t.Context(), w.queue(n, name), name); err != nil {
				w.t.Errorf("state of an accepted job: error %v", err)
			}
			w.cancel(n, name)
		}},
		{"to be cancelled", func(w *cancelWorld, n *Instance) {
			w.cancel(n, name)
			w.checkCancelled(n, name)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCancelWorld(t, routeConfig(5, "q", "new"), "old", "new")
			_, after := w.forwardSlowly(name)
			var once sync.Once
			w.onAnswer(func(pool string) {
				if pool == "new" {
					once.Do(func() {
						w.own("third")
						eventually(t, "the job has moved", func() bool {
							_, known, err := w.owner.shards["old"].shard.State(t.Context(), name)
							return err == nil && !known
						})
					})
				}
			})
			test.ask(w, after)
		})
	}
}

// TestJobForwardedByTwoPoolsIsKept guards against a loss that was looked for after a trial of issue 34 had lost a job: it stood in
// the intakes of two former pools, both forwarded it at the same time, took each other's word that they had it, and dropped it.
func TestJobForwardedByTwoPoolsIsKept(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0004")
	w := newCancelWorld(t, routeConfig(5, "q", "new"), "old", "new", "third")
	first, second := w.start(routeConfig(3, "q", "old")), w.start(routeConfig(4, "q", "third"))
	specs := []job.Spec{w.submittedSpec(first, name), w.submittedSpec(second, name)}
	w.submit(first, "5c0e7a21d94b000a")
	w.submit(second, "5c0e7a21d94b000b")
	after := w.start(routeConfig(5, "q", "new"))
	w.submit(after, "5c0e7a21d94b000c")
	w.disown("old")
	w.disown("third")
	for _, spec := range specs {
		w.submitToIntake(spec)
	}
	w.own("old")
	w.own("third")
	eventually(t, "the job has started in its pool", func() bool { return w.runs.hasStarted(name) })
	if _, err := after.State(t.Context(), w.queue(after, name), name); err != nil {
		t.Errorf("state of an accepted job: error %v", err)
	}
}

// TestCancelInPoolThatServesNoMoreIsKept guards against issue 34: a job was cancelled before its request came, its route moved, and the
// former pool was dropped from the configuration or became a spare one, so nobody asked it for the cancellation.
func TestCancelInPoolThatServesNoMoreIsKept(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0006")
	spare := routeConfig(5, "q", "new")
	spare.Pools[0].Spare = true
	dropped := routeConfig(5, "q", "new")
	dropped.Pools = dropped.Pools[1:]
	for _, c := range []*catalog.Config{spare, dropped} {
		w := newCancelWorld(t, routeConfig(5, "q", "new"), "old", "new", "third")
		w.cancel(w.start(routeConfig(3, "q", "old")), name)
		after := w.start(c)
		w.submit(after, name)
		w.checkCancelled(after, name)
	}
}

// TestHalfStoredCancelIsNotDenied guards against a cancel that was answered that nothing had been done, while the pools that were
// asked kept it.
func TestHalfStoredCancelIsNotDenied(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0007")
	w := newCancelWorld(t, routeConfig(3, "q", "old"), "old")
	n := w.start(routeConfig(3, "q", "old"))
	w.submit(n, "5c0e7a21d94b000a")
	q := w.queue(n, name)
	w.onAnswer(func(string) { n.proxiedLog.Log = unreadableLog{n.proxiedLog.Log} })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := n.Cancel(ctx, q, name); !errors.As(err, new(UnknownError)) {
		t.Errorf("error %v, want an UnknownError", err)
	}
}

// unreadableLog is a log that answers no read.
type unreadableLog struct{ stream.Log }

func (unreadableLog) Read(context.Context, stream.Table, int64, time.Duration) (stream.Batch, error) {
	return stream.Batch{}, stream.NotDoneError{Reason: "no reads"}
}
