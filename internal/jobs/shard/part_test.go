package shard

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// limitedLog refuses records and calls that are too long, as the store does.
type limitedLog struct {
	*fakeLog
	recordBytes, callBytes int
	mu                     sync.Mutex
	refused                int
}

func (l *limitedLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	sum := 0
	for _, r := range records {
		size := recordHeader + len(r.Key) + len(r.Value)
		if sum += size; size > l.recordBytes || sum > l.callBytes || len(r.Key) > stream.MaxKeyBytes {
			l.mu.Lock()
			l.refused++
			l.mu.Unlock()
			return 0, stream.NotDoneError{Reason: fmt.Sprintf("a record of %d bytes, a call of %d", size, sum)}
		}
	}
	return l.fakeLog.Append(ctx, t, records, w)
}

// TestWideJobDoesNotStopItsPool guards against review/5 (issue 22): the progress of a job with many tasks did not fit one
// record of the store, which refused it again and again, and nothing of the pool started any more.
func TestWideJobDoesNotStopItsPool(t *testing.T) {
	const recordBytes, callBytes, tasks = 20_000, 60_000, 2500
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := &limitedLog{fakeLog: newFakeLog(), recordBytes: recordBytes, callBytes: callBytes}
	workers := &fakeWorkers{starts: map[worker.Run]int{}, log: log.fakeLog}
	shardOf := func(holder string) *Shard {
		s := newShard(log.fakeLog, workers, holder)
		s.config.Log = log
		s.config.Settings.RecordBytes, s.config.Settings.CallBytes = recordBytes, callBytes
		return s
	}
	first := start(ctx, shardOf("a")).shard
	wide := someJob(1)
	wide.Steps = []job.Step{{Count: tasks, CPU: 1, Estimate: 10 * time.Millisecond}}
	for _, spec := range []job.Spec{wide, someJob(2)} {
		if err := first.Submit(ctx, spec); err != nil {
			t.Fatal(err)
		}
	}
	awaitCompleted(t, first, someJob(2).ID)
	second := start(ctx, shardOf("b")).shard
	awaitCompleted(t, second, wide.ID)
	if log.refused > 0 {
		t.Errorf("the log has refused %d appends", log.refused)
	}
}

// TestRecordThatTheLogNeverTakesHoldsNothingUp guards against a pool that stood still for good (found in the second review): a
// cancellation with an ID of 300 letters was sent to the log again and again, and nothing else of the pool was stored.
func TestRecordThatTheLogNeverTakesHoldsNothingUp(t *testing.T) {
	long := job.ID(strings.Repeat("5", 300))
	tests := []struct {
		name string
		send func(ctx context.Context, t *testing.T, log *limitedLog, s *Shard)
	}{
		{"from a caller", func(ctx context.Context, t *testing.T, _ *limitedLog, s *Shard) {
			if _, err := s.Cancel(ctx, long); !errors.As(err, new(RejectedError)) {
				t.Errorf("the cancellation is answered %v, want a RejectedError", err)
			}
		}},
		{"in the intake", func(ctx context.Context, t *testing.T, log *limitedLog, _ *Shard) {
			if _, err := log.fakeLog.Append(ctx, IntakeTable("p"), []stream.Record{CancelRecord(long)}, nil); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			log := &limitedLog{fakeLog: newFakeLog(), recordBytes: defaultRecordBytes, callBytes: defaultCallBytes}
			s := newShard(log.fakeLog, &fakeWorkers{starts: map[worker.Run]int{}, log: log.fakeLog}, "a")
			s.config.Log = log
			start(ctx, s)
			test.send(ctx, t, log, s)
			time.Sleep(100 * time.Millisecond)
			if err := s.Submit(ctx, someJob(1)); err != nil {
				t.Fatal(err)
			}
			awaitCompleted(t, s, someJob(1).ID)
		})
	}
}

// TestProgressInPartsIsRestored checks that progress of any size is read as it was stored, also after it has become shorter.
func TestProgressInPartsIsRestored(t *testing.T) {
	const limit = 1000
	spec := someJob(1)
	spec.Steps = []job.Step{{Count: 300}}
	j := job.New(spec)
	var stored []stream.Record
	newest := map[string]stream.Record{}
	for _, done := range []int{0, 40, 150, 290} {
		for i := range j.Occurrences[0].Steps[0] {
			task := &j.Occurrences[0].Steps[0][i]
			task.Run, task.Worker = 1, fmt.Sprintf("worker-%d", i)
			if i < done && !task.Done {
				j.Finish(task, time.Now())
			}
		}
		records, err := progressRecords(pool.StoredJob{ID: spec.ID, Progress: j.Progress()}, limit)
		if err != nil {
			t.Fatal(err)
		}
		stored = append(stored, records...)
		for _, r := range stored {
			newest[r.Key] = r
			if len(r.Value) > limit+recordReserve {
				t.Errorf("%s has %d bytes", r.Key, len(r.Value))
			}
		}
		s := newShard(newFakeLog(), nil, "a")
		jobs, parts := map[job.ID]*pool.StoredState{}, map[string][]byte{}
		for _, r := range newest {
			s.loadPart(parts, r)
		}
		s.loadProgress(jobs, parts, newest[progressPrefix+string(spec.ID)])
		if got := jobs[spec.ID].Progress; got == nil || !reflect.DeepEqual(*got, j.Progress()) {
			t.Errorf("with %d tasks done the progress is not restored", done)
		}
	}
}
