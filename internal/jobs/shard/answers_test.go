package shard

import (
	"context"
	"errors"
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// answersWorld is the owner of a pool, and one job that its test asks about.
type answersWorld struct {
	t       *testing.T
	log     *fakeLog
	workers *fakeWorkers
	spec    job.Spec
	shard   *Shard
}

// own starts an owner, after the earlier one if there is one. It has workers or none, and reads the intake or not. What it
// forwards stays on its way.
func (w *answersWorld) own(workers, reads bool) {
	w.t.Helper()
	s := newShard(w.log, w.workers, "a")
	if !workers {
		s.config.View = func() View { return View{} }
	}
	if !reads {
		s.config.Log = deafLog{w.log}
	}
	s.config.Forward = func(ctx context.Context, _ job.Spec) error {
		<-ctx.Done()
		return ctx.Err()
	}
	w.shard = start(w.t.Context(), s).shard
	if err := s.awaitStarted(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
}

func (w *answersWorld) submit() {
	w.t.Helper()
	if err := w.shard.Submit(w.t.Context(), w.spec); err != nil {
		w.t.Error(err)
	}
}

// forward has the job come to the intake after its route has moved.
func (w *answersWorld) forward() {
	w.t.Helper()
	w.own(false, true)
	w.seal(someJob(9).ID)
	var sealed SealedError
	if err := w.shard.Submit(w.t.Context(), w.spec); !errors.As(err, &sealed) {
		w.t.Errorf("a job of a route that has moved: error %v", err)
	}
	appendJob(w.t, w.log, w.spec)
	await(w.t, "the job is being forwarded", func() bool { return w.shard.Submit(w.t.Context(), w.spec) == nil })
}

func (w *answersWorld) cancel() job.Presence {
	w.t.Helper()
	presence, err := w.shard.Cancel(w.t.Context(), w.spec.ID)
	if err != nil {
		w.t.Error(err)
	}
	return presence
}

func (w *answersWorld) seal(name job.ID) job.Presence {
	w.t.Helper()
	presence, err := w.shard.Seal(w.t.Context(), w.spec.Route, w.spec.Version+1, name)
	if err != nil {
		w.t.Error(err)
	}
	return presence
}

// state returns the state of the job as it is shown.
func (w *answersWorld) state() string {
	w.t.Helper()
	state, known, err := w.shard.State(w.t.Context(), w.spec.ID)
	if err != nil {
		w.t.Error(err)
	}
	if !known {
		return "none"
	}
	return state.String()
}

func (w *answersWorld) pending() int {
	w.t.Helper()
	count, err := w.shard.Pending(w.t.Context(), w.spec.Route, w.spec.Queue)
	if err != nil {
		w.t.Error(err)
	}
	return count
}

// TestAnswersAboutJob asks a pool about a job in each state that the job may have there (docs/design/9-jobs.md).
func TestAnswersAboutJob(t *testing.T) {
	tests := []struct {
		name      string
		play      func(w *answersWorld)
		state     string
		pending   int
		cancel    job.Presence
		seal      job.Presence
		submitted string // state after the job was submitted once more
		cancelled string // state after the cancellation
		takenOver string // state at the next owner, which has no workers
		stays     string // state there if the job was cancelled before
	}{
		{"unknown", func(w *answersWorld) { w.own(false, true) }, "none", 0, job.Absent, job.Absent, "queued", "none", "none", "none"},
		{"in the intake, unread", func(w *answersWorld) {
			w.own(false, false)
			appendJob(w.t, w.log, w.spec)
		}, "queued", 0, job.Forwarded, job.Forwarded, "queued", "queued", "queued", "cancelled"},
		{"waiting", func(w *answersWorld) {
			w.own(false, true)
			w.submit()
		}, "queued", 1, job.Present, job.Present, "queued", "cancelled", "queued", "cancelled"},
		{"being forwarded", func(w *answersWorld) { w.forward() }, "queued", 1, job.Forwarded, job.Forwarded, "queued", "queued", "queued", "cancelled"},
		{"being forwarded, cancelled", func(w *answersWorld) {
			w.forward()
			w.cancel()
		}, "queued", 0, job.Forwarded, job.Tombstone, "queued", "queued", "cancelled", "cancelled"},
		{"ended", func(w *answersWorld) {
			w.own(true, true)
			w.submit()
			awaitCompleted(w.t, w.shard, w.spec.ID)
		}, "completed", 0, job.Present, job.Present, "completed", "completed", "completed", "completed"},
		{"ended, then cancelled, of a route that has moved", func(w *answersWorld) {
			w.own(true, true)
			w.submit()
			awaitCompleted(w.t, w.shard, w.spec.ID)
			w.cancel()
			w.seal(someJob(9).ID)
		}, "completed", 0, job.Present, job.Present, "completed", "completed", "completed", "completed"},
		{"cancelled and not here", func(w *answersWorld) {
			w.own(false, true)
			w.cancel()
		}, "none", 0, job.Absent, job.Tombstone, "cancelled", "none", "none", "none"},
	}
	for _, test := range tests {
		questions := []struct {
			name string
			ask  func(w *answersWorld)
		}{
			{"state", func(w *answersWorld) { w.expect("state", w.state(), test.state) }},
			{"pending", func(w *answersWorld) { w.expect("pending", w.pending(), test.pending) }},
			{"seal", func(w *answersWorld) { w.expect("seal", w.seal(w.spec.ID), test.seal) }},
			{"submit", func(w *answersWorld) {
				w.submit()
				await(w.t, "the state after the job was submitted is "+test.submitted, func() bool { return w.state() == test.submitted })
			}},
			{"cancel", func(w *answersWorld) {
				w.expect("cancel", w.cancel(), test.cancel)
				await(w.t, "the state after the cancellation is "+test.cancelled, func() bool { return w.state() == test.cancelled })
			}},
			{"take-over", func(w *answersWorld) {
				w.own(false, true)
				await(w.t, "the state at the next owner is "+test.takenOver, func() bool { return w.state() == test.takenOver })
			}},
			{"take-over after a cancellation", func(w *answersWorld) {
				w.cancel()
				w.own(false, true)
				await(w.t, "the state at the next owner is "+test.stays, func() bool { return w.state() == test.stays })
			}},
		}
		for _, q := range questions {
			t.Run(test.name+"/"+q.name, func(t *testing.T) {
				log := newFakeLog()
				w := &answersWorld{t: t, log: log, workers: &fakeWorkers{starts: map[worker.Run]int{}, log: log}, spec: routedJob(1, 3)}
				test.play(w)
				q.ask(w)
			})
		}
	}
}

func (w *answersWorld) expect(what string, got, want any) {
	w.t.Helper()
	if got != want {
		w.t.Errorf("%s: %v, want %v", what, got, want)
	}
}
