package shard

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// deafLog is a log that answers no read that waits, and others with two records at most.
type deafLog struct{ *fakeLog }

func (l deafLog) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	if wait > 0 {
		<-ctx.Done()
		return stream.Batch{}, ctx.Err()
	}
	batch, err := l.fakeLog.Read(ctx, t, from, 0)
	batch.Records = batch.Records[:min(2, len(batch.Records))]
	batch.Next = from + int64(len(batch.Records))
	return batch, err
}

// TestTailOfIntakeIsReadToItsEnd guards against issue 34: of the records in the intake that its owner had not handled yet, only
// one batch was looked at for a job, and none for a cancellation.
func TestTailOfIntakeIsReadToItsEnd(t *testing.T) {
	spec := routedJob(1, 3)
	submitted, err := SpecRecord(&spec)
	if err != nil {
		t.Fatal(err)
	}
	removed := stream.Record{Key: submitted.Key}
	tests := []struct {
		name          string
		records       []stream.Record
		shown         bool // as submitted
		sealed, asked job.Presence
	}{
		{"nothing", nil, false, job.Absent, job.Absent},
		{"a job", []stream.Record{submitted}, true, job.Forwarded, job.Forwarded},
		{"a cancellation", []stream.Record{CancelRecord(spec.ID)}, false, job.Tombstone, job.Absent},
		{"a job and its cancellation", []stream.Record{submitted, CancelRecord(spec.ID)}, true, job.Tombstone, job.Forwarded},
		{"a job that was forwarded", []stream.Record{submitted, removed}, false, job.Absent, job.Absent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newFakeLog()
			s := newShard(log, &fakeWorkers{starts: map[worker.Run]int{}, log: log}, "a")
			s.config.Log = deafLog{log}
			start(t.Context(), s)
			if err := s.awaitStarted(t.Context()); err != nil {
				t.Fatal(err)
			}
			for i := range 5 {
				appendJob(t, log, someJob(10+i))
			}
			if len(test.records) > 0 {
				if _, err := log.Append(t.Context(), IntakeTable("p"), test.records, nil); err != nil {
					t.Fatal(err)
				}
			}
			if state, known, err := s.State(t.Context(), spec.ID); known != test.shown || err != nil {
				t.Errorf("state %v, known %v, want %v; error %v", state, known, test.shown, err)
			}
			if presence, err := s.Seal(t.Context(), spec.Route, 5, spec.ID); presence != test.sealed || err != nil {
				t.Errorf("the answer to a seal is %q, want %q; error %v", presence, test.sealed, err)
			}
			if presence, err := s.Cancel(t.Context(), spec.ID); presence != test.asked || err != nil {
				t.Errorf("the answer to a cancellation is %q, want %q; error %v", presence, test.asked, err)
			}
		})
	}
}
