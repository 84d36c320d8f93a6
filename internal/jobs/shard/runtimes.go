package shard

import (
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/runtimes"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// modelKey is the key of the record that holds what owners have learned of run times, by which a successor predicts them at once.
const modelKey = "model"

// Limits of that record.
const (
	modelInterval = 5 * time.Second // minimum time between two records; so much can be lost with an owner
	modelBytes    = 16 << 10
)

// RunTimeObserver receives what is known of run times, for logs and metrics. The list is empty once this owner has stopped.
type RunTimeObserver interface {
	ObserveRunTimes(list []runtimes.Summary)
}

// Limits of these reports.
const (
	reportInterval = 10 * time.Second
	reportedKinds  = 20 // each has metrics of its own
)

// unknownVersionError reports a record in a format of a later version of the program.
type unknownVersionError struct{ Version int }

// Error returns the version.
func (e unknownVersionError) Error() string {
	return "shard: run times are stored in an unknown format"
}

// loadRunTimes applies the stored run times and ignores other records. The model starts empty without them.
func (s *Shard) loadRunTimes(r stream.Record) {
	if r.Key != modelKey || len(r.Value) == 0 {
		return
	}
	var stored runtimes.Stored
	err := cbor.Unmarshal(r.Value, &stored)
	if err == nil && !stored.CanRead() {
		err = unknownVersionError{Version: stored.Version}
	}
	if err != nil {
		s.config.Logger.Error("cannot decode the stored run times of a pool", zap.String("pool", s.config.Pool), zap.Int("version", stored.Version), zap.Error(err))
		return
	}
	s.runTimes = stored
}

// addRunTimes adds what is known of run times to the records of the next batch if it is due and has changed.
func (s *Shard) addRunTimes(at pool.Moment) {
	if at.Steady-s.runTimesStoredAt < modelInterval {
		return
	}
	stored, changed := s.pool.TakeRunTimes()
	if !changed {
		return
	}
	s.runTimesStoredAt = at.Steady
	data, err := encodeRunTimes(stored, min(modelBytes, s.recordLimit()))
	if err != nil {
		s.config.Logger.Error("cannot encode the run times of a pool", zap.String("pool", s.config.Pool), zap.Error(err))
		return
	}
	s.pendingRecords = append(s.pendingRecords, stream.Record{Key: modelKey, Value: data})
}

// encodeRunTimes encodes as many kinds as fit the limit, the most useful first.
func encodeRunTimes(stored runtimes.Stored, limit int) ([]byte, error) {
	for {
		data, err := cbor.Marshal(stored)
		if err != nil || len(data) <= limit {
			return data, errors.Trace(err)
		}
		count := len(stored.Kinds)
		if count == 0 {
			return nil, errors.Errorf("%d bytes without a kind, %d at most", len(data), limit)
		}
		stored.Kinds = stored.Kinds[:min(count-1, count*limit/len(data))]
	}
}

// reportRunTimes reports what is known of run times if that is due.
func (s *Shard) reportRunTimes(at pool.Moment) {
	if s.config.RunTimeObserver == nil || at.Steady-s.runTimesReportedAt < reportInterval {
		return
	}
	s.runTimesReportedAt = at.Steady
	s.config.RunTimeObserver.ObserveRunTimes(s.pool.RunTimes(at, reportedKinds))
}

// withdrawRunTimes tells the observer that this owner has stopped.
func (s *Shard) withdrawRunTimes() {
	if s.config.RunTimeObserver != nil {
		s.config.RunTimeObserver.ObserveRunTimes(nil)
	}
}
