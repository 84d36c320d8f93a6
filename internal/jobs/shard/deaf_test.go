package shard

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// alwaysSeen stands for operators' settings that are always up to date.
func alwaysSeen() time.Duration { return math.MaxInt64 }

// deafOwner is an owner whose reads of the intake can be held, and whose worker can be hidden.
type deafOwner struct {
	*owner
	log     *fakeLog
	network *ownerNetwork
	hidden  atomic.Bool // whether the pool has no worker
}

func startDeafOwner(ctx context.Context) *deafOwner {
	log := newFakeLog()
	d := &deafOwner{log: log, network: newOwnerNetwork(log, newFakeCluster("w"), "w")}
	s := d.network.shard("a")
	all := s.config.View()
	s.config.View = func() View {
		if d.hidden.Load() {
			return View{}
		}
		return all
	}
	d.owner = start(ctx, s)
	return d
}

func (d *deafOwner) showWorker(shown bool) {
	d.hidden.Store(!shown)
	d.shard.Refresh()
}

// append stores a record as an instance does that cannot reach the owner.
func (d *deafOwner) append(t *testing.T, r stream.Record) {
	t.Helper()
	if _, err := d.log.Append(t.Context(), IntakeTable("p"), []stream.Record{r}, nil); err != nil {
		t.Fatal(err)
	}
}

func (d *deafOwner) starts() map[worker.Run]time.Duration {
	c := d.network.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := map[worker.Run]time.Duration{}
	for run, at := range c.starts {
		copied[run] = at
	}
	return copied
}

// playDeafOwner starts an owner in a bubble of its own time, and ends it after the play.
func playDeafOwner(t *testing.T, play func(ctx context.Context, t *testing.T, d *deafOwner)) {
	playBubble(t, func(ctx context.Context, t *testing.T) { play(ctx, t, startDeafOwner(ctx)) })
}

// submit hands a job to the owner and waits until the owner has handled it.
func (d *deafOwner) submit(t *testing.T, spec job.Spec) {
	t.Helper()
	if err := d.shard.Submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
}

// TestDeafOwnerStartsNoCancelledJob guards against the start of a cancelled job: its cancellation was acknowledged once it
// was in the intake, the owner's reads of the intake stood still, and it went on starting tasks.
func TestDeafOwnerStartsNoCancelledJob(t *testing.T) {
	tests := []struct {
		name   string
		spec   func() job.Spec
		before func(d *deafOwner) // before the cancellation
		after  func(d *deafOwner) // over the time of cancellations after it
	}{
		{"room becomes free", longJob, func(d *deafOwner) { d.showWorker(false) }, func(d *deafOwner) { d.showWorker(true) }},
		{"its time comes", func() job.Spec {
			spec := longJob()
			spec.Times, spec.First, spec.Interval = 1, time.Now().Add(4*time.Second), time.Second
			return spec
		}, func(*deafOwner) {}, func(*deafOwner) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			playDeafOwner(t, func(ctx context.Context, t *testing.T, d *deafOwner) {
				test.before(d)
				spec := test.spec()
				d.submit(t, spec)
				d.log.holdReads(IntakeTable("p"), 0)
				d.append(t, CancelRecord(spec.ID))
				time.Sleep(3200 * time.Millisecond)
				test.after(d)
				time.Sleep(10 * time.Second)
				for run, at := range d.starts() {
					t.Errorf("%v was started %v after the owner, over 3 s after its job was cancelled", run, at)
				}
				d.log.releaseReads(IntakeTable("p"))
				time.Sleep(3 * time.Second)
				if state, known, err := d.shard.State(ctx, spec.ID); state != job.Cancelled || !known || err != nil {
					t.Errorf("the job is %v (known: %v, %v) once the intake is read, want cancelled", state, known, err)
				}
				if n := len(d.starts()); n != 0 {
					t.Errorf("%d starts in all, want none", n)
				}
			})
		})
	}
}

// TestStartWaitsForNewProof guards against starts on a proof of ownership that is older than the time in which a
// cancellation has to be in force: a successor may have acknowledged one.
func TestStartWaitsForNewProof(t *testing.T) {
	playDeafOwner(t, func(_ context.Context, t *testing.T, d *deafOwner) {
		d.showWorker(false)
		d.submit(t, longJob())
		time.Sleep(time.Second)
		d.network.setAnswerTime(3500 * time.Millisecond)
		d.showWorker(true)
		time.Sleep(20 * time.Second)
		if starts := d.starts(); len(starts) != 0 {
			t.Errorf("started while proofs were 3.5 s old: %v", starts)
		}
		d.network.setAnswerTime(0)
		time.Sleep(5 * time.Second)
		if n := len(d.starts()); n != 1 {
			t.Errorf("%d starts once the log answers in time, want 1", n)
		}
	})
}

// TestOwnerDeafToOperatorsStartsNothing guards against starts in a data centre whose evacuation an owner has not learned of,
// since its reads of the operators' table stood still.
func TestOwnerDeafToOperatorsStartsNothing(t *testing.T) {
	playDeafOwner(t, func(ctx context.Context, t *testing.T, d *deafOwner) {
		var seenAt atomic.Int64
		now := func() int64 { return int64(d.shard.config.Clock.Moment().Steady) }
		d.submit(t, longJob())
		seenAt.Store(now())
		if err := d.shard.do(ctx, func(pool.Moment) {
			d.shard.config.OperatorsSeen = func() time.Duration { return time.Duration(seenAt.Load()) }
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		later := longJob()
		later.ID = someJob(2).ID
		d.submit(t, later)
		time.Sleep(5 * time.Second)
		if n := len(d.starts()); n != 1 {
			t.Errorf("%d starts, want only the one from before the operators' table was last seen", n)
		}
		seenAt.Store(now())
		time.Sleep(time.Second)
		if n := len(d.starts()); n != 2 {
			t.Errorf("%d starts once the operators' table is read, want 2", n)
		}
	})
}

// TestSeenEvacuationIsAppliedBeforeStarts guards against a start in an evacuated data centre: the operators' table had been read
// again, so the start was no longer held back, but the evacuation was not yet applied.
func TestSeenEvacuationIsAppliedBeforeStarts(t *testing.T) {
	playDeafOwner(t, func(ctx context.Context, t *testing.T, d *deafOwner) {
		var seenAt atomic.Int64
		var evacuated atomic.Bool
		now := func() int64 { return int64(d.shard.config.Clock.Moment().Steady) }
		seenAt.Store(now())
		view := d.shard.config.View
		if err := d.shard.do(ctx, func(pool.Moment) {
			d.shard.config.OperatorsSeen = func() time.Duration { return time.Duration(seenAt.Load()) }
			d.shard.config.View = func() View {
				v := view()
				if evacuated.Load() {
					v.Evacuated = id.Set[id.DataCentre]{v.Workers[0].DataCentre: {}}
				}
				return v
			}
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		d.submit(t, longJob())
		time.Sleep(2 * time.Second)
		d.shard.post(ctx, func(pool.Moment) { // the feed reads on during one event
			evacuated.Store(true)
			d.shard.Refresh()
			seenAt.Store(now())
		})
		time.Sleep(3 * time.Second)
		if n := len(d.starts()); n != 0 {
			t.Errorf("%d starts after the evacuation was seen, want none", n)
		}
	})
}

// TestSlowLongPollDoesNotStopStarts checks that an owner whose long polls of the intake are not answered reads it without
// waiting, and only while a start waits for that.
func TestSlowLongPollDoesNotStopStarts(t *testing.T) {
	playDeafOwner(t, func(_ context.Context, t *testing.T, d *deafOwner) {
		d.submit(t, longJob())
		intake := IntakeTable("p")
		d.log.holdReads(intake, intakeWait)
		time.Sleep(5 * time.Second)
		before := d.log.readCount(intake)
		time.Sleep(5 * time.Second)
		if extra := d.log.readCount(intake) - before; extra != 0 {
			t.Errorf("%d more reads while no start waits, want none", extra)
		}
		for i := range 3 {
			spec := longJob()
			spec.ID = someJob(i + 2).ID
			d.submit(t, spec)
			time.Sleep(3 * time.Second)
		}
		if n := len(d.starts()); n != 4 {
			t.Errorf("%d of 4 jobs were started", n)
		}
		if extra := d.log.readCount(intake) - before; extra != 3 {
			t.Errorf("%d more reads, want one a start", extra)
		}
	})
}

// TestStartsReadNoMore checks that an owner whose store answers in time reads the intake once a second, however many tasks
// it starts.
func TestStartsReadNoMore(t *testing.T) {
	playDeafOwner(t, func(_ context.Context, t *testing.T, d *deafOwner) {
		const seconds = 20
		for i := range 4 * seconds {
			spec := longJob()
			spec.ID = someJob(i).ID
			d.submit(t, spec)
		}
		if n := len(d.starts()); n != 4*seconds {
			t.Errorf("%d of %d jobs were started", n, 4*seconds)
		}
		if reads, most := d.log.readCount(IntakeTable("p")), int(time.Since(d.network.cluster.startedAt)/time.Second)+1; reads > most {
			t.Errorf("%d reads of the intake, want %d at most", reads, most)
		}
	})
}
