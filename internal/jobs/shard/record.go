package shard

import (
	"strings"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Keys of the two tables of a pool.
const (
	specPrefix     = "job/"
	cancelPrefix   = "cancel/"
	progressPrefix = "progress/"
)

// SpecRecord returns the record that submits a job.
func SpecRecord(spec *job.Spec) (stream.Record, error) {
	data, err := cbor.Marshal(spec)
	return stream.Record{Key: specPrefix + string(spec.ID), Value: data}, err
}

// CancelRecord returns the record that cancels a job.
func CancelRecord(name job.ID) stream.Record {
	return stream.Record{Key: cancelPrefix + string(name), Value: []byte{1}}
}

// dropRecords returns the records that remove all keys of a job.
func (s *Shard) dropRecords(name job.ID) []stream.Record {
	var records []stream.Record
	for _, prefix := range [...]string{progressPrefix, specPrefix, cancelPrefix} {
		records = append(records, stream.Record{Key: prefix + string(name)})
	}
	for n := range s.partCounts[name] {
		records = append(records, stream.Record{Key: partKey(name, n+1)})
	}
	delete(s.partCounts, name)
	return records
}

// loadProgress applies a progress record of the output table, given the parts before it, and ignores other records.
func (s *Shard) loadProgress(jobs map[job.ID]*pool.StoredState, parts map[string][]byte, r stream.Record) {
	name, ok := strings.CutPrefix(r.Key, progressPrefix)
	if !ok || len(r.Value) == 0 {
		return
	}
	var progress job.Progress
	if err := cbor.Unmarshal(s.joinParts(parts, job.ID(name), r.Value), &progress); err != nil {
		s.config.Logger.Error("cannot decode stored job progress", zap.String("job", name), zap.Error(err))
		return
	}
	jobEntry(jobs, job.ID(name)).Progress = &progress
}

// loadIntake applies a job or a cancellation. The cancelled job may be missing from jobs.
func (s *Shard) loadIntake(jobs map[job.ID]*pool.StoredState, cancelled *[]job.ID, r stream.Record) {
	if len(r.Value) == 0 {
		return
	}
	if name, ok := strings.CutPrefix(r.Key, cancelPrefix); ok {
		*cancelled = append(*cancelled, job.ID(name))
		return
	}
	spec, ok := s.decodeSpec(r)
	if !ok {
		return
	}
	stored := jobEntry(jobs, spec.ID)
	if stored.Progress != nil && stored.Progress.IsReleasable() {
		spec.Payload = ""
	}
	stored.Spec = spec
}

func (s *Shard) decodeSpec(r stream.Record) (job.Spec, bool) {
	var spec job.Spec
	if !strings.HasPrefix(r.Key, specPrefix) {
		return spec, false
	}
	err := cbor.Unmarshal(r.Value, &spec)
	if err == nil {
		err = spec.CheckSteps()
	}
	if err != nil {
		s.config.Logger.Error("cannot decode stored job", zap.String("key", r.Key), zap.Error(err))
		return spec, false
	}
	return spec, true
}

func jobEntry(jobs map[job.ID]*pool.StoredState, name job.ID) *pool.StoredState {
	found, ok := jobs[name]
	if !ok {
		found = &pool.StoredState{}
		jobs[name] = found
	}
	return found
}

// loadRecent appends the instances that the autoscaler has recently given orders to.
func (s *Shard) loadRecent(names []string, r stream.Record) []string {
	recent, err := machines.RecentlyOrdered(r)
	if err != nil {
		s.config.Logger.Error("cannot decode stored recent orders for instances", zap.Error(err))
	}
	return append(names, recent...)
}
