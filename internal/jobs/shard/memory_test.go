package shard

import (
	"errors"
	"testing"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestMemoryLimitFromTheStart guards against jobs that an owner accepts without a limit before its first iteration: all that have waited for
// its take-over come at once.
func TestMemoryLimitFromTheStart(t *testing.T) {
	log := newFakeLog()
	s := newShard(log, &fakeWorkers{}, "a")
	first, second := someJob(1), someJob(2)
	s.config.Settings.JobMemory = first.MemoryBytes() + 1
	claimed, _, err := claim.Acquire(t.Context(), claim.Config{Log: log, Table: s.output, Holder: "a", Clock: steady.Clock{}, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	s.claim, s.writer = claimed, stream.Writer{Epoch: claimed.Epoch()}
	if err := s.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	at := s.config.Clock.Moment()
	s.pool.Submit(at, first)
	if err := s.pool.Admit(at, &second); !errors.As(err, new(pool.OverloadedError)) {
		t.Errorf("a job beyond the limit: %v, want an OverloadedError", err)
	}
}

// TestMemoryBesideOtherPools guards against pools of one instance that do not count each other's jobs.
func TestMemoryBesideOtherPools(t *testing.T) {
	s := newShard(newFakeLog(), &fakeWorkers{}, "a")
	s.pool = pool.New(pool.Config{Name: "p"})
	first, second := someJob(1), someJob(2)
	s.config.Settings.Memory = 1000 * first.MemoryBytes()
	others := int64(0)
	s.config.OtherJobMemory = func() int64 { return others }
	at := s.config.Clock.Moment()
	s.pool.Submit(at, first)
	s.updateMemory()
	if got := s.JobMemory(); got != first.MemoryBytes() {
		t.Errorf("%d bytes are published, want %d", got, first.MemoryBytes())
	}
	if err := s.pool.Admit(at, &second); err != nil {
		t.Errorf("a job within the limit: %v", err)
	}
	others = s.config.Settings.Memory / 2
	s.updateMemory()
	if err := s.pool.Admit(at, &second); !errors.As(err, new(pool.OverloadedError)) {
		t.Errorf("a job beside others that take half of the memory: %v, want an OverloadedError", err)
	}
}
