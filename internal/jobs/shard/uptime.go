package shard

import (
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// uptimeKey is the key of the record that holds the uptime of the pool, by which successors know the age of ended jobs.
const uptimeKey = "uptime"

// Uptime between two records of it. A change of owner keeps ended jobs for up to that much longer.
const (
	uptimeGap      = time.Second      // where a batch is stored anyway
	uptimeInterval = 10 * time.Second // where there is nothing else to store
)

// loadUptime applies the stored uptime and ignores other records.
func (s *Shard) loadUptime(r stream.Record) {
	if r.Key != uptimeKey || len(r.Value) == 0 {
		return
	}
	uptime, err := time.ParseDuration(string(r.Value))
	if err != nil {
		s.config.Logger.Error("cannot decode the stored uptime of a pool", zap.String("pool", s.config.Pool), zap.Error(err))
		return
	}
	s.uptimeStored = uptime
}

// addUptime adds the uptime of the pool to the records of a batch if it is due.
func (s *Shard) addUptime(batch *pool.Batch) {
	gap := uptimeGap
	if batch.Empty() && len(s.pendingRecords) == 0 {
		gap = uptimeInterval
	}
	uptime := s.pool.Uptime()
	if uptime-s.uptimeStored < gap && !batch.NeedsRecord {
		return
	}
	s.uptimeStored = uptime
	s.pendingRecords = append(s.pendingRecords, stream.Record{Key: uptimeKey, Value: []byte(uptime.String())})
}
