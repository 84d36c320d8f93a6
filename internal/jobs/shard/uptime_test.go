package shard

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// shiftedClock is a clock whose time of day is off.
type shiftedClock struct {
	steady.Clock
	off time.Duration
}

func (c shiftedClock) Moment() pool.Moment {
	at := c.Clock.Moment()
	at.Wall = at.Wall.Add(c.off)
	return at
}

// TestSuccessorKnowsEndedJobsWhateverTheTimeOfDay guards against review/7 (LOST): a successor whose time of day was ahead of the
// earlier owner's answered 410 for jobs that had just ended.
func TestSuccessorKnowsEndedJobsWhateverTheTimeOfDay(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -2 * time.Minute, 2 * time.Minute, time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := newFakeLog()
			workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
			first := newShard(log, workers, "a")
			o := start(ctx, first)
			for i := range 3 {
				if err := first.Submit(ctx, someJob(i)); err != nil {
					t.Fatal(err)
				}
			}
			for i := range 3 {
				awaitCompleted(t, first, someJob(i).ID)
			}
			cancel()
			t.Log(<-o.err)
			second := newShard(log, workers, "b")
			second.config.Clock = shiftedClock{off: off}
			start(t.Context(), second)
			<-second.started
			time.Sleep(5 * tickInterval) // jobs are dropped in a tick
			for i := range 3 {
				if state, known, err := second.State(t.Context(), someJob(i).ID); state != job.Completed || !known || err != nil {
					t.Errorf("job %d: state %v, known %v, error %v", i, state, known, err)
				}
			}
		})
	}
}

// TestUptimeOutlivesOwners checks that owners in a row go on counting the uptime of a pool, and that their ended jobs expire.
func TestUptimeOutlivesOwners(t *testing.T) {
	log := newFakeLog()
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
	var before time.Duration
	for _, holder := range []string{"a", "b", "c"} {
		ctx, cancel := context.WithCancel(t.Context())
		s := newShard(log, workers, holder)
		o := start(ctx, s)
		<-s.started
		if s.uptimeStored < before {
			t.Errorf("owner %s begins at an uptime of %v, %v was stored before", holder, s.uptimeStored, before)
		}
		spec := someJob(int(holder[0]))
		if err := s.Submit(ctx, spec); err != nil {
			t.Fatal(err)
		}
		awaitCompleted(t, s, spec.ID)
		time.Sleep(uptimeGap)
		if err := s.Submit(ctx, someJob(int(holder[0])+100)); err != nil {
			t.Fatal(err)
		}
		awaitCompleted(t, s, someJob(int(holder[0])+100).ID)
		cancel()
		t.Log(<-o.err)
		if s.uptimeStored < before+uptimeGap {
			t.Errorf("owner %s has stored an uptime of %v, want %v more than %v", holder, s.uptimeStored, uptimeGap, before)
		}
		before = s.uptimeStored
	}
	last := newShard(log, workers, "d")
	last.config.Settings.Retention = 100 * time.Millisecond
	start(t.Context(), last)
	await(t, "the jobs of all owners are gone", func() bool { return len(jobKeys(t, log)) == 0 })
}
