package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestJobSubmittedAsItsCancellationExpiresIsKept guards against a LOST: a job whose earlier cancellation had just expired was accepted,
// and its records were removed with the cancellation, in the same batch.
func TestJobSubmittedAsItsCancellationExpiresIsKept(t *testing.T) {
	for _, inIntake := range []bool{false, true} {
		spec := someJob(1)
		s := newShard(newFakeLog(), nil, "a")
		s.pool = pool.New(pool.Config{Retention: time.Minute})
		if inIntake {
			s.intakeJobs.Store(spec.ID, struct{}{})
		}
		s.pool.Cancel(pool.Moment{Steady: time.Hour}, spec.ID)
		expired := pool.Moment{Steady: time.Hour + time.Minute + time.Second}
		s.pool.Tick(expired)
		s.pool.Submit(expired, spec)
		records, err := s.records(s.pool.Flush())
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			if r.Key != cancelPrefix+string(spec.ID) {
				t.Errorf("in the intake: %v: %s is removed, which is the job's", inIntake, r.Key)
			}
		}
		if len(s.expiredJobs) > 0 {
			t.Errorf("in the intake: %v: %v are removed from there", inIntake, s.expiredJobs)
		}
	}
}

// TestJobCancelledAnewAsItsCancellationExpiresStaysCancelled checks that a cancellation that comes while an earlier one expires is not
// removed with it.
func TestJobCancelledAnewAsItsCancellationExpiresStaysCancelled(t *testing.T) {
	name := someJob(1).ID
	s := newShard(newFakeLog(), nil, "a")
	s.pool = pool.New(pool.Config{Retention: time.Minute})
	s.pool.Cancel(pool.Moment{Steady: time.Hour}, name)
	expired := pool.Moment{Steady: time.Hour + time.Minute + time.Second}
	s.pool.Tick(expired)
	s.pool.Cancel(expired, name)
	records, err := s.records(s.pool.Flush())
	if len(records) > 0 || err != nil {
		t.Errorf("%v are removed, error %v", records, err)
	}
}

// racingLog is a log in which another instance writes to the intake just before records are first removed there.
type racingLog struct {
	*fakeLog
	once  sync.Once
	late  []stream.Record
	raced context.CancelFunc // called after the removal
}

func (l *racingLog) race(ctx context.Context, t stream.Table, records []stream.Record) (raced bool) {
	if t != IntakeTable("p") || len(records[0].Value) > 0 {
		return false
	}
	l.once.Do(func() { _, _ = l.fakeLog.Append(ctx, t, l.late, nil) })
	return true
}

func (l *racingLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if l.race(ctx, t, records) {
		defer l.raced()
	}
	return l.fakeLog.Append(ctx, t, records, w)
}

func (l *racingLog) AppendAt(ctx context.Context, t stream.Table, records []stream.Record, end int64) error {
	if l.race(ctx, t, records) {
		defer l.raced()
	}
	return l.fakeLog.AppendAt(ctx, t, records, end)
}

// TestIntakeKeepsWhatComesAsACancellationExpires guards against a LOST and an UNASKED: a job, or another cancellation of it, that an
// instance stored in the intake was removed there with a cancellation that expired.
func TestIntakeKeepsWhatComesAsACancellationExpires(t *testing.T) {
	spec := someJob(1)
	specRecord, err := SpecRecord(&spec)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		late  stream.Record
		check func(t *testing.T, next *Shard)
	}{
		{"the job", specRecord, func(t *testing.T, next *Shard) {
			if _, known, err := next.State(t.Context(), spec.ID); !known || err != nil {
				t.Errorf("the next owner knows the job: %v, error %v", known, err)
			}
		}},
		{"another cancellation", CancelRecord(spec.ID), func(t *testing.T, next *Shard) {
			if err := next.Submit(t.Context(), spec); err != nil {
				t.Fatal(err)
			}
			if state, _, err := next.State(t.Context(), spec.ID); state != job.Cancelled || err != nil {
				t.Errorf("the job that comes after it is %v, error %v", state, err)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newFakeLog()
			if _, err := log.Append(t.Context(), IntakeTable("p"), []stream.Record{CancelRecord(spec.ID)}, nil); err != nil {
				t.Fatal(err)
			}
			workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			racing := &racingLog{fakeLog: log, late: []stream.Record{test.late}, raced: cancel}
			first := newShard(log, workers, "a")
			first.config.Log, first.config.ConditionalLog = racing, racing
			first.config.Settings.Retention = 100 * time.Millisecond
			o := start(ctx, first)
			t.Log(<-o.err)
			next := newShard(log, workers, "b")
			start(t.Context(), next)
			test.check(t, next)
		})
	}
}
